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

// maxPlans limits the plans for one request. The last plan is not executed: pieces still missing are recomputed.
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

// Prepare copies missing pieces of the prompt into the engine if that is expected to be faster than their recomputation. It
// returns at the latest when the recomputation would have finished, plus a small bound. Pieces that are still missing then
// are recomputed.
func (m *Mover) Prepare(ctx context.Context, r Request) *Session {
	r.owner = strconv.FormatUint(m.lastOwner.Add(1), 10)
	s := &Session{mover: m, request: r, fetched: make([]bool, len(r.Pieces))}
	s.fetchMissing(ctx)
	return s
}

// Refetch copies pieces back that the engine has evicted while the request was queued. It does not wait for other requests,
// because this request already occupies a run slot of the engine.
func (s *Session) Refetch(ctx context.Context) {
	s.noWait = true
	s.Decisions = nil
	s.fetchMissing(ctx)
}

// fetchMissing plans and executes until there is nothing left to fetch or to wait for.
func (s *Session) fetchMissing(ctx context.Context) {
	m, r := s.mover, &s.request
	cached := m.deps.Cache.PrefixPieces(r.Pieces)
	if cached == len(r.Pieces) {
		return
	}
	sources := m.sources(ctx, r, cached)
	for round := range maxPlans {
		plan, in := s.plan(sources, m.deps.Cache.PrefixPieces(r.Pieces))
		lastRound := round == maxPlans-1
		if (plan.FetchedTokens == 0 && plan.WaitTokens == 0) || ctx.Err() != nil || lastRound {
			return
		}
		if !s.execute(ctx, plan, in, sources) {
			sources = nil
		}
	}
}

func (s *Session) plan(sources []source, cached int) (fetchplan.Plan, fetchplan.Request) {
	r := &s.request
	state := r.Engine()
	in := fetchplan.Request{
		Pieces: r.Pieces, CachedPieces: cached, PromptTokens: r.PromptTokens, PieceBytes: r.PieceBytes,
		PrefillRate: state.PrefillRate, PrefillWait: state.PrefillWait, LongShare: state.LongShare,
	}
	for _, src := range sources {
		in.Sources = append(in.Sources, src.Source)
	}
	plan := s.mover.planner.decide(r, in, s.noWait, s.mover.options.FetchSlack, s.mover.deps.Clock.Now())
	s.Decisions = append(s.Decisions, plan.Reasons()...)
	return plan, in
}

// execute fetches and waits as planned. It returns false if a fetch failed.
func (s *Session) execute(ctx context.Context, plan fetchplan.Plan, in fetchplan.Request, sources []source) bool {
	var complete bool
	var group sync.WaitGroup
	group.Go(func() { complete = s.fetch(ctx, plan, in, sources) })
	group.Go(func() { s.waitForOthers(ctx, plan) })
	group.Wait()
	return complete
}

// withBudget limits a step by its budget and by half of the time to the deadline, which leaves time for a recomputation
// if the step fails.
func (s *Session) withBudget(ctx context.Context, budget time.Duration) (context.Context, context.CancelFunc) {
	remaining := s.request.Deadline.Sub(s.mover.deps.Clock.Now())
	return context.WithTimeout(ctx, min(budget, remaining/2))
}

// waitForOthers returns when no other request computes or fetches the pieces that the plan waits for, or when the
// recomputation would have finished.
func (s *Session) waitForOthers(ctx context.Context, plan fetchplan.Plan) {
	var names []piece.Name
	budget := s.mover.options.FetchSlack
	for i, step := range plan.Steps {
		if step.Action == fetchplan.Wait {
			names = append(names, s.request.Pieces[i])
			budget = max(budget, step.Alternative+s.mover.options.FetchSlack)
		}
	}
	if len(names) == 0 {
		return
	}
	s.mover.counts.waits.Inc(1)
	started := s.mover.deps.Clock.Now()
	if s.waitUntil.IsZero() {
		s.waitUntil = started.Add(budget)
	}
	budget = s.waitUntil.Sub(started)
	ctx, cancel := s.withBudget(ctx, budget)
	defer cancel()
	outcome := "ended"
	for outcome == "ended" {
		pending, released := s.mover.planner.inProgress(s.request.owner, names, s.mover.deps.Clock.Now())
		if !pending {
			break
		}
		select {
		case <-released:
		case <-ctx.Done():
			outcome, s.noWait = "timed out", true
		}
	}
	took := s.mover.deps.Clock.Now().Sub(started)
	s.addDecision("wait for %d pieces of another request %s after %v, limit %v", len(names), outcome, roundMs(took), roundMs(budget))
}

// addDecision adds a line to Decisions. It uses the planner's leaf lock, because fetch and waitForOthers of one Session run
// concurrently.
func (s *Session) addDecision(format string, args ...any) {
	s.mover.planner.mu.Lock()
	defer s.mover.planner.mu.Unlock()
	s.Decisions = append(s.Decisions, "kv: "+fmt.Sprintf(format, args...))
}

func roundMs(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// FetchedTokens returns how many of the cached prompt tokens that the engine used were fetched for this request.
func (s *Session) FetchedTokens(cachedTokens int64) int64 {
	if s == nil {
		return 0
	}
	var tokens int64
	for i, fetched := range s.fetched {
		if fetched && int64(i+1)*piece.TokensPerPiece <= cachedTokens {
			tokens += piece.TokensPerPiece
		}
	}
	return tokens
}

// PrefillDone records that the engine has prefilled the prompt: it now holds all pieces, and other requests stop waiting.
func (s *Session) PrefillDone() {
	if s == nil {
		return
	}
	for _, name := range s.request.Pieces {
		s.mover.recordCached(name)
	}
	s.end()
}

// Close releases the request's pieces, however the request ended. It may be called more than once.
func (s *Session) Close() {
	if s != nil {
		s.end()
	}
}

func (s *Session) end() {
	s.ended.Do(func() { s.mover.planner.end(s.request.owner, s.request.Pieces) })
}
