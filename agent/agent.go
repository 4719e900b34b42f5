// Package agent implements the process beside one upstream. It owns the upstream's queue, running streams, fencing token,
// measured load and cache contents, and forwards plain calls to a service.
//
// Lock order: no lock is acquired while Agent.mu (queue and table of jobs) is held. The locks of rates, prefillTimes,
// weights and cacheContents are leaf locks: no other lock is acquired while one of them is held.
package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/wasabishunt/wasabishunt/agent/kv"
	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/connlimit"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/sched"
	"github.com/wasabishunt/wasabishunt/serving/versionlimit"
	"github.com/wasabishunt/wasabishunt/supervise"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
	"github.com/wasabishunt/wasabishunt/upstream/service"
)

// Control are the calls to the control members that the agent makes.
type Control interface {
	DispatchBooking(ctx context.Context, in *controlpb.DispatchBookingRequest) (*controlpb.BookingResponse, error)
	FinishBooking(ctx context.Context, in *controlpb.FinishBookingRequest) (*controlpb.BookingResponse, error)
	AcquireLoadSlot(ctx context.Context, in *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error)
	ReleaseLoadSlot(ctx context.Context, in *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error)
}

// Dependencies are the components that an Agent uses. Engine is nil for an agent of a plain service, and Service is nil
// for an agent of an engine.
type Dependencies struct {
	Source  controlclient.Source
	Control Control
	Engine  engine.Client
	Service *service.Client
	// Stores is nil if no pieces are kept outside the engine.
	Stores kv.Stores
	// PieceKey is the key of piece names; it is the same on all entries and agents.
	PieceKey piece.Key
	Clock    clock.Clock
	Registry gometrics.Registry
	Log      *zap.Logger
}

// Agent serves one upstream.
type Agent struct {
	options Options
	deps    Dependencies
	rates   *rates
	// prefills measures how long the engine computes each prompt.
	prefills prefillTimes
	weights  *weights
	cache    *cacheContents
	// pieces moves KV pieces between the engine and the stores; nil for a plain service.
	pieces *kv.Mover
	// firstTokenTimes holds times to first token on the engine in milliseconds. It is a histogram, because the timers of
	// go-metrics start a goroutine that never ends.
	firstTokenTimes gometrics.Histogram

	// background counts reports of booking outcomes that continue after their call; each is bounded by FinishRetryTimeout.
	background sync.WaitGroup

	mu          sync.Mutex
	jobs        map[string]*job
	queue       *sched.Queue
	running     int64
	activeCalls int
	draining    bool
	// drainStarted is closed when draining becomes true.
	drainStarted chan struct{}
	// drained is closed when draining is true and no call is active.
	drained chan struct{}
	// wakeup has a buffer of one; a value in it means that a worker may find a job.
	wakeup chan struct{}
	// serviceUnreachable is true while the last connection attempt to the plain service failed.
	serviceUnreachable atomic.Bool
	// setVersions holds the set versions observed.
	setVersions versionlimit.Versions
	// configuredVersion is the set version from which the queue is configured; only watchSet uses it.
	configuredVersion uint64
}

// New returns an Agent; Serve starts it.
func New(options Options, deps Dependencies) *Agent {
	options = options.withDefaults()
	defaults.Set[clock.Clock](&deps.Clock, clock.System{})
	defaults.Set(&deps.Registry, gometrics.NewRegistry())
	defaults.Set(&deps.Log, zap.NewNop())
	a := &Agent{
		options:      options,
		deps:         deps,
		jobs:         map[string]*job{},
		queue:        newQueue(options),
		drained:      make(chan struct{}),
		drainStarted: make(chan struct{}),
		wakeup:       make(chan struct{}, 1),
		rates:        &rates{},
		cache:        newCacheContents(deps.Clock, options.MaxCachePieces, options.MaxEventLag),
	}
	a.firstTokenTimes = gometrics.GetOrRegisterHistogram("runs.first_token_ms", deps.Registry, gometrics.NewExpDecaySample(1028, 0.015))
	a.weights = newWeights(a)
	a.pieces = newMover(a)
	return a
}

// Serve accepts calls on the listener until ctx ends. It returns after all of the agent's goroutines have ended. Call
// Drain first: canceling ctx breaks running calls.
func (a *Agent) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := agentpb.DRPCRegisterAgent(mux, a); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(supervise.Handler{Handler: mux, Log: a.deps.Log}, drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: a.options.MaxMessageBytes},
	}})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return server.Serve(ctx, connlimit.Listen(listener, a.options.MaxConnections, a.options.WriteTimeout))
	})
	group.Go(func() error { a.watchSet(ctx); return nil })
	if a.deps.Engine != nil {
		group.Go(func() error { a.weights.run(ctx); return nil })
		group.Go(func() error { a.pollCacheEvents(ctx); return nil })
		group.Go(func() error { a.pieces.Run(ctx); return nil })
		for range a.options.Workers {
			group.Go(func() error { a.runWorker(ctx); return nil })
		}
	}
	err := group.Wait()
	a.background.Wait()
	return err
}

// watchSet records when a set version came into force, configures the queue from it, and drains when control marks this
// agent as leaving.
func (a *Agent) watchSet(ctx context.Context) {
	for {
		changed := a.deps.Source.Changed()
		view := a.deps.Source.Current()
		if a.setChanged(view) {
			a.configureQueue(view.Set)
		}
		if upstream, _, ok := a.upstream(view.Set); ok {
			a.rates.setEstimates(upstream)
		}
		if a.isLeaving(view) && a.beginDrain() {
			a.deps.Log.Info("reported as leaving")
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// setChanged reports whether the view's set version differs from the one that the queue was configured from.
func (a *Agent) setChanged(view controlclient.View) bool {
	a.recordSetVersion(view.Version)
	changed := view.Set != nil && view.Version != a.configuredVersion
	a.configuredVersion = view.Version
	return changed
}

// recordSetVersion records the observation of a set version. It returns the oldest version under which work may be sent: one that was replaced less
// than SetGrace ago.
func (a *Agent) recordSetVersion(version uint64) (oldest uint64) {
	now := a.deps.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setVersions = a.setVersions.After(a.options.SetGrace, now)
	if version > a.setVersions.Newest() {
		a.setVersions = a.setVersions.Record(version, now)
	}
	return a.setVersions.Required()
}

// isLeaving reports whether control marks this agent as leaving. The state of an earlier incarnation does not count: after
// a graceful stop it is still recorded as leaving, and the agent may read that record before this incarnation has registered.
func (a *Agent) isLeaving(view controlclient.View) bool {
	process, ok := view.Processes[a.options.ProcessID]
	return ok && process.Epoch == view.Epoch && process.State == controlclient.Leaving
}

// upstream returns the agent's upstream and its deployment in the set.
func (a *Agent) upstream(set *objectset.Set) (objectset.Upstream, objectset.Deployment, bool) {
	if set == nil {
		return objectset.Upstream{}, objectset.Deployment{}, false
	}
	for _, u := range set.Upstreams {
		if u.Name != a.options.Upstream {
			continue
		}
		for _, d := range set.Deployments {
			if d.Name == u.Deployment {
				return u, d, true
			}
		}
	}
	return objectset.Upstream{}, objectset.Deployment{}, false
}

// Status implements the Agent service.
func (a *Agent) Status(context.Context, *agentpb.StatusRequest) (*agentpb.UpstreamLoad, error) {
	return a.load(), nil
}
