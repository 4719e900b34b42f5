// Package callers accepts the connections of callers, enforces time limits on them, and ends them at a stop without losing a request that
// has arrived.
package callers

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/failure"
)

// Server accepts callers' connections. Changed limits on heads apply to new connections only, a changed idle limit to all.
type Server struct {
	Handler http.Handler
	Log     *zap.Logger
	// Metrics is the registry for counters of closed connections; nil for none.
	Metrics gometrics.Registry
	// EndRequests is called shortly before the end of a stop and makes the handler answer the requests in progress; nil if it does not.
	EndRequests func()

	closeLogOnce sync.Once
	closeLog     *closeLog

	// idleLimit is the published idle limit in ns.
	idleLimit atomic.Int64

	mu sync.Mutex
	// newConns are accepted connections whose first request has not reached the handler yet.
	newConns map[net.Conn]struct{}
	limits   Limits
	current  *limitedServer
	// servers has the current server, and earlier ones for as long as they have connections.
	servers map[headLimits]*limitedServer
	stopped bool
	// closingAt is set by StopAccepting; acceptDone is closed when Serve has returned.
	closingAt  time.Time
	acceptDone chan struct{}
}

// acceptPause is the wait after a failed accept.
const acceptPause = 20 * time.Millisecond

// debugLog writes the log lines of net/http at debug level, because broken connections of callers are not errors.
type debugLog struct{ log *zap.Logger }

// Write implements io.Writer.
func (d debugLog) Write(line []byte) (int, error) {
	d.log.Debug("connection of a caller", zap.ByteString("line", line))
	return len(line), nil
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.start(listener.Addr())
	acceptDone := make(chan struct{})
	s.acceptDone = acceptDone
	s.mu.Unlock()
	defer close(acceptDone)
	emptyRounds, isLastRound := 0, false
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if emptyRounds++; emptyRounds >= maxEmptyRounds || isLastRound {
				return nil
			}
			// An expired deadline says nothing about the queue, so there is one more round after maxFinalAccept.
			var ok bool
			if isLastRound, ok = s.extendAccept(listener); !ok {
				return nil
			}
			continue
		}
		if err != nil {
			// The process may be out of file descriptors: connections wait in the kernel's queue until others are closed.
			s.Log.Warn("accepting a connection failed", zap.Error(failure.Wrap(err, failure.Overloaded, failure.NotRun, "accept")))
			time.Sleep(acceptPause)
			continue
		}
		emptyRounds = 0
		s.mu.Lock()
		current := s.current
		conn := newCallerConn(accepted, s, current)
		current.open[conn] = struct{}{}
		if s.newConns == nil {
			s.newConns = map[net.Conn]struct{}{}
		}
		s.newConns[conn] = struct{}{}
		s.mu.Unlock()
		select {
		case current.conns <- conn:
		case <-current.closed:
			s.removeNewConn(conn)
			_ = conn.Close()
		}
	}
}

const (
	// finalAcceptTime is how long a stopping server waits for further connections that callers have already opened.
	finalAcceptTime = 50 * time.Millisecond
	// maxEmptyRounds is the number of such waits without a connection after which the queue is taken for empty. On a busy VM the
	// first one may end before anything was accepted.
	maxEmptyRounds = 2
	// maxFinalAccept is the time after which a stopping server begins its last such wait.
	maxFinalAccept = time.Second
)

// deadliner is a listener whose Accept can be limited in time.
type deadliner interface{ SetDeadline(t time.Time) error }

// extendAccept lets a stopping server wait for further connections. It reports whether it does, and whether for the last time.
func (s *Server) extendAccept(listener net.Listener) (isLast, ok bool) {
	s.mu.Lock()
	closingAt := s.closingAt
	s.mu.Unlock()
	l, ok := listener.(deadliner)
	if !ok || closingAt.IsZero() {
		return false, false
	}
	return time.Since(closingAt) > maxFinalAccept, l.SetDeadline(time.Now().Add(finalAcceptTime)) == nil
}

// StopAccepting closes the listener of Serve after accepting the connections in the kernel's queue. The kernel resets
// queued connections when the listener is closed, although their callers may have sent requests.
func (s *Server) StopAccepting(listener net.Listener) error {
	s.mu.Lock()
	s.closingAt = time.Now()
	acceptDone := s.acceptDone
	s.mu.Unlock()
	if l, ok := listener.(deadliner); ok && acceptDone != nil {
		if err := l.SetDeadline(time.Now().Add(finalAcceptTime)); err != nil {
			return errors.Join(err, listener.Close())
		}
		<-acceptDone
	}
	return listener.Close()
}

