package rpcpool

import (
	"net"
	"sync/atomic"
	"time"
)

// IdleConn closes a connection once nothing has been read from it for a timeout. A limit on whole messages would also end those that
// make progress over a slow link, and a transfer that is begun anew each time never ends.
type IdleConn struct {
	net.Conn
	received atomic.Int64
	timeout  time.Duration
	timer    *time.Timer
	timedOut atomic.Bool
}

// NewIdleConn wraps a connection. The time begins with the call.
func NewIdleConn(conn net.Conn, timeout time.Duration) *IdleConn {
	c := &IdleConn{Conn: conn, timeout: timeout}
	c.timer = time.AfterFunc(timeout, func() {
		c.timedOut.Store(true)
		_ = conn.Close()
	})
	return c
}

// Received returns the number of bytes read.
func (c *IdleConn) Received() int64 { return c.received.Load() }

// TimedOut reports whether the connection was closed because nothing arrived.
func (c *IdleConn) TimedOut() bool { return c.timedOut.Load() }

// Read implements net.Conn.
func (c *IdleConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Add(int64(n))
		c.timer.Reset(c.timeout)
	}
	return n, err
}

// Close implements net.Conn.
func (c *IdleConn) Close() error {
	c.timer.Stop()
	return c.Conn.Close()
}
