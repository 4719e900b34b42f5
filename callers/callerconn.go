package callers

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
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

// callerConn is a caller's connection. It enforces the idle limit and records what ends the connection.
//
// A read deadline cannot serve as the idle limit: package net reports an expired deadline without looking at the socket, and
// after a pause of the process, timers run before the network poller. A request that arrived within the limit would be lost.
type callerConn struct {
	net.Conn
	server  *Server
	limited *limitedServer
	// raw is nil for connections without a descriptor. For these, bytes that arrive at the idle limit may be lost.
	raw syscall.RawConn

	// mu is a leaf lock.
	mu    sync.Mutex
	phase connPhase
	// phaseSince is when the phase began.
	phaseSince time.Time
	// idleLimit is the limit that was in force when the last idle phase began, and idleTimer ends that phase.
	idleLimit time.Duration
	idleTimer *time.Timer
	// waiting is set while a read waits for bytes of a head. net/http also reads while a request is handled, to notice that its caller leaves;
	// such a read does not count, although it may begin before the handler.
	waiting bool
	// headRead is set in phaseHead once net/http has read the head.
	headRead bool
	// handled is set once the handler got the first request.
	handled bool
	// ended is set once the server has decided to close the connection.
	ended  bool
	reason closeReason
	// limit is the time limit behind the reason, if any.
	limit  time.Duration
	closed bool
}

func newCallerConn(conn net.Conn, server *Server, limited *limitedServer) *callerConn {
	return &callerConn{Conn: conn, server: server, limited: limited, raw: rawConn(conn), phase: phaseNew, phaseSince: time.Now()}
}

// beginIdle begins the idle phase.
func (c *callerConn) beginIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginPhase(phaseIdle)
	if c.closed {
		return
	}
	c.idleLimit = c.server.idleTimeout()
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(c.idleLimit, c.checkIdle)
		return
	}
	c.idleTimer.Reset(c.idleLimit)
}

// checkIdle closes the connection if it has been idle for the limit.
func (c *callerConn) checkIdle() {
	if limit, ok := c.expireIdle(time.Now()); ok {
		c.closeFor(closedIdle, limit)
	}
}

// expireIdle reports whether the connection has been idle for the limit, and marks it as ended if so. The limit is the longer one
// of those in force when the idle phase began and now, because the caller may know either.
func (c *callerConn) expireIdle(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseIdle || c.ended || c.closed {
		return 0, false
	}
	limit := max(c.idleLimit, c.server.idleTimeout())
	if left := limit - now.Sub(c.phaseSince); left > 0 {
		c.idleTimer.Reset(left)
		return 0, false
	}
	if !c.endIfSilent() {
		c.idleTimer.Reset(limit)
		return 0, false
	}
	return limit, true
}

// closeIfSilent closes the connection of a stopping server if it waits for a request and no byte has arrived. With inHead it also
// closes one that waits for the rest of a head.
func (c *callerConn) closeIfSilent(inHead bool) {
	c.mu.Lock()
	ended := (c.phase != phaseHead || inHead) && !c.ended && !c.closed && c.endIfSilent()
	c.mu.Unlock()
	if ended {
		c.closeFor(closedAtStop, 0)
	}
}

// endIfSilent marks the connection as ended if a read waits for bytes of a head and none has arrived. No read returns bytes afterwards. The
// caller holds c.mu.
func (c *callerConn) endIfSilent() bool {
	if !c.waiting || c.hasInput() {
		return false
	}
	c.ended = true
	return true
}

// hasInput reports whether a read would return immediately.
func (c *callerConn) hasInput() bool {
	if c.raw == nil {
		return false
	}
	found := true
	err := c.raw.Control(func(fd uintptr) { _, found = socketinput.Peek(fd, make([]byte, 1)) })
	return err != nil || found
}

// closeFor closes the connection for a reason. limit is the time limit that ended it, if any.
func (c *callerConn) closeFor(reason closeReason, limit time.Duration) {
	c.mu.Lock()
	c.reason, c.limit = reason, limit
	c.mu.Unlock()
	_ = c.Close()
}

