package callers

import (
	"net"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// closeReason is why a caller's connection ended.
type closeReason string

const (
	closedByCaller      closeReason = "caller"
	closedIdle          closeReason = "idle_limit"
	closedHeaderTimeout closeReason = "header_timeout"
	closedAtStop        closeReason = "stop"
	closedAborted       closeReason = "aborted"
	// closedSlow is the end after a write that the caller did not take in time.
	closedSlow closeReason = "slow"
	// closedAnswered is the planned end after an answer.
	closedAnswered closeReason = "answered"
	// closedMalformed is the end after a head that is no request or too long.
	closedMalformed closeReason = "malformed"
)

// closeEvent describes the end of a caller's connection.
type closeEvent struct {
	reason closeReason
	phase  connPhase
	// inPhase is how long the phase had lasted.
	inPhase time.Duration
	// limit is the time limit that ended the connection, if any.
	limit  time.Duration
	unread int
}

// maxCloseLines is the number of log lines on closed connections in one second. Further ones are counted.
const maxCloseLines = 20

// closeLog counts the ends of callers' connections, and writes a line for those at which this process may have ignored a
// request.
type closeLog struct {
	log    *zap.Logger
	counts map[closeReason]gometrics.Counter
	unread gometrics.Counter
	// refused counts connections above the limit.
	refused gometrics.Counter

	mu         sync.Mutex
	second     time.Time
	lines      int
	suppressed int
}

func newCloseLog(log *zap.Logger, r gometrics.Registry) *closeLog {
	if r == nil {
		r = gometrics.NewRegistry()
	}
	return &closeLog{log: log, counts: map[closeReason]gometrics.Counter{
		closedByCaller:      gometrics.GetOrRegisterCounter("gateway.closed_by_caller", r),
		closedIdle:          gometrics.GetOrRegisterCounter("gateway.closed_idle", r),
		closedHeaderTimeout: gometrics.GetOrRegisterCounter("gateway.closed_header_timeout", r),
		closedAtStop:        gometrics.GetOrRegisterCounter("gateway.closed_at_stop", r),
		closedAborted:       gometrics.GetOrRegisterCounter("gateway.closed_aborted", r),
		closedSlow:          gometrics.GetOrRegisterCounter("gateway.closed_slow", r),
		closedAnswered:      gometrics.GetOrRegisterCounter("gateway.closed_answered", r),
		closedMalformed:     gometrics.GetOrRegisterCounter("gateway.closed_malformed", r),
	}, unread: gometrics.GetOrRegisterCounter("gateway.closed_unread", r), refused: gometrics.GetOrRegisterCounter("gateway.closed_over_limit", r)}
}

// record counts a closed connection.
func (l *closeLog) record(caller net.Addr, e closeEvent) {
	l.counts[e.reason].Inc(1)
	if e.unread > 0 && e.reason != closedByCaller {
		l.unread.Inc(1)
	}
	switch e.reason {
	case closedByCaller, closedAnswered, closedMalformed:
		return
	case closedIdle:
		if e.unread == 0 {
			return
		}
	case closedAtStop:
		if e.unread == 0 && (e.phase == phaseIdle || e.phase == phaseNew) {
			return
		}
	}
	suppressed, ok := l.takeLine(time.Now())
	if !ok {
		return
	}
	l.log.Info("connection of a caller closed", zap.Stringer("caller", caller), zap.String("reason", string(e.reason)), zap.String("phase", string(e.phase)),
		zap.Duration("in_phase", e.inPhase), zap.Duration("limit", e.limit), zap.Int("unread", e.unread), zap.Int("suppressed", suppressed))
}

// recordRefused records a connection above the limit.
func (l *closeLog) recordRefused(conn net.Conn) {
	l.refused.Inc(1)
	if suppressed, ok := l.takeLine(time.Now()); ok {
		l.log.Info("connection of a caller above the limit", zap.Stringer("caller", conn.RemoteAddr()), zap.Int("suppressed", suppressed))
	}
}

// takeLine reports whether one more line may be written, and how many were suppressed since the last one.
func (l *closeLog) takeLine(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	if l.lines >= maxCloseLines {
		l.suppressed++
		return 0, false
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// closes returns the log of closed connections.
func (s *Server) closes() *closeLog {
	s.closeLogOnce.Do(func() { s.closeLog = newCloseLog(s.Log, s.Metrics) })
	return s.closeLog
}

// RecordRefused records a connection that was closed because there were too many.
func (s *Server) RecordRefused(conn net.Conn) { s.closes().recordRefused(conn) }

// recordClose records the end of a connection.
func (s *Server) recordClose(c *callerConn, e closeEvent) {
	if e.reason == "" {
		e.reason = s.closeReason(e.phase)
	}
	if e.reason != closedByCaller {
		e.unread = c.unread()
	}
	s.closes().record(c.RemoteAddr(), e)
	s.release(c)
}

// closeReason returns why the server closed a connection in a phase if nothing else was recorded.
func (s *Server) closeReason(phase connPhase) closeReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case phase == phaseRequest:
		return closedAnswered
	case s.stopped:
		return closedAtStop
	default:
		return closedMalformed
	}
}
