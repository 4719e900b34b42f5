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

// fetch brings the planned pieces into the engine: one after the other from each store, all stores at once. It reports
// false if one of them did not arrive.
func (t *Ticket) fetch(ctx context.Context, plan fetchplan.Plan, in fetchplan.Request, sources []source) bool {
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
	budget := recomputation(count, in.PrefillRate, in.LongShare) + t.mover.options.FetchSlack
	started := t.mover.deps.Clock.Now()
	ctx, cancel := t.within(ctx, budget)
	defer cancel()
	arrived := t.fetchAll(ctx, cancel, bySource, sources)
	took := t.mover.deps.Clock.Now().Sub(started)
	t.decided("fetched %d of %d pieces in %v, limit %v", arrived, count, round(took), round(budget))
	return arrived == count
}

// fetchAll returns how many pieces arrived. A piece that fails ends the others: the engine uses only a whole prefix.
func (t *Ticket) fetchAll(ctx context.Context, stop context.CancelFunc, bySource map[string][]int, sources []source) int {
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

// unknownSizeFetches is how many pieces are fetched at once if the set does not tell their size.
const unknownSizeFetches = 16

func (t *Ticket) fetchPiece(ctx context.Context, s source, i int) error {
	m, r := t.mover, &t.request
	room := r.PieceBytes
	if room <= 0 {
		room = m.options.MaxFetchBytes / unknownSizeFetches
	}
	room = max(1, min(room, m.options.MaxFetchBytes))
	if err := m.fetching.Acquire(ctx, room); err != nil {
		return failure.Wrap(err, failure.Overloaded, failure.NotRun, "too many fetches at once")
	}
	defer m.fetching.Release(room)
	body, err := m.get(ctx, s, r, r.Pieces[i])
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
	m.holds(r.Pieces[i])
	m.sent.add(s.name, r.Pieces[i], m.deps.Clock.Now())
	return nil
}

// get reads a piece from a store and checks that it is the one asked for.
func (m *Mover) get(ctx context.Context, s source, r *Request, name piece.Name) ([]byte, error) {
	started := m.deps.Clock.Now()
	want := piece.Want{Name: name, Account: r.Scope.Account}
	header, body, err := m.deps.Stores.Get(ctx, s.address, want, r.Rank)
	if err == nil {
		err = checkPiece(header, r.Scope)
	}
	now := m.deps.Clock.Now()
	if err == nil {
		m.health.observe(s.address, header.Length, now.Sub(started), now)
		m.counts.fetchedBytes.Inc(header.Length)
		return body, nil
	}
	m.blame(ctx, s.target, r.PieceBytes, now.Sub(started), err)
	return nil, err
}

// checkPiece refuses a whole piece whose content was made under another weight version or has another length in tokens.
// The store's client has checked name, account and checksum.
func checkPiece(header piece.Header, scope piece.Scope) error {
	if header.WeightVersion != scope.WeightVersion {
		return &piece.FormatError{Reason: piece.Foreign, Detail: "piece of weight version " + header.WeightVersion}
	}
	if header.Tokens != piece.TokensPerPiece {
		return &piece.FormatError{Reason: piece.Malformed, Detail: "piece with another number of tokens"}
	}
	return nil
}

// blame counts a failed fetch and remembers a store that is at fault. A fetch that was ended because another one failed,
// or because the caller has gone, says nothing about its store.
func (m *Mover) blame(ctx context.Context, s target, bytes int64, took time.Duration, err error) {
	now := m.deps.Clock.Now()
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if !m.counts.fetchFailed(err) {
		return
	}
	if ctx.Err() != nil {
		m.health.tooSlow(s.address, bytes, took, now)
	}
	m.health.failed(s.address, now)
}
