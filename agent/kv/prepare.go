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

// maxPlans limits the plans for one request. The last plan is not carried out: what is missing is recomputed.
const maxPlans = 3

// Session is the state of a Mover for one request. The caller must call Close. All methods except Refetch accept a nil
// Session, which is that of a request without pieces.
type Session struct {
	mover   *Mover
	request Request
	// fetched marks the pieces fetched from a store for this request. Only Prepare and Refetch change it.
	fetched []bool
	// waitUntil limits all waits for other requests together; it is set when the first one starts.
	waitUntil time.Time
	// noWait is set once such a wait has timed out.
	noWait bool

	ended sync.Once
	// Decisions are lines for `wasabishunt explain`.
	Decisions []string
}

// Prepare brings missing whole pieces of the prompt into the engine if that is expected to be faster than their
// recomputation. It returns at the latest when the recomputation would have finished, plus a small bound. Pieces that
// are still missing then are recomputed.
func (m *Mover) Prepare(ctx context.Context, r Request) *Session {
	r.owner = strconv.FormatUint(m.lastOwner.Add(1), 10)
	t := &Session{mover: m, request: r, fetched: make([]bool, len(r.Pieces))}
	t.fetchMissing(ctx)
	return t
}

// Refetch brings back pieces that the engine has evicted while the request was queued. It does not wait for other
// requests, because the engine's run slot is held meanwhile.
func (t *Session) Refetch(ctx context.Context) {
	t.noWait = true
	t.Decisions = nil
	t.fetchMissing(ctx)
}

// fetchMissing plans and executes until there is nothing left to fetch or to wait for.
func (t *Session) fetchMissing(ctx context.Context) {
	m, r := t.mover, &t.request
	cached := m.deps.Cache.PrefixPieces(r.Pieces)
	if cached == len(r.Pieces) {
		return
	}
	sources := m.sources(ctx, r, cached)
	for round := range maxPlans {
		plan, in := t.plan(sources, m.deps.Cache.PrefixPieces(r.Pieces))
		lastRound := round == maxPlans-1
		if (plan.FetchedTokens == 0 && plan.WaitTokens == 0) || ctx.Err() != nil || lastRound {
			return
		}
		if !t.execute(ctx, plan, in, sources) {
			sources = nil
		}
	}
}

func (t *Session) plan(sources []source, cached int) (fetchplan.Plan, fetchplan.Request) {
	r := &t.request
	state := r.Engine()
	in := fetchplan.Request{
		Pieces: r.Pieces, CachedPieces: cached, PromptTokens: r.PromptTokens, PieceBytes: r.PieceBytes,
		PrefillRate: state.PrefillRate, PrefillWait: state.PrefillWait, LongShare: state.LongShare,
	}
	for _, s := range sources {
		in.Sources = append(in.Sources, s.Source)
	}
	plan := t.mover.planner.decide(r, in, t.noWait, t.mover.options.FetchSlack, t.mover.deps.Clock.Now())
	t.Decisions = append(t.Decisions, plan.Reasons()...)
	return plan, in
}

// execute fetches and waits as planned. It returns false if a fetch failed.
func (t *Session) execute(ctx context.Context, plan fetchplan.Plan, in fetchplan.Request, sources []source) bool {
	var complete bool
	var group sync.WaitGroup
	group.Go(func() { complete = t.fetch(ctx, plan, in, sources) })
	group.Go(func() { t.waitForOthers(ctx, plan) })
	group.Wait()
	return complete
}

// withBudget limits a step by its budget and by half of the time to the deadline, which leaves time for a recomputation
// if the step fails.
func (t *Session) withBudget(ctx context.Context, budget time.Duration) (context.Context, context.CancelFunc) {
	left := t.request.Deadline.Sub(t.mover.deps.Clock.Now())
	return context.WithTimeout(ctx, min(budget, left/2))
}

// waitForOthers returns when no other request computes or fetches the pieces that the plan waits for, or when the
// recomputation would have finished.
func (t *Session) waitForOthers(ctx context.Context, plan fetchplan.Plan) {
	var names []piece.Name
	budget := t.mover.options.FetchSlack
	for i, step := range plan.Steps {
		if step.Action == fetchplan.Wait {
			names = append(names, t.request.Pieces[i])
			budget = max(budget, step.Alternative+t.mover.options.FetchSlack)
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
	ctx, cancel := t.withBudget(ctx, budget)
	defer cancel()
	outcome := "ended"
	for outcome == "ended" {
		pending, landed := t.mover.planner.inProgress(t.request.owner, names, t.mover.deps.Clock.Now())
		if !pending {
			break
		}
		select {
		case <-landed:
		case <-ctx.Done():
			outcome, t.noWait = "timed out", true
		}
	}
	took := t.mover.deps.Clock.Now().Sub(started)
	t.addDecision("wait for %d pieces of another request %s after %v, limit %v", len(names), outcome, roundMs(took), roundMs(budget))
}

// addDecision adds a line to Decisions. It uses the planner's leaf lock, because fetch and waitForOthers of one Session run
// concurrently.
func (t *Session) addDecision(format string, args ...any) {
	t.mover.planner.mu.Lock()
	defer t.mover.planner.mu.Unlock()
	t.Decisions = append(t.Decisions, "kv: "+fmt.Sprintf(format, args...))
}

func roundMs(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// FetchedTokens returns how many of the cached prompt tokens that the engine used were fetched for this request.
func (t *Session) FetchedTokens(cachedTokens int64) int64 {
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

// PrefillDone records that the engine has prefilled the prompt: it now holds all pieces, and other requests stop waiting.
func (t *Session) PrefillDone() {
	if t == nil {
		return
	}
	for _, name := range t.request.Pieces {
		t.mover.recordCached(name)
	}
	t.end()
}

// Close releases the request's pieces, however the request ended. It may be called more than once.
func (t *Session) Close() {
	if t != nil {
		t.end()
	}
}

func (t *Session) end() {
	t.ended.Do(func() { t.mover.planner.end(t.request.owner, t.request.Pieces) })
}