// callerConnKey is the key of the callerConn in the context of its requests.
type callerConnKey struct{}

// statedIdleTime returns the whole seconds for which callers are told that they may use an idle connection again, 0 if the limit is too
// short for that. It is four fifths of the limit: a request that crosses the close at the limit is lost.
func statedIdleTime(limit time.Duration) int { return int(limit * 4 / 5 / time.Second) }

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		s.Handler.ServeHTTP(w, r)
		return
	}
	if conn.beginHandling() {
		s.removeNewConn(conn)
	}
	if stated := statedIdleTime(s.idleTimeout()); stated > 0 && !r.Close {
		w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(stated))
	}
	completed := false
	defer func() {
		if !completed {
			conn.recordReason(closedAborted)
		}
	}()
	s.Handler.ServeHTTP(w, r)
	completed = true
}

func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateClosed, http.StateHijacked:
		s.removeNewConn(conn)
	case http.StateActive:
		if c, ok := conn.(*callerConn); ok {
			c.endHead()
		}
	case http.StateIdle:
		if c, ok := conn.(*callerConn); ok {
			c.beginIdle()
		}
	}
}

func (s *Server) removeNewConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.newConns, conn)
}

// waitForNewConns waits until the first requests of all connections have reached the handler, for newConnGrace at most. Once
// http.Server shuts down, it ignores connections that it has not accepted, and drops requests that it has just read.
func (s *Server) waitForNewConns(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, newConnGrace)
	defer cancel()
	for ctx.Err() == nil {
		s.mu.Lock()
		waiting := len(s.newConns)
		s.mu.Unlock()
		if waiting == 0 {
			return
		}
		clock.Sleep(ctx, time.Millisecond)
	}
}

// newConnGrace is how long a new connection has to send its first request during a shutdown, and a kept one the rest of a head.
const newConnGrace = 300 * time.Millisecond

// Shutdown closes idle connections, waits for requests in progress until the context ends, and then closes all. It returns the number of
// connections that were cut. It does not use http.Server.Shutdown, which closes connections with unread requests and drops
// requests that it has just read.
func (s *Server) Shutdown(ctx context.Context) (cut int) {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	headsUntil := time.Now().Add(newConnGrace)
	if deadline, ok := ctx.Deadline(); ok && s.EndRequests != nil {
		timer := time.AfterFunc(time.Until(deadline)-finalAnswerTime, s.EndRequests)
		defer timer.Stop()
	}
	s.waitForNewConns(ctx)
	if cut = s.drain(ctx, headsUntil); cut > 0 {
		s.Log.Warn("requests cut at the end of a stop", zap.Int("open", cut), zap.Error(ctx.Err()))
	}
	s.mu.Lock()
	servers := slices.Collect(maps.Values(s.servers))
	s.mu.Unlock()
	for _, g := range servers {
		_ = g.server.Close()
	}
	return cut
}

const (
	// finalAnswerTime is the time before the end of a stop in which the last requests get their answers.
	finalAnswerTime = 200 * time.Millisecond

	minDrainPoll = time.Millisecond
	maxDrainPoll = 50 * time.Millisecond
)

// drain closes connections once they wait for a request and none has arrived, until all are closed or the context ends. From
// headsUntil it also closes those that wait for the rest of a head, which would hold the stop up until the header timeout. It returns
// the number of open connections.
func (s *Server) drain(ctx context.Context, headsUntil time.Time) int {
	for poll := minDrainPoll; ; poll = min(2*poll, maxDrainPoll) {
		conns := s.openConns()
		for _, c := range conns {
			c.closeIfSilent(!time.Now().Before(headsUntil))
		}
		if len(conns) == 0 || ctx.Err() != nil {
			return len(conns)
		}
		clock.Sleep(ctx, poll)
	}
}

// openConns returns all open connections.
func (s *Server) openConns() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conns []*callerConn
	for _, g := range s.servers {
		conns = slices.AppendSeq(conns, maps.Keys(g.open))
	}
	return conns
}
