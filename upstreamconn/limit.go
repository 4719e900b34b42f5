package upstreamconn

import (
	"io"

	"github.com/wasabishunt/wasabishunt/failure"
)

// errTooLong is returned for an answer whose head, or whose body with its framing, exceeds the limit.
var errTooLong = failure.New(failure.UpstreamFailed, failure.Unknown, "the answer is too long")

// limitedReader bounds the number of bytes read while a limit is set. It is not safe for concurrent use.
type limitedReader struct {
	inner     io.Reader
	limited   bool
	remaining int64
}

func (r *limitedReader) limit(bytes int64) { r.limited, r.remaining = true, bytes }

func (r *limitedReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.inner.Read(p)
	}
	if r.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := r.inner.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}
