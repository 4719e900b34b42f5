// Package connlimit bounds the connections of a listener and the time of their writes.
package connlimit

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Listen bounds the number of open connections of a listener. Connections above the limit are closed at once, so that
// their callers fail early and use another process. With a writeTimeout above 0 each write has
// that deadline, so that a peer that stops reading cannot hold a call.
func Listen(inner net.Listener, limit int, writeTimeout time.Duration) net.Listener {
	return ListenNotify(inner, limit, writeTimeout, func(net.Conn) {})
}

// ListenNotify is Listen with a function that is called with each connection above the limit before it is closed.
func ListenNotify(inner net.Listener, limit int, writeTimeout time.Duration, onRefused func(net.Conn)) net.Listener {
	return &listener{Listener: inner, timeout: writeTimeout, slots: make(chan struct{}, limit), onRefused: onRefused}
}

type listener struct {
	net.Listener
	timeout   time.Duration
	slots     chan struct{}
	onRefused func(net.Conn)
}

// SetDeadline sets the deadline of pending and later calls of Accept.
func (l *listener) SetDeadline(t time.Time) error {
	inner, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.SetDeadline(t)
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &conn{Conn: inner, timeout: l.timeout, release: func() { <-l.slots }}, nil
		default:
			l.onRefused(inner)
			_ = inner.Close()
		}
	}
}

type conn struct {
	net.Conn
	timeout time.Duration
	once    sync.Once
	release func()
}

// Write sends bytes before the write deadline.
func (c *conn) Write(p []byte) (int, error) {
	if c.timeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// SyscallConn implements syscall.Conn for connections with a descriptor.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

// Close closes the connection and releases its slot.
func (c *conn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
