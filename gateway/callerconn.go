package gateway

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/wasabishunt/wasabishunt/socketinput"
)

// connPhase is what a caller's connection is in use for.
type connPhase string

const (
	// phaseNew is the time until the first byte of the first request.
	phaseNew connPhase = "new"
	// phaseHead lasts from the first byte of a request until its head is complete.
	phaseHead connPhase = "head"
	// phaseRequest lasts until the answer is complete.
	phaseRequest connPhase = "request"
	// phaseIdle lasts until the first byte of the next request.
	phaseIdle connPhase = "idle"
)

// callerConn is a caller's connection. It records what ends the connection.
type callerConn struct {
	net.Conn
	server  *Server
	limited *limitedServer

	// mu is a leaf lock.
	mu    sync.Mutex
	phase connPhase
	// phaseSince is when the phase began.
	phaseSince time.Time
	// handled is set once the handler got the first request.
	handled bool
	reason  closeReason
	closed  bool
}

func newCallerConn(conn net.Conn, server *Server, limited *limitedServer) *callerConn {
	return &callerConn{Conn: conn, server: server, limited: limited, phase: phaseNew, phaseSince: time.Now()}
}

// setPhase begins a phase.
func (c *callerConn) setPhase(phase connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginPhase(phase)
}

// beginPhase begins a phase. The caller holds c.mu.
func (c *callerConn) beginPhase(phase connPhase) {
	c.phase, c.phaseSince, c.reason = phase, time.Now(), ""
}

// beginHandling reports whether this is the first request of the connection.
func (c *callerConn) beginHandling() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginPhase(phaseRequest)
	first := !c.handled
	c.handled = true
	return first
}

// recordReason sets the reason for the end of the connection. The first reason within a phase counts.
func (c *callerConn) recordReason(reason closeReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == "" {
		c.reason = reason
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordRead(n, err)
	return n, err
}

// recordRead records the outcome of a read for the phase and the reason.
func (c *callerConn) recordRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && (c.phase == phaseNew || c.phase == phaseIdle) {
		c.beginPhase(phaseHead)
	}
	var netError net.Error
	switch {
	case err == nil || c.reason != "":
	case !errors.As(err, &netError) || !netError.Timeout():
		if !errors.Is(err, net.ErrClosed) {
			c.reason = closedByCaller
		}
	case c.phase == phaseIdle:
		c.reason = closedIdle
	case c.phase == phaseNew || c.phase == phaseHead:
		c.reason = closedHeaderTimeout
	}
}

// Close closes the connection and records why.
func (c *callerConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	event := closeEvent{reason: c.reason, phase: c.phase, inPhase: time.Since(c.phaseSince)}
	c.mu.Unlock()
	if first {
		c.server.recordClose(c, event)
	}
	return c.Conn.Close()
}

// maxUnreadCounted bounds the unread bytes that are counted when a connection is closed.
const maxUnreadCounted = 4096

// unread returns how many bytes wait unread in the socket, up to maxUnreadCounted.
func (c *callerConn) unread() int {
	raw := rawConn(c.Conn)
	if raw == nil {
		return 0
	}
	count := 0
	_ = raw.Control(func(fd uintptr) { count, _ = socketinput.Peek(fd, make([]byte, maxUnreadCounted)) })
	return count
}

// rawConn returns the raw connection of a socket, nil for connections without a descriptor.
func rawConn(conn net.Conn) syscall.RawConn {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
