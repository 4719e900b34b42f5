package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/wasabishunt/wasabishunt/bytebudget"
	"github.com/wasabishunt/wasabishunt/failure"
)

const (
	// defaultMemory is the number of bytes of bodies and answers that a Gateway without a limit holds.
	defaultMemory = 64 << 20
	// memoryRetryAfter is the retry advice when there is no room for a body. Bodies are held until their answers, most of them for less.
	memoryRetryAfter = 500 * time.Millisecond
	// answerPatience is how long an answer waits for room: it is ready, and refusing it would lose what has run.
	answerPatience = 200 * time.Millisecond
)

// memoryOwner returns who shares the memory for bodies and answers of the call: the account, or the caller's address on a public route.
func (c *call) memoryOwner() string {
	if c.account != nil {
		return "account " + c.account.Name
	}
	host, _, err := net.SplitHostPort(c.request.RemoteAddr)
	if err != nil {
		host = c.request.RemoteAddr
	}
	return "address " + host
}

func (c *call) memoryExhausted() error {
	e := failure.New(failure.MemoryExhausted, failure.NotRun, "no memory is left for a request body")
	e.RetryAfter = memoryRetryAfter
	return e
}

// discardTime is how long the rest of a body is read after a refusal. Callers that read an answer only after they have sent
// everything would get a reset instead of it.
const discardTime = time.Second

// answerBeforeBody prepares an answer that is sent before the body has been read. The returned function reads the rest of the body, and is
// called after the answer was written.
func (c *call) answerBeforeBody() (discard func()) {
	if c.bodyRead || c.request.ContentLength == 0 {
		return func() {}
	}
	control := http.NewResponseController(c.writer)
	// Otherwise net/http reads 256 kB of the body before the answer, and resets the connection if there is more.
	if err := control.EnableFullDuplex(); err != nil {
		return func() {}
	}
	return func() {
		if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
			return
		}
		// The caller may go on sending; if it does not end in time, its connection is closed.
		_, _ = io.Copy(io.Discard, c.request.Body)
	}
}

func (c *call) readBody() error {
	limit := c.set.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.request.ContentLength > limit {
		return failure.New(failure.BodyTooLarge, failure.NotRun, "request body of %d bytes exceeds the limit of %d bytes", c.request.ContentLength, limit)
	}
	if c.request.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(c.writer)
	if err := control.SetReadDeadline(c.answerBy); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "set the read deadline for the request body")
	}
	var body io.Reader = c.request.Body
	if pause := c.set.Limits.IdleTimeout; pause > 0 && pause < time.Until(c.answerBy) {
		body = &pauseLimiter{inner: body, control: control, pause: pause, readBy: c.answerBy}
	}
	var err error
	if c.body, err = c.memory.ReadAll(body, c.request.ContentLength, limit); errors.Is(err, bytebudget.ErrExhausted) {
		return c.memoryExhausted()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return failure.Wrap(err, failure.BodyTimeout, failure.NotRun, "request body not received in time")
	}
	if err != nil {
		return failure.Wrap(err, failure.Canceled, failure.NotRun, "request body not received")
	}
	if int64(len(c.body)) > limit {
		return failure.New(failure.BodyTooLarge, failure.NotRun, "request body exceeds the limit of %d bytes", limit)
	}
	c.bodyRead = true
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "clear the read deadline for the request body")
	}
	return nil
}

// pauseLimiter limits the time that a read of a body waits for the next byte. A caller that sends nothing more would otherwise hold
// memory until the end of its request.
type pauseLimiter struct {
	inner   io.Reader
	control *http.ResponseController
	pause   time.Duration
	readBy  time.Time
}

// Read implements io.Reader.
func (l *pauseLimiter) Read(p []byte) (int, error) {
	by := time.Now().Add(l.pause)
	if l.readBy.Before(by) {
		by = l.readBy
	}
	if err := l.control.SetReadDeadline(by); err != nil {
		return 0, err
	}
	return l.inner.Read(p)
}
