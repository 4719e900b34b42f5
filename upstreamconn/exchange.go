package upstreamconn

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wasabishunt/wasabishunt/bytebudget"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/duplexconn"
)

// Exchange is one request and its answer. Abort may be called from any goroutine.
type Exchange struct {
	conn *Conn
	// written is closed once the request was written, or could not be; writeErr is valid then.
	written  chan struct{}
	writeErr error
	// Response is set by Send.
	Response *http.Response
	// skipped is set once an answer to another request was skipped.
	skipped bool
	// ended is set by the first call of Abort or Finish. A later one must not touch the connection, which may already carry
	// another request.
	ended atomic.Bool
}

// Send writes the request and reads the head of its answer. If the answer arrives before the body is written, writing
// continues, so that the upstream never reads other bytes in place of the rest of the body.
// Once Send has been called, the request may have run, whatever Send returns.
func (c *Conn) Send(ctx context.Context, request *http.Request) (*Exchange, error) {
	e := &Exchange{conn: c, written: make(chan struct{})}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	go func() {
		defer close(e.written)
		w := bufio.NewWriterSize(c.duplex, bufferBytes)
		err := request.Write(w)
		if err == nil {
			err = w.Flush()
		}
		e.writeErr = cmp.Or(c.duplex.WriteErr(), err)
	}()
	response, err := c.readHead(request)
	if err != nil {
		c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, failure.Wrap(err, failure.UpstreamFailed, failure.Unknown, "no answer from %s", c.address)
	}
	e.setResponse(response)
	return e, nil
}

// readHead reads the head of an answer and skips the heads of interim answers before it. Together they are bounded by MaxHeadBytes: the
// limits of http.Transport do not apply to a plain connection.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	c.limited.limit(c.pool.options.MaxHeadBytes)
	defer c.limited.unlimit()
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		// net/http would complete an interim answer that is passed on by a 200 without a body.
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols {
			return nil, failure.New(failure.UpstreamFailed, failure.Unknown, "status %d is no answer to a request", response.StatusCode)
		}
	}
}

// maxSkippedBytes limits the body of a skipped answer.
const maxSkippedBytes = 1 << 20

// Skip discards the current answer, which belongs to another request, and reads the head of the next one. An upstream may
// send a late duplicate of an earlier answer. The connection is not reused afterwards.
func (e *Exchange) Skip() error {
	e.skipped = true
	request := e.Response.Request
	if e.Response.Close || isEndedByClose(e.Response) {
		return failure.New(failure.UpstreamFailed, failure.Unknown, "%s answered another request and closed the connection", e.conn.address)
	}
	if _, err := e.ReadAll(maxSkippedBytes); err != nil {
		return err
	}
	response, err := e.conn.readHead(request)
	if err != nil {
		return failure.Wrap(err, failure.UpstreamFailed, failure.Unknown, "no answer from %s after an answer to another request", e.conn.address)
	}
	e.setResponse(response)
	return nil
}

func (e *Exchange) setResponse(response *http.Response) {
	if isEndedByClose(response) {
		response.Body = &closedBody{ReadCloser: response.Body, exchange: e}
	}
	e.Response = response
}

// isEndedByClose reports whether the body has neither a length nor chunks and ends with its connection.
func isEndedByClose(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// closedBody is a body that ends with its connection. It is complete only if the write of the request has not met a reset.
type closedBody struct {
	io.ReadCloser
	exchange *Exchange
}

// Read implements io.Reader.
func (b *closedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if cut := duplexconn.CutOff(b.exchange.writeOutcome()); cut != nil {
			return n, cut
		}
	}
	return n, err
}

// writeOutcome returns the outcome of the write at the end of the input. A write that goes on is no doubt: after a reset, no write succeeds.
func (e *Exchange) writeOutcome() error {
	duplex := e.conn.duplex
	before := duplex.Writes()
	err := e.awaitWrite()
	// One write may have begun before the input ended.
	if errors.Is(err, duplexconn.ErrStillWriting) && duplex.WriteErr() == nil && duplex.Writes() > before+1 {
		return nil
	}
	return err
}

// awaitWrite waits until the request was written, for duplexconn.WriteWait at most, and returns the error of the write.
func (e *Exchange) awaitWrite() error {
	select {
	case <-e.written:
		return e.writeErr
	default:
	}
	timer := time.NewTimer(duplexconn.WriteWait)
	defer timer.Stop()
	select {
	case <-e.written:
		return e.writeErr
	case <-timer.C:
		return duplexconn.ErrStillWriting
	}
}

// AbortOn aborts the exchange when the context ends. The returned function cancels that and reports whether it was
// called before the context ended.
func (e *Exchange) AbortOn(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, e.Abort)
}

// Abort closes the connection, which cancels the request at the upstream. It does nothing after Finish.
func (e *Exchange) Abort() {
	if !e.ended.Swap(true) {
		e.conn.Close()
	}
}

// Finish returns the connection to the pool if it can be reused and the request was written, otherwise it closes the
// connection. The caller must have read the answer to its end.
func (e *Exchange) Finish(promisedIdle time.Duration) {
	if e.ended.Swap(true) {
		return
	}
	if e.skipped || e.Response.Close || isEndedByClose(e.Response) || e.awaitWrite() != nil {
		e.conn.Close()
		return
	}
	e.conn.Release(promisedIdle)
}

const (
	// framingShare is the part of a body that the framing of its chunks may add, and framingSlack what it may add to a small
	// body. Chunks of a byte, or with long extensions, would otherwise cost many times the limit of the body to read.
	framingShare = 0.25
	framingSlack = 64 << 10
)

// Memory reads a body of the given size, below 0 if it is unknown, and of at most limit+1 bytes into memory.
type Memory interface {
	ReadAll(r io.Reader, size, limit int64) ([]byte, error)
}

// unlimitedMemory is for bodies with a small limit.
type unlimitedMemory struct{}

func (unlimitedMemory) ReadAll(r io.Reader, _, limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r, limit+1))
}

// ReadAll reads a complete body of at most limit bytes. A truncated body is an error.
func (e *Exchange) ReadAll(limit int64) ([]byte, error) { return e.ReadInto(unlimitedMemory{}, limit) }

// ReadInto is ReadAll with memory that may refuse bytes.
func (e *Exchange) ReadInto(memory Memory, limit int64) ([]byte, error) {
	e.conn.limited.limit(limit + int64(framingShare*float64(limit)) + framingSlack)
	defer e.conn.limited.unlimit()
	body, err := memory.ReadAll(e.Response.Body, e.Response.ContentLength, limit)
	if errors.Is(err, bytebudget.ErrExhausted) {
		return nil, err
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.UpstreamFailed, failure.Unknown, "the answer of %s was cut off", e.conn.address)
	}
	if int64(len(body)) > limit {
		return nil, failure.New(failure.UpstreamFailed, failure.Unknown, "the answer of %s is longer than %d bytes", e.conn.address, limit)
	}
	return body, nil
}