// beginPhase begins a phase. The caller holds c.mu.
func (c *callerConn) beginPhase(phase connPhase) {
	c.phase, c.phaseSince, c.reason, c.limit, c.headRead = phase, time.Now(), "", 0, false
}

// endHead records that net/http has read a head, and is about to call the handler.
func (c *callerConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headRead = c.phase == phaseHead
}

// beginHandling reports whether this is the first request of the connection.
func (c *callerConn) beginHandling() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginPhase(phaseRequest)
	c.waiting = false
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
	c.mu.Lock()
	inHead := c.phase != phaseRequest && !c.headRead
	wasIdle := c.phase == phaseIdle
	c.waiting = inHead
	c.mu.Unlock()
	var n int
	var err error
	if inHead && c.raw != nil {
		n, err = c.readHead(p)
	} else {
		n, err = c.Conn.Read(p)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readArrived(p, err)
	}
	c.recordRead(n, err)
	if wasIdle && n > 0 {
		// net/http sets the deadline of a further head only after its first four bytes.
		_ = c.SetReadDeadline(time.Now().Add(c.limited.limits.timeout))
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.recordReason(closedSlow)
	case !errors.Is(err, net.ErrClosed):
		// The kernel reports a reset once, so a read would only find an end of file, and not before the handler has aborted.
		c.recordReason(closedByCaller)
	}
	return n, err
}

// readHead reads bytes of a head. It takes them from the socket with c.mu held, so that the connection is either closed before
// them or not closed for being silent.
func (c *callerConn) readHead(p []byte) (n int, err error) {
	var readErr error
	err = c.raw.Read(func(fd uintptr) bool {
		n, readErr = c.receive(fd, p)
		return readErr != syscall.EAGAIN
	})
	return n, cmp.Or(err, readErr)
}

// readArrived returns the bytes that arrived before a read deadline that has expired.
func (c *callerConn) readArrived(p []byte, deadlineErr error) (n int, err error) {
	if c.raw == nil {
		return 0, deadlineErr
	}
	controlErr := c.raw.Control(func(fd uintptr) { n, err = c.receive(fd, p) })
	if controlErr != nil || n <= 0 {
		return 0, deadlineErr
	}
	return n, err
}

// receive reads from the socket without waiting, unless the server has decided to close the connection.
func (c *callerConn) receive(fd uintptr, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, net.ErrClosed
	}
	for {
		n, _, err := syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return 0, err
		case err != nil:
			return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvfrom", err)}
		case n == 0 && len(p) > 0:
			return 0, io.EOF
		default:
			c.waiting = false
			if n > 0 && (c.phase == phaseNew || c.phase == phaseIdle) {
				c.beginPhase(phaseHead)
			}
			return n, nil
		}
	}
}

// recordRead records the outcome of a read for the phase and the reason.
func (c *callerConn) recordRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
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
	case c.phase != phaseRequest:
		c.reason, c.limit = closedHeaderTimeout, c.limited.limits.timeout
	}
}

// Close closes the connection and records why.
func (c *callerConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	event := closeEvent{reason: c.reason, phase: c.phase, inPhase: time.Since(c.phaseSince), limit: c.limit}
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	c.mu.Unlock()
	if first {
		c.server.recordClose(c, event)
	}
	if linger, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok && event.reason == closedSlow {
		// The kernel would keep the unread bytes until the caller takes them, and then close in order.
		_ = linger.SetLinger(0)
	}
	return c.Conn.Close()
}

// maxUnreadCounted bounds the unread bytes that are counted when a connection is closed.
const maxUnreadCounted = 4096

// unread returns how many bytes wait unread in the socket, up to maxUnreadCounted.
func (c *callerConn) unread() int {
	if c.raw == nil {
		return 0
	}
	count := 0
	_ = c.raw.Control(func(fd uintptr) { count, _ = socketinput.Peek(fd, make([]byte, maxUnreadCounted)) })
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
