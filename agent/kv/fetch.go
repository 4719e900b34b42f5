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

// fetch brings the planned pieces into the engine: sequentially from each store, from all stores concurrently. It returns
// false if one of them failed.
func (t *Session) fetch(ctx context.Context, plan fetchplan.Plan, in fetchplan.Request, sources []source) bool {
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
	budget := recomputeTime(count, in.PrefillRate, in.LongShare) + t.mover.options.FetchSlack
	started := t.mover.deps.Clock.Now()
	ctx, cancel := t.withBudget(ctx, budget)
	defer cancel()
	arrived := t.fetchAll(ctx, cancel, bySource, sources)
	took := t.mover.deps.Clock.Now().Sub(started)
	t.addDecision("fetched %d of %d pieces in %v, limit %v", arrived, count, roundMs(took), roundMs(budget))
	return arrived == count
}

// fetchAll returns the number of pieces fetched. A piece that fails stops the others, because the engine uses only a
// complete prefix.
func (t *Session) fetchAll(ctx context.Context, stop context.CancelFunc, bySource map[string][]int, sources []source) int {
	var mu sync.Mutex
	var group sync.WaitGroup
	arrived := 0
	for _, s := range sources {
		group.Go(func() {
			for _, i := range bySource[s.Name] {
				if err := t.fetchPiece(ctx, s, i); err != nil {
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

func (t *Session) fetchPiece(ctx context.Context, s source, i int) error {
	m, r := t.mover, &t.request
	reserved := r.PieceBytes
	if reserved <= 0 {
		reserved = m.options.MaxFetchBytes / maxUnknownSizeFetches
	}
	reserved = max(1, min(reserved, m.options.MaxFetchBytes))
	if err := m.fetching.Acquire(ctx, reserved); err != nil {
		return failure.Wrap(err, failure.Overloaded, failure.NotRun, "too many fetches at once")
	}
	defer m.fetching.Release(reserved)
	body, err := m.getPiece(ctx, s, r, r.Pieces[i])
	if err != nil {
		m.deps.Log.Info("piece not fetched", zap.String("request_id", r.ID), zap.String("store", s.Name), zap.Error(err))
		return err
	}
	if err := m.deps.Engine.ImportKV(ctx, r.ref(r.Pieces[i]), bytes.NewReader(body), int64(len(body))); err != nil {
		m.counts.refusedImports.Inc(1)
		m.deps.Log.Info("piece not imported", zap.String("request_id", r.ID), zap.Error(err))
		return err
	}
	t.fetched[i] = true
	m.counts.fetched.Inc(1)
	m.recordCached(r.Pieces[i])
	m.sent.add(s.name, r.Pieces[i], m.deps.Clock.Now())
	return nil
}

// getPiece reads a piece from a store and checks it against the request.
func (m *Mover) getPiece(ctx context.Context, s source, r *Request, name piece.Name) ([]byte, error) {
	started := m.deps.Clock.Now()
	want := piece.Want{Name: name, Account: r.Scope.Account}
	header, body, err := m.deps.Stores.Get(ctx, s.address, want, r.Rank)
	if err == nil {
		err = checkPiece(header, r.Scope)
	}
	now := m.deps.Clock.Now()
	if err == nil {
		m.health.recordTransfer(s.address, header.Length, now.Sub(started), now)
		m.counts.fetchedBytes.Inc(header.Length)
		return body, nil
	}
	m.recordFetchFailure(ctx, s.target, r.PieceBytes, now.Sub(started), err)
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

// recordFetchFailure counts a failed fetch and marks the store if it is at fault. A fetch that was canceled because
// another one failed, or because the caller disconnected, says nothing about its store.
func (m *Mover) recordFetchFailure(ctx context.Context, s target, bytes int64, took time.Duration, err error) {
	now := m.deps.Clock.Now()
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if !m.counts.fetchFailed(err) {
		return
	}
	if ctx.Err() != nil {
		m.health.recordTimeout(s.address, bytes, took, now)
	}
	m.health.recordFailure(s.address, now)
}
