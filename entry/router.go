package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/routing"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// Route is the upstream chosen for a request.
type Route struct {
	Upstream string
	Address  string
	Epoch    uint64
	// Reasons explain the choice in short lines for `wasabishunt explain`.
	Reasons []string
}

// Router picks upstreams and records their load, successes and failures.
type Router interface {
	// Pick returns a live upstream for the request, or a *failure.Error.
	Pick(view controlclient.View, request routing.Request) (Route, error)
	// RecordLoad records a load report from a reply.
	RecordLoad(load *agentpb.UpstreamLoad)
	// RecordSuccess records a complete answer for a prompt with these pieces.
	RecordSuccess(route Route, pieces []piece.Name)
	// RecordFailure records a failed call; unreachable is true if the connection could not be set up.
	RecordFailure(route Route, unreachable bool)
}

// TableRouter routes with package routing over tables of reported loads and prefixes. TableRouter.mu is a leaf
// lock: no other lock is acquired while it is held.
type TableRouter struct {
	zone  string
	clock clock.Clock

	mu       sync.Mutex
	router   *routing.Router
	loads    *routing.Loads
	prefixes *routing.Prefixes
	index    *routing.Index
	// epochs maps an upstream to the highest epoch of its agents.
	epochs map[string]uint64
	// version and revision are those of the view that the index was built from.
	version  uint64
	revision uint64
}

// NewTableRouter returns a router for an entry in an availability zone.
func NewTableRouter(settings routing.Settings, zone string, clk clock.Clock) *TableRouter {
	return &TableRouter{
		zone:     zone,
		clock:    clk,
		router:   routing.New(settings, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		loads:    routing.NewLoads(routing.LoadDefaults()),
		prefixes: routing.NewPrefixes(routing.PrefixDefaults()),
	}
}

// Pick implements Router. It adds the request to the upstream's load at once, so that the next Pick accounts for it.
func (t *TableRouter) Pick(view controlclient.View, request routing.Request) (Route, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(view)
	now := t.clock.Now()
	request.Zone = t.zone
	snapshot := routing.Snapshot{Now: now, Index: t.index, Loads: t.loads, Prefixes: t.prefixes}
	decision, err := t.router.Pick(request, snapshot)
	if err != nil {
		return Route{}, err
	}
	upstream := decision.Upstream
	t.loads.RecordSent(upstream.Name, max(0, request.PromptTokens-decision.CachedTokens), request.Order, now)
	return Route{Upstream: upstream.Name, Address: upstream.AgentAddress, Epoch: t.epochs[upstream.Name], Reasons: decision.Reasons()}, nil
}

// refresh rebuilds the index if the set or the memberships have changed.
func (t *TableRouter) refresh(view controlclient.View) {
	if t.index != nil && view.Version == t.version && view.Revision == t.revision {
		return
	}
	states := map[string]controlclient.ProcessState{}
	t.epochs = map[string]uint64{}
	for _, process := range view.Processes {
		if process.Role != agentRole {
			continue
		}
		// If an upstream has several incarnations or processes, the one with the highest epoch counts.
		if epoch, ok := t.epochs[process.Serves]; ok && epoch > process.Epoch {
			continue
		}
		states[process.Serves] = process.State
		t.epochs[process.Serves] = process.Epoch
	}
	t.index = routing.BuildIndex(view.Set, states, view.Evacuations, t.index)
	if view.Version != t.version {
		names := map[string]bool{}
		for _, upstream := range view.Set.Upstreams {
			names[upstream.Name] = true
		}
		t.loads.Retain(names)
	}
	t.version = view.Version
	t.revision = view.Revision
}

// RecordLoad implements Router.
func (t *TableRouter) RecordLoad(load *agentpb.UpstreamLoad) {
	if load.GetUpstream() == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads.RecordReport(load.GetUpstream(), routing.Report{
		Epoch:        load.GetUpstreamEpoch(),
		QueuedTokens: load.GetQueuedTokens(),
		QueuedAhead:  load.GetQueuedTokensAhead(),
		Running:      load.GetRunning(),
		PrefillRate:  load.GetPrefillTokensPerSecond(),
		DecodeRate:   load.GetDecodeTokensPerSecond(),
		SlotWait:     time.Duration(load.GetSlotWaitMs()) * time.Millisecond,
		Draining:     load.GetDraining(),
		Versions:     load.GetWeightVersions(),
	}, t.clock.Now())
}

// RecordSuccess implements Router.
func (t *TableRouter) RecordSuccess(route Route, pieces []piece.Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads.RecordSuccess(route.Upstream)
	t.prefixes.RecordServed(route.Upstream, route.Epoch, pieces, t.clock.Now())
}

// RecordFailure implements Router.
func (t *TableRouter) RecordFailure(route Route, unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if unreachable {
		t.loads.RecordUnreachable(route.Upstream, t.clock.Now())
		return
	}
	t.loads.RecordFailure(route.Upstream, t.clock.Now())
}

func noUpstream(name string) *failure.Error {
	e := failure.New(failure.NoUpstream, failure.NotRun, "no live upstream serves %q", name)
	e.RetryAfter = time.Second
	return e
}
