package kv

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/internal/clocktest"
	"github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/storepb"
	"github.com/wasabishunt/wasabishunt/store"
)

// Guards against recomputing an evicted prompt that the stores hold, and against wrong counts of fetched tokens.
func TestReturningPromptIsFetched(t *testing.T) {
	bed := newTestbed(t, Options{})
	r := request("rulebook", 3)
	bed.storeAndEvict(r)
	for _, s := range bed.stores {
		listed := s.pieceStore.List(0, 10)
		require.Len(t, listed, 3)
		assert.Equal(t, int64(200), listed[0].Header.RecomputeMs)
		assert.Equal(t, "v1", listed[0].Header.WeightVersion)
	}
	session, cached := bed.serve(r)
	assert.Equal(t, int64(3*piece.TokensPerPiece), cached)
	assert.Equal(t, int64(3*piece.TokensPerPiece), session.FetchedTokens(cached))
	assert.Equal(t, int64(piece.TokensPerPiece), session.FetchedTokens(piece.TokensPerPiece), "only what the engine used counts")
	assert.Contains(t, strings.Join(session.Decisions, "\n"), "kv: fetched 3 of 3 pieces")
	assert.Equal(t, int64(3), bed.engine.State().Imports)
	assert.Equal(t, int64(3*pieceBytes), bed.count("fetched_bytes"))
	assert.Zero(t, bed.engine.State().CorruptImports)
}

// Guards against recomputing pieces that the engine evicted while the request was queued.
func TestPiecesEvictedInTheQueueAreFetched(t *testing.T) {
	bed := newTestbed(t, Options{})
	r := request("rulebook", 2)
	bed.storeAndEvict(r)
	session := bed.mover.Prepare(t.Context(), r)
	bed.evict()
	session.Refetch(t.Context())
	assert.Equal(t, int64(2*piece.TokensPerPiece), bed.run(r))
	assert.Equal(t, int64(4), bed.engine.State().Imports)
	session.Close()
}

// Guards against two requests that compute the same prefix concurrently.
func TestSamePrefixIsComputedOnce(t *testing.T) {
	bed := newTestbed(t, Options{})
	r := request("shared", 2)
	owner := bed.mover.Prepare(t.Context(), r)
	second := make(chan *Session)
	go func() { second <- bed.mover.Prepare(t.Context(), r) }()
	bed.awaitCount("awaited", 1)
	require.Zero(t, bed.run(r))
	owner.PrefillDone()
	session := <-second
	assert.Equal(t, int64(2*piece.TokensPerPiece), bed.run(r))
	assert.Contains(t, strings.Join(session.Decisions, "\n"), "of another request ended")
	session.Close()
	owner.Close()
}

// Guards against a request that keeps waiting for a computation that has failed, and against pieces of a failed request that
// no other request computes.
func TestFailedComputationIsTakenOver(t *testing.T) {
	bed := newTestbed(t, Options{})
	r := request("shared", 2)
	owner := bed.mover.Prepare(t.Context(), r)
	second := make(chan *Session)
	go func() { second <- bed.mover.Prepare(t.Context(), r) }()
	bed.awaitCount("awaited", 1)
	owner.Close()
	session := <-second
	defer session.Close()
	pending, _ := bed.mover.planner.inProgress("", r.Pieces, time.Now())
	assert.True(t, pending, "the second request computes the pieces now")
	assert.Contains(t, strings.Join(session.Decisions, "\n"), "of another request ended")
}

// fallBackBound limits the delay by the failures below: recomputing two pieces takes 400 ms, the lookup and the slack 100 ms
// each.
const fallBackBound = 600 * time.Millisecond

// Guards against store failures that fail or delay a request, and against imports of any piece but the requested one.
func TestFailuresFallBack(t *testing.T) {
	block := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	tests := map[string]struct {
		inject  func(*testStore)
		counter string
	}{
		"dead store":   {func(s *testStore) { s.stop() }, ""},
		"frozen store": {func(s *testStore) { s.onHas = block }, ""},
		"stalled read": {func(s *testStore) {
			s.onChunk = func(ctx context.Context, _ *storepb.PieceChunk) error { return block(ctx) }
		}, "fetch_failed"},
		"corrupt body": {func(s *testStore) {
			s.onChunk = func(_ context.Context, chunk *storepb.PieceChunk) error {
				if len(chunk.Data) > 0 {
					chunk.Data = append([]byte{^chunk.Data[0]}, chunk.Data[1:]...)
				}
				return nil
			}
		}, "corrupt"},
		"another weight version": {func(s *testStore) { s.onChunk = header(func(h *storepb.PieceHeader) { h.WeightVersion = "v0" }) }, "foreign"},
		"another account":        {func(s *testStore) { s.onChunk = header(func(h *storepb.PieceHeader) { h.Account = "b" }) }, "foreign"},
		"another piece":          {func(s *testStore) { s.onChunk = header(func(h *storepb.PieceHeader) { h.Name[0]++ }) }, "foreign"},
		"evicted since": {func(s *testStore) {
			s.onChunk = func(_ context.Context, chunk *storepb.PieceChunk) error {
				chunk.Header, chunk.Data, chunk.NotFound, chunk.Last = nil, nil, true, true
				return nil
			}
		}, "missed"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, Options{})
			r := request("rulebook", 2)
			bed.storeAndEvict(r)
			for _, s := range bed.stores {
				test.inject(s)
			}
			before := bed.count("missed")
			started := time.Now()
			session := bed.mover.Prepare(t.Context(), r)
			assert.Less(t, time.Since(started), fallBackBound)
			assert.Zero(t, bed.run(r))
			assert.Zero(t, session.FetchedTokens(2*piece.TokensPerPiece))
			assert.Zero(t, bed.engine.State().Imports)
			if test.counter != "" {
				assert.Greater(t, bed.count(test.counter), min(before, bed.count(test.counter)-1))
				assert.NotZero(t, bed.count(test.counter))
			}
			session.Close()
		})
	}
}

