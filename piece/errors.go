package piece

import "fmt"

// Reason says why a piece file was refused.
type Reason string

// Reasons to refuse a piece file. All of them read as a miss.
const (
	// Torn is a file that ends before its header or body does.
	Torn Reason = "torn"
	// Corrupt is a file whose bytes do not match a checksum.
	Corrupt Reason = "corrupt"
	// UnknownFormat is a file without the magic or of another format version.
	UnknownFormat Reason = "unknown_format"
	// Oversized is a length above a limit.
	Oversized Reason = "oversized"
	// Foreign is a whole piece that is not the one asked for.
	Foreign Reason = "foreign"
	// Trailing is a file that goes on after its body.
	Trailing Reason = "trailing"
	// Malformed is a header that no encoder writes.
	Malformed Reason = "malformed"
)

// FormatError reports a refused piece file.
type FormatError struct {
	Reason Reason
	Detail string
}

func (e *FormatError) Error() string { return fmt.Sprintf("piece is %s: %s", e.Reason, e.Detail) }

func refuse(reason Reason, format string, args ...any) *FormatError {
	return &FormatError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
