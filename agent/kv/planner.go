package kv

import (
	"slices"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/piece"
)

// planner decides about requests and knows which pieces are on their way into the engine.
type planner struct {
	settings fetchplan.Settings

	mu      sync.Mutex
	flights *fetchplan.Flights
	// fetching names the request that fetches a piece now; another one would only share the same link.
	fetching map[piece.Name]string
	// landed is closed and replaced whenever flights end.
	landed chan struct{}
}

func newPlanner(settings fetchplan.Settings) *planner {
	return &planner{settings: settings, flights: fetchplan.NewFlights(), fetching: map[piece.Name]string{}, landed: make(chan struct{})}
}

// decide plans a request and registers the pieces that it computes or fetches, in one step, so that of two requests
// with the same prefix the second one waits. A request that is alone waits for no other. Pieces that the request registered before are given up first.
func (p *planner) decide(r *Request, in fetchplan.Request, alone bool, slack time.Duration, now time.Time) fetchplan.Plan {
	settings := p.settings
	settings.Off.Wait = settings.Off.Wait || alone
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(r.owner, r.Pieces)
	in.Sources = p.unfetched(in)
	plan := fetchplan.Decide(settings, in, p.flights, now)
	if limit := usable(plan, in, slack); limit < len(r.Pieces) {
		plan = p.cut(settings, in, limit, now)
	}
	p.flights.Begin(r.owner, r.Pieces, claim(plan), now)
	for i, step := range plan.Steps {
		if step.Action == fetchplan.Fetch {
			p.fetching[r.Pieces[i]] = r.owner
		}
	}
	return plan
}

// unfetched returns the sources without the pieces that another request fetches already.
func (p *planner) unfetched(in fetchplan.Request) []fetchplan.Source {
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

// release forgets the request's registered pieces and wakes those who wait for them. The caller holds mu.
func (p *planner) release(owner string, pieces []piece.Name) {
	p.flights.End(owner, pieces)
	for _, name := range pieces {
		if p.fetching[name] == owner {
			delete(p.fetching, name)
		}
	}
	close(p.landed)
	p.landed = make(chan struct{})
}

// usable is the number of leading pieces that are worth fetching or waiting for. An engine uses only a prefix from its
// cache, so nothing counts after the first recomputed piece; and a fetch must not take longer than the recomputation of
// the prefix that it replaces, plus the slack.
func usable(plan fetchplan.Plan, in fetchplan.Request, slack time.Duration) int {
	missing := 0
	for i, step := range plan.Steps {
		if step.Action == fetchplan.Cached {
			continue
		}
		missing++
		late := step.Action == fetchplan.Fetch && step.Ready > recomputation(missing, in.PrefillRate, in.LongShare)+slack
		if step.Action == fetchplan.Recompute || late {
			return i
		}
	}
	return len(plan.Steps)
}

// recomputation is the prefill time of so many pieces.
func recomputation(pieces int, rate, share float64) time.Duration {
	if share <= 0 || share > 1 {
		share = 1
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(pieces*piece.TokensPerPiece) / (rate * share) * float64(time.Second))
}

// cut plans again with all pieces from a position on recomputed.
func (p *planner) cut(settings fetchplan.Settings, in fetchplan.Request, limit int, now time.Time) fetchplan.Plan {
	head := in
	head.Pieces = in.Pieces[:limit]
	plan := fetchplan.Decide(settings, head, p.flights, now)
	tail := in
	tail.Sources, tail.CachedPieces = nil, limit
	tail.PrefillWait = max(in.PrefillWait, plan.Ready)
	rest := fetchplan.Decide(settings, tail, nil, now)
	// The plan of the head counts all tokens after its pieces as computed already.
	plan.Steps = append(plan.Steps, rest.Steps[limit:]...)
	return plan
}

// claim is the plan as others see it: a piece that is being fetched is on its way just as a computed one.
func claim(plan fetchplan.Plan) fetchplan.Plan {
	plan.Steps = slices.Clone(plan.Steps)
	for i := range plan.Steps {
		if plan.Steps[i].Action == fetchplan.Fetch {
			plan.Steps[i].Action = fetchplan.Recompute
		}
	}
	return plan
}

// end gives up the request's registered pieces.
func (p *planner) end(owner string, pieces []piece.Name) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(owner, pieces)
}

// foreign reports whether another request still brings one of the pieces, and a channel that is closed at the next end.
func (p *planner) foreign(own string, pieces []piece.Name, now time.Time) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range pieces {
		if owner, ok := p.flights.Owner(name, now); ok && owner != own {
			return true, p.landed
		}
	}
	return false, p.landed
}
