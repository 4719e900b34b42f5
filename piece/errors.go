package piece

import "fmt"

// Reason is the reason why a piece file was refused.
type Reason string

// Reasons why a piece file is refused. A refused file is treated as a miss.
const (
	// Torn is a file that ends before the end of its header or body.
	Torn Reason = "torn"
	// Corrupt is a file whose bytes do not match a checksum.
	Corrupt Reason = "corrupt"
	// UnknownFormat is a file without the magic number or with another format version.
	UnknownFormat Reason = "unknown_format"
	// Oversized is a length above a limit.
	Oversized Reason = "oversized"
	// Mismatch is a valid piece other than the requested one.
	Mismatch Reason = "foreign"
	// Trailing is a file with data after its body.
	Trailing Reason = "trailing"
	// Malformed is a header with invalid values or field lengths.
	Malformed Reason = "malformed"
)

// FormatError reports a refused piece file.
type FormatError struct {
	Reason Reason
	Detail string
}

func (e *FormatError) Error() string { return fmt.Sprintf("piece is %s: %s", e.Reason, e.Detail) }

func newFormatError(reason Reason, format string, args ...any) *FormatError {
	return &FormatError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
