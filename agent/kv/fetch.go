package kv

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/piece"
)

// fetch copies the planned pieces into the engine: one after the other from each store, and from all stores concurrently. It
// returns false if a piece failed.
func (s *Session) fetch(ctx context.Context, plan fetchplan.Plan, in fetchplan.Request, sources []source) bool {
	bySource := map[string][]int{}
	count := 0
	for i, step := range plan.Steps {
		if step.Action == fetchplan.Fetch {
			bySource[step.Source] = append(bySource[step.Source], i)
			count++
		}
	}
	if count == 0 {
		return true
	}
	budget := recomputeTime(count, in.PrefillRate, in.LongShare) + s.mover.options.FetchSlack
	started := s.mover.deps.Clock.Now()
	ctx, cancel := s.withBudget(ctx, budget)
	defer cancel()
	arrived := s.fetchAll(ctx, cancel, bySource, sources)
	took := s.mover.deps.Clock.Now().Sub(started)
	s.addDecision("fetched %d of %d pieces in %v, limit %v", arrived, count, roundMs(took), roundMs(budget))
	return arrived == count
}

// fetchAll returns the number of pieces fetched. A piece that fails stops the others, because the engine uses only a
// complete prefix.
func (s *Session) fetchAll(ctx context.Context, stop context.CancelFunc, bySource map[string][]int, sources []source) int {
	var mu sync.Mutex
	var group sync.WaitGroup
	arrived := 0
	for _, src := range sources {
		group.Go(func() {
			for _, i := range bySource[src.Name] {
				if err := s.fetchPiece(ctx, src, i); err != nil {
					stop()
					return
				}
				mu.Lock()
				arrived++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return arrived
}

// maxUnknownSizeFetches limits concurrent fetches if the set does not give the size of pieces.
const maxUnknownSizeFetches = 16

func (s *Session) fetchPiece(ctx context.Context, src source, i int) error {
	m, r := s.mover, &s.request
	reserved := r.PieceBytes
	if reserved <= 0 {
		reserved = m.options.MaxFetchBytes / maxUnknownSizeFetches
	}
	reserved = max(1, min(reserved, m.options.MaxFetchBytes))
	if err := m.fetchBudget.Acquire(ctx, reserved); err != nil {
		return failure.Wrap(err, failure.Overloaded, failure.NotRun, "too many fetches at once")
	}
	defer m.fetchBudget.Release(reserved)
	body, err := m.getPiece(ctx, src, r, r.Pieces[i])
	if err != nil {
		m.deps.Log.Info("piece not fetched", zap.String("request_id", r.ID), zap.String("store", src.Name), zap.Error(err))
		return err
	}
	if err := m.deps.Engine.ImportKV(ctx, r.ref(r.Pieces[i]), bytes.NewReader(body), int64(len(body))); err != nil {
		m.counts.refusedImports.Inc(1)
		m.deps.Log.Info("piece not imported", zap.String("request_id", r.ID), zap.Error(err))
		return err
	}
	s.fetched[i] = true
	m.counts.fetched.Inc(1)
	m.recordCached(r.Pieces[i])
	m.sent.add(src.name, r.Pieces[i], m.deps.Clock.Now())
	return nil
}

// getPiece reads a piece from a store and checks it against the request.
func (m *Mover) getPiece(ctx context.Context, src source, r *Request, name piece.Name) ([]byte, error) {
	started := m.deps.Clock.Now()
	want := piece.Want{Name: name, Account: r.Scope.Account}
	header, body, err := m.deps.Stores.Get(ctx, src.address, want, r.Rank)
	if err == nil {
		err = checkPiece(header, r.Scope)
	}
	now := m.deps.Clock.Now()
	if err == nil {
		m.health.recordTransfer(src.address, header.Length, now.Sub(started), now)
		m.counts.fetchedBytes.Inc(header.Length)
		return body, nil
	}
	m.recordFetchFailure(ctx, src.target, r.PieceBytes, now.Sub(started), err)
	return nil, err
}

// checkPiece rejects a piece of another weight version or with another number of tokens. The store's client has checked
// name, account and checksum.
func checkPiece(header piece.Header, scope piece.Scope) error {
	if header.WeightVersion != scope.WeightVersion {
		return &piece.FormatError{Reason: piece.Mismatch, Detail: "piece of weight version " + header.WeightVersion}
	}
	if header.Tokens != piece.TokensPerPiece {
		return &piece.FormatError{Reason: piece.Malformed, Detail: "piece with another number of tokens"}
	}
	return nil
}

// recordFetchFailure counts a failed fetch and records a failure of the store if it is at fault. A fetch that was canceled,
// because another one failed or the caller disconnected, does not count.
func (m *Mover) recordFetchFailure(ctx context.Context, t target, bytes int64, took time.Duration, err error) {
	now := m.deps.Clock.Now()
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if !m.counts.countFetchFailure(err) {
		return
	}
	if ctx.Err() != nil {
		m.health.recordTimeout(t.address, bytes, took, now)
	}
	m.health.recordFailure(t.address, now)
}
