// Package entry serves the HTTP API: it authenticates callers, routes their requests to agents and relays the answers.
// It never reports an incomplete answer as complete, or a request that may have run as not run.
//
// Locks: accountLimits.mu, retryBudget.mu and history.mu are leaf locks; no other lock is acquired while one is held.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/wasabishunt/wasabishunt/callers"
	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/connlimit"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// Bookings are the control calls for bookings that the entry makes.
type Bookings interface {
	ClaimBooking(ctx context.Context, in *controlpb.ClaimBookingRequest) (*controlpb.BookingResponse, error)
	ReleaseBooking(ctx context.Context, in *controlpb.ReleaseBookingRequest) (*controlpb.BookingResponse, error)
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Source   controlclient.Source
	Bookings Bookings
	Router   Router
	Agents   *rpcpool.Pool
	PieceKey piece.Key
	Clock    clock.Clock
	Registry gometrics.Registry
	Log      *zap.Logger
}

// Server is the HTTP server of an entry.
type Server struct {
	options  Options
	deps     Dependencies
	catalogs catalogs
	// slots limits requests in flight to MaxConcurrent.
	slots *semaphore.Weighted
	// buffered limits the total size of their bodies to MaxBufferedBytes.
	buffered *semaphore.Weighted
	accounts *accountLimits
	budget   *retryBudget
	history  *history
	draining atomic.Bool
	// running ends shortly before the drain limit of a stop.
	running    context.Context
	endRunning context.CancelCauseFunc
	// confirmed is whether hasConfirmedSet was true since the last confirmation expired.
	confirmed atomic.Bool
	handler   http.Handler
}

// New returns a Server; Serve starts it.
func New(options Options, deps Dependencies) *Server {
	options = options.withDefaults()
	defaults.Set[clock.Clock](&deps.Clock, clock.System{})
	defaults.Set(&deps.Registry, gometrics.NewRegistry())
	defaults.Set(&deps.Log, zap.NewNop())
	s := &Server{
		options:  options,
		deps:     deps,
		slots:    semaphore.NewWeighted(int64(options.MaxConcurrent)),
		buffered: semaphore.NewWeighted(options.MaxBufferedBytes),
		accounts: newAccountLimits(),
		budget:   newRetryBudget(options.RetryShare, options.RetryBurst),
		history:  newHistory(options.MaxRequestRecords),
	}
	s.running, s.endRunning = context.WithCancelCause(context.Background())
	s.handler = s.routes()
	_ = deps.Registry.Register("live_processes", gometrics.NewFunctionalGauge(s.liveProcesses))
	return s
}

// liveProcesses counts the live processes in the entry's view.
func (s *Server) liveProcesses() (live int64) {
	for _, process := range s.deps.Source.Current().Processes {
		if process.State == controlclient.Live {
			live++
		}
	}
	return live
}

// Handler returns the handler of the HTTP interface.
func (s *Server) Handler() http.Handler { return s.handler }

// Serve handles requests on the listener until ctx ends, then stops gracefully: for DrainNotice it still accepts
// requests while readyz fails, so that the load balancer can react; then it closes the listener and lets running
// requests finish.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &callers.Server{Handler: s.handler, Log: s.deps.Log, EndRequests: func() { s.endRunning(errStopEnds) }}
	server.SetLimits(callers.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: s.options.HeaderTimeout, IdleTimeout: s.options.IdleTimeout})
	limited := connlimit.ListenNotify(listener, s.options.MaxConnections, 0, server.RecordRefused)
	served := make(chan error, 1)
	go func() { served <- server.Serve(limited) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	err := s.stop(server, limited)
	return errors.Join(err, <-served)
}

// maxHeaderBytes limits the head of a request.
const maxHeaderBytes = 64 << 10

func (s *Server) stop(server *callers.Server, listener net.Listener) error {
	s.draining.Store(true)
	s.deps.Log.Info("draining", zap.Duration("notice", s.options.DrainNotice))
	notice := time.NewTimer(s.options.DrainNotice)
	defer notice.Stop()
	<-notice.C
	if err := server.StopAccepting(listener); err != nil {
		s.deps.Log.Warn("closing the listener for callers failed", zap.Error(err))
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.options.DrainLimit)
	defer cancel()
	if open := server.Shutdown(ctx); open > 0 {
		return failure.New(failure.DeadlineExceeded, failure.Ran, "%d requests still ran at the end of the drain limit", open)
	}
	s.deps.Log.Info("all requests finished")
	return nil
}

// Draining reports whether the server is stopping.
func (s *Server) Draining() bool { return s.draining.Load() }

// hasConfirmedSet reports whether the set is confirmed for long enough to accept callers. A stale entry becomes ready only
// if at least ReadyMargin is left: a delayed confirmation may expire soon, and if the watch session that delivered it has
// ended, the next confirmation takes up to one call, one pause and one dial.
func (s *Server) hasConfirmedSet(view controlclient.View) bool {
	now := s.deps.Clock.Now()
	if !view.Fresh(now) {
		// While only a newer set is missing, the confirmation still holds: once that set arrives, the entry goes on.
		if view.Set == nil || !now.Before(view.FreshUntil) {
			s.confirmed.Store(false)
		}
		return false
	}
	if s.confirmed.Load() || view.FreshUntil.Sub(now) >= s.options.ReadyMargin {
		s.confirmed.Store(true)
		return true
	}
	return false
}

// Ready returns nil if the entry accepts requests, or the failure that readyz reports.
func (s *Server) Ready() error {
	if s.draining.Load() {
		return failure.New(failure.Draining, failure.NotRun, "this entry is stopping")
	}
	view := s.deps.Source.Current()
	if !s.hasConfirmedSet(view) {
		return failure.New(failure.StaleSet, failure.NotRun, "control has not confirmed the object set")
	}
	for _, process := range view.Processes {
		if process.Role == agentRole && process.State == controlclient.Live {
			return nil
		}
	}
	return failure.New(failure.NoUpstream, failure.NotRun, "no agent is live")
}

// agentRole is the role of agents in the memberships.
const agentRole = "agent"

func (s *Server) count(name string) {
	gometrics.GetOrRegisterCounter(name, s.deps.Registry).Inc(1)
}