func header(change func(*storepb.PieceHeader)) func(context.Context, *storepb.PieceChunk) error {
	return func(_ context.Context, chunk *storepb.PieceChunk) error {
		if chunk.Header != nil {
			change(chunk.Header)
		}
		return nil
	}
}

// Guards against a request that fails because the engine refuses an import.
func TestRefusedImportFallsBack(t *testing.T) {
	bed := newTestbed(t, Options{})
	r := request("rulebook", 2)
	bed.storeAndEvict(r)
	bed.engine.SetFaults(engine.FaultSettings{Refuse: true})
	session := bed.mover.Prepare(t.Context(), r)
	// The import that Prepare cancels after the first refusal may reach the engine later, also after the refusals end.
	bed.endMoverCalls()
	bed.engine.SetFaults(engine.FaultSettings{})
	assert.Zero(t, bed.engine.State().Imports)
	assert.NotZero(t, bed.count("import_failed"))
	assert.Zero(t, session.FetchedTokens(2*piece.TokensPerPiece))
	assert.Zero(t, bed.run(r))
	session.Close()
}

// countingStores counts the lookups that a Mover makes, by address of the store.
type countingStores struct {
	Stores
	mu      sync.Mutex
	lookups map[string]int
}

func (s *countingStores) Has(ctx context.Context, address, account, rank string, names []piece.Name) (store.HasResult, error) {
	s.mu.Lock()
	s.lookups[address]++
	s.mu.Unlock()
	return s.Stores.Has(ctx, address, account, rank, names)
}

// Guards against a frozen store that delays every request. Lookups are counted where they begin: on a busy machine one may reach the store after
// its time limit, or not at all.
func TestFrozenStoreDelaysOneRequest(t *testing.T) {
	bed := newTestbed(t, Options{})
	bed.mover.deps.Clock = clocktest.NewManual(time.Now())
	stores := &countingStores{Stores: bed.mover.deps.Stores, lookups: map[string]int{}}
	bed.mover.deps.Stores = stores
	want := map[string]int{}
	for _, s := range bed.stores {
		want[s.address] = 1
		s.onHas = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	bed.mover.Prepare(t.Context(), request("first", 4)).Close()
	bed.mover.Prepare(t.Context(), request("second", 4)).Close()
	assert.Equal(t, want, stores.lookups, "each store is queried once")
	assert.True(t, bed.mover.health.allow(bed.stores[0].address, time.Now().Add(time.Second)), "after the backoff one request may call the store")
	assert.False(t, bed.mover.health.allow(bed.stores[0].address, time.Now().Add(time.Second)), "only one")
}

// Guards against fetches over a link that was measured as slow, and against a link that is never used again.
func TestSlowLinkIsAvoidedForAWhile(t *testing.T) {
	h := newHealth()
	now := time.Now()
	h.recordTransfer("s", 1000, time.Second, now)
	assert.InDelta(t, 1000, h.bandwidth("s", 1e6, now), 1)
	assert.InDelta(t, 4000, h.bandwidth("s", 1e6, now.Add(2*rateDoublingInterval)), 1)
	assert.InDelta(t, 1e6, h.bandwidth("s", 1e6, now.Add(time.Hour)), 1)
	h.recordTimeout("s", 100, time.Second, now)
	assert.InDelta(t, 50, h.bandwidth("s", 1e6, now), 1)
}

// Guards against fetches that leave no time to recompute the prompt before the deadline.
func TestFetchRespectsDeadline(t *testing.T) {
	bed := newTestbed(t, Options{})
	r := request("rulebook", 4)
	bed.storeAndEvict(r)
	for _, s := range bed.stores {
		s.onChunk = func(ctx context.Context, _ *storepb.PieceChunk) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	started := time.Now()
	r.Deadline = started.Add(300 * time.Millisecond)
	bed.mover.Prepare(t.Context(), r).Close()
	assert.Less(t, time.Since(started), 300*time.Millisecond)
}
