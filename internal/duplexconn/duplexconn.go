// Package duplexconn combines what the reads and the writes of a connection observe.
//
// The kernel reports a reset once per socket. If a write takes the error, the next read ends with io.EOF, as if the peer had closed in
// order, and an answer that ends with its connection looks complete.
package duplexconn

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// WriteWait is how long the end of the input waits for the outcome of a write in progress.
const WriteWait = 50 * time.Millisecond

// CutOff returns the error of input that ended with io.EOF, given the outcome of the writes: nil if the peer has closed in order. On Linux a
// reset after the peer's FIN is reported as EPIPE, so the peer had sent everything. Any other failure leaves doubt.
func CutOff(writeErr error) error {
	if writeErr == nil || errors.Is(writeErr, syscall.EPIPE) {
		return nil
	}
	return errors.Join(failure.Wrap(io.ErrUnexpectedEOF, failure.UpstreamFailed, failure.Unknown, "the connection was reset while bytes were sent"), writeErr)
}

// ErrStillWriting is the outcome of a write that has not ended when the input has.
var ErrStillWriting = failure.New(failure.UpstreamFailed, failure.Unknown, "the connection ended while bytes were still sent")

// Conn is a connection whose Read returns an error in place of io.EOF if a Write has met a reset or another failure of the connection.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// writing is the number of writes in progress. idle is closed once there is none, and nil if nothing waits for that.
	writing int
	idle    chan struct{}
	// writeErr is the first error of a write, and writes the number of those without one.
	writeErr error
	writes   int64
}

// New returns a Conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// DialContext is the type of the function that opens the connections of an http.Transport.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function whose connections are Conns.
func Dial(dial DialContext) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.writes++
	} else if c.writeErr == nil {
		c.writeErr = err
	}
	if c.writing--; c.writing == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom for writers with a buffer, which otherwise pass a long body on in pieces of the buffer's size. The time
// for which the source blocks does not count as a write.
func (c *Conn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, source)
}

// WriteErr returns the first error of a write, nil if there was none. net/http hides it in one that cannot be unwrapped.
func (c *Conn) WriteErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// Writes returns the number of writes that have succeeded.
func (c *Conn) Writes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if cut := CutOff(c.awaitWrites()); cut != nil {
			return n, cut
		}
	}
	return n, err
}

// awaitWrites waits for the writes in progress and returns the first error of a write.
func (c *Conn) awaitWrites() error {
	c.mu.Lock()
	if c.writing == 0 || c.writeErr != nil {
		defer c.mu.Unlock()
		return c.writeErr
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	timer := time.NewTimer(WriteWait)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
		return ErrStillWriting
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}
