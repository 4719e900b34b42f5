package kv

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/piece"
)

// maxRounds bounds the plans for one request: a plan that failed is replaced, at last by recomputation.
const maxRounds = 3

// Ticket is the part that a Mover plays in one request. The caller ends each ticket with Done. All methods
// but those of its preparation take a nil ticket, that of a request without pieces.
type Ticket struct {
	mover   *Mover
	request Request
	// fetched tells which pieces were brought from a store for this request. Only Prepare changes it.
	fetched []bool
	// waitUntil ends all waits for other requests together; it is set with the first one.
	waitUntil time.Time
	// alone is set once such a wait was given up.
	alone bool

	ended sync.Once
	// Decisions are lines for `wasabishunt explain`.
	Decisions []string
}

// Prepare brings missing whole pieces of the prompt into the engine where that is expected to be sooner than their
// recomputation. It returns at the latest when the recomputation would have been done, plus a small bound. Whatever is
// missing after that is recomputed.
func (m *Mover) Prepare(ctx context.Context, r Request) *Ticket {
	r.owner = strconv.FormatUint(m.tickets.Add(1), 10)
	t := &Ticket{mover: m, request: r, fetched: make([]bool, len(r.Pieces))}
	t.gather(ctx)
	return t
}

// Refresh brings back pieces that the engine has evicted while the request was queued. It waits for no other request,
// because the engine is held for this one.
func (t *Ticket) Refresh(ctx context.Context) {
	t.alone = true
	t.Decisions = nil
	t.gather(ctx)
}

// gather plans and carries out until nothing is left to fetch or to wait for.
func (t *Ticket) gather(ctx context.Context) {
	m, r := t.mover, &t.request
	cached := m.deps.Cache.PrefixPieces(r.Pieces)
	if cached == len(r.Pieces) {
		return
	}
	sources := m.sources(ctx, r, cached)
	for round := range maxRounds {
		plan, in := t.plan(sources, m.deps.Cache.PrefixPieces(r.Pieces))
		last := round == maxRounds-1
		if (plan.FetchedTokens == 0 && plan.WaitTokens == 0) || ctx.Err() != nil || last {
			return
		}
		if !t.carryOut(ctx, plan, in, sources) {
			sources = nil
		}
	}
}

func (t *Ticket) plan(sources []source, cached int) (fetchplan.Plan, fetchplan.Request) {
	r := &t.request
	state := r.Engine()
	in := fetchplan.Request{
		Pieces: r.Pieces, CachedPieces: cached, PromptTokens: r.PromptTokens, PieceBytes: r.PieceBytes,
		PrefillRate: state.PrefillRate, PrefillWait: state.PrefillWait, LongShare: state.LongShare,
	}
	for _, s := range sources {
		in.Sources = append(in.Sources, s.Source)
	}
	plan := t.mover.planner.decide(r, in, t.alone, t.mover.options.FetchSlack, t.mover.deps.Clock.Now())
	t.Decisions = append(t.Decisions, plan.Reasons()...)
	return plan, in
}

// carryOut fetches and waits as planned. It reports false if a fetch failed.
func (t *Ticket) carryOut(ctx context.Context, plan fetchplan.Plan, in fetchplan.Request, sources []source) bool {
	var whole bool
	var group sync.WaitGroup
	group.Go(func() { whole = t.fetch(ctx, plan, in, sources) })
	group.Go(func() { t.wait(ctx, plan) })
	group.Wait()
	return whole
}

// within limits a step by its budget and by half of the time to the deadline, so that a recomputation still has a
// chance if the step fails.
func (t *Ticket) within(ctx context.Context, budget time.Duration) (context.Context, context.CancelFunc) {
	left := t.request.Deadline.Sub(t.mover.deps.Clock.Now())
	return context.WithTimeout(ctx, min(budget, left/2))
}

// wait returns when no other request brings a piece that the plan waits for, or when the recomputation would have been
// done.
func (t *Ticket) wait(ctx context.Context, plan fetchplan.Plan) {
	var names []piece.Name
	budget := t.mover.options.FetchSlack
	for i, step := range plan.Steps {
		if step.Action == fetchplan.Wait {
			names = append(names, t.request.Pieces[i])
			budget = max(budget, step.Other+t.mover.options.FetchSlack)
		}
	}
	if len(names) == 0 {
		return
	}
	t.mover.counts.waits.Inc(1)
	started := t.mover.deps.Clock.Now()
	if t.waitUntil.IsZero() {
		t.waitUntil = started.Add(budget)
	}
	budget = t.waitUntil.Sub(started)
	ctx, cancel := t.within(ctx, budget)
	defer cancel()
	outcome := "ended"
	for outcome == "ended" {
		pending, landed := t.mover.planner.foreign(t.request.owner, names, t.mover.deps.Clock.Now())
		if !pending {
			break
		}
		select {
		case <-landed:
		case <-ctx.Done():
			outcome, t.alone = "given up", true
		}
	}
	took := t.mover.deps.Clock.Now().Sub(started)
	t.decided("wait for %d pieces of another request %s after %v, limit %v", len(names), outcome, round(took), round(budget))
}

// decided adds a line; fetch and wait of one ticket run at the same time, so it takes the planner's leaf lock.
func (t *Ticket) decided(format string, args ...any) {
	t.mover.planner.mu.Lock()
	defer t.mover.planner.mu.Unlock()
	t.Decisions = append(t.Decisions, "kv: "+fmt.Sprintf(format, args...))
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// FetchedTokens is the part of the engine's cached prefix that was fetched for this request.
func (t *Ticket) FetchedTokens(cachedTokens int64) int64 {
	if t == nil {
		return 0
	}
	var tokens int64
	for i, fetched := range t.fetched {
		if fetched && int64(i+1)*piece.TokensPerPiece <= cachedTokens {
			tokens += piece.TokensPerPiece
		}
	}
	return tokens
}

// Computed notes that the engine has prefilled the prompt: it holds all pieces, and others need not wait any longer.
func (t *Ticket) Computed() {
	if t == nil {
		return
	}
	for _, name := range t.request.Pieces {
		t.mover.holds(name)
	}
	t.end()
}

// Done ends the ticket, whatever became of the request. It may be called more than once.
func (t *Ticket) Done() {
	if t != nil {
		t.end()
	}
}

func (t *Ticket) end() {
	t.ended.Do(func() { t.mover.planner.end(t.request.owner, t.request.Pieces) })
}
