package kv

import (
	"slices"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/piece"
)

// planner plans requests and tracks which pieces are being computed or fetched for the engine.
type planner struct {
	settings fetchplan.Settings

	mu      sync.Mutex
	flights *fetchplan.Flights
	// fetching maps a piece to the request that fetches it now; a second fetch would only share the same link.
	fetching map[piece.Name]string
	// flightsEnded is closed and replaced whenever a request releases its pieces.
	flightsEnded chan struct{}
}

func newPlanner(settings fetchplan.Settings) *planner {
	return &planner{settings: settings, flights: fetchplan.NewFlights(), fetching: map[piece.Name]string{}, flightsEnded: make(chan struct{})}
}

// decide plans a request and registers the pieces that it computes or fetches under one lock, so that of two requests with
// the same prefix the second one waits. With noWait the plan waits for no other request. Pieces that the request had
// registered before are released first.
func (p *planner) decide(r *Request, in fetchplan.Request, noWait bool, slack time.Duration, now time.Time) fetchplan.Plan {
	settings := p.settings
	settings.Off.Wait = settings.Off.Wait || noWait
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(r.owner, r.Pieces)
	in.Sources = p.availableSources(in)
	plan := fetchplan.Decide(settings, in, p.flights, now)
	if limit := usefulPrefix(plan, in, slack); limit < len(r.Pieces) {
		plan = p.replanFrom(settings, in, limit, now)
	}
	p.flights.Begin(r.owner, r.Pieces, announcedPlan(plan), now)
	for i, step := range plan.Steps {
		if step.Action == fetchplan.Fetch {
			p.fetching[r.Pieces[i]] = r.owner
		}
	}
	return plan
}

// availableSources returns the sources without the pieces that another request is fetching.
func (p *planner) availableSources(in fetchplan.Request) []fetchplan.Source {
	sources := slices.Clone(in.Sources)
	for n := range sources {
		sources[n].Has = slices.Clone(sources[n].Has)
		for i := range sources[n].Has {
			if _, busy := p.fetching[in.Pieces[i]]; busy {
				sources[n].Has[i] = false
			}
		}
	}
	return sources
}

// release removes the request's registered pieces and wakes the requests that wait for them. The caller holds mu.
func (p *planner) release(owner string, pieces []piece.Name) {
	p.flights.End(owner, pieces)
	for _, name := range pieces {
		if p.fetching[name] == owner {
			delete(p.fetching, name)
		}
	}
	close(p.flightsEnded)
	p.flightsEnded = make(chan struct{})
}

// usefulPrefix returns the number of leading pieces that are worth fetching or waiting for. An engine uses only a cached
// prefix, so pieces after the first recomputed one are useless. A fetch must not take longer than the recomputation of the
// prefix that it replaces, plus the slack.
func usefulPrefix(plan fetchplan.Plan, in fetchplan.Request, slack time.Duration) int {
	missing := 0
	for i, step := range plan.Steps {
		if step.Action == fetchplan.Cached {
			continue
		}
		missing++
		late := step.Action == fetchplan.Fetch && step.Ready > recomputeTime(missing, in.PrefillRate, in.LongShare)+slack
		if step.Action == fetchplan.Recompute || late {
			return i
		}
	}
	return len(plan.Steps)
}

// recomputeTime returns the prefill time of the given number of pieces.
func recomputeTime(pieces int, rate, share float64) time.Duration {
	if share <= 0 || share > 1 {
		share = 1
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(pieces*piece.TokensPerPiece) / (rate * share) * float64(time.Second))
}

// replanFrom plans again so that all pieces from position limit on are recomputed.
func (p *planner) replanFrom(settings fetchplan.Settings, in fetchplan.Request, limit int, now time.Time) fetchplan.Plan {
	head := in
	head.Pieces = in.Pieces[:limit]
	plan := fetchplan.Decide(settings, head, p.flights, now)
	tail := in
	tail.Sources, tail.CachedPieces = nil, limit
	tail.PrefillWait = max(in.PrefillWait, plan.Ready)
	rest := fetchplan.Decide(settings, tail, nil, now)
	// The plan of the head treats all tokens after its pieces as already computed.
	plan.Steps = append(plan.Steps, rest.Steps[limit:]...)
	return plan
}

// announcedPlan returns the plan as registered for other requests: a fetched piece can be waited for like a computed one.
func announcedPlan(plan fetchplan.Plan) fetchplan.Plan {
	plan.Steps = slices.Clone(plan.Steps)
	for i := range plan.Steps {
		if plan.Steps[i].Action == fetchplan.Fetch {
			plan.Steps[i].Action = fetchplan.Recompute
		}
	}
	return plan
}

// end releases the request's registered pieces.
func (p *planner) end(owner string, pieces []piece.Name) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(owner, pieces)
}

// inProgress reports whether another request still computes or fetches one of the pieces, and returns a channel that is
// closed when a request next releases pieces.
func (p *planner) inProgress(requester string, pieces []piece.Name, now time.Time) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range pieces {
		if owner, ok := p.flights.Owner(name, now); ok && owner != requester {
			return true, p.flightsEnded
		}
	}
	return false, p.flightsEnded
}
