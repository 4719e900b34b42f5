package kv

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/internal/clocktest"
	"github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/storepb"
)

// Guards against recomputing an evicted prompt that the stores hold, and against wrong counts of fetched tokens.
func TestReturningPromptIsFetched(t *testing.T) {
	w := newTestbed(t, Options{})
	r := request("rulebook", 3)
	w.storeAndEvict(r)
	for _, n := range w.stores {
		listed := n.pieceStore.List(0, 10)
		require.Len(t, listed, 3)
		assert.Equal(t, int64(200), listed[0].Header.RecomputeMs)
		assert.Equal(t, "v1", listed[0].Header.WeightVersion)
	}
	session, cached := w.serve(r)
	assert.Equal(t, int64(3*piece.TokensPerPiece), cached)
	assert.Equal(t, int64(3*piece.TokensPerPiece), session.FetchedTokens(cached))
	assert.Equal(t, int64(piece.TokensPerPiece), session.FetchedTokens(piece.TokensPerPiece), "only what the engine used counts")
	assert.Contains(t, strings.Join(session.Decisions, "\n"), "kv: fetched 3 of 3 pieces")
	assert.Equal(t, int64(3), w.engine.State().Imports)
	assert.Equal(t, int64(3*pieceBytes), w.count("fetched_bytes"))
	assert.Zero(t, w.engine.State().CorruptImports)
}

// Guards against recomputing pieces that the engine evicted while the request was queued.
func TestPiecesEvictedInTheQueueAreFetched(t *testing.T) {
	w := newTestbed(t, Options{})
	r := request("rulebook", 2)
	w.storeAndEvict(r)
	session := w.mover.Prepare(t.Context(), r)
	w.evict()
	session.Refetch(t.Context())
	assert.Equal(t, int64(2*piece.TokensPerPiece), w.run(r))
	assert.Equal(t, int64(4), w.engine.State().Imports)
	session.Close()
}

// Guards against two requests that compute the same prefix concurrently.
func TestSamePrefixIsComputedOnce(t *testing.T) {
	w := newTestbed(t, Options{})
	r := request("shared", 2)
	owner := w.mover.Prepare(t.Context(), r)
	second := make(chan *Session)
	go func() { second <- w.mover.Prepare(t.Context(), r) }()
	w.awaitCount("awaited", 1)
	require.Zero(t, w.run(r))
	owner.PrefillDone()
	session := <-second
	assert.Equal(t, int64(2*piece.TokensPerPiece), w.run(r))
	assert.Contains(t, strings.Join(session.Decisions, "\n"), "of another request ended")
	session.Close()
	owner.Close()
}

// Guards against a request that keeps waiting for a computation that has failed, and against pieces of a failed request that
// no other request computes.
func TestFailedComputationIsTakenOver(t *testing.T) {
	w := newTestbed(t, Options{})
	r := request("shared", 2)
	owner := w.mover.Prepare(t.Context(), r)
	second := make(chan *Session)
	go func() { second <- w.mover.Prepare(t.Context(), r) }()
	w.awaitCount("awaited", 1)
	owner.Close()
	session := <-second
	defer session.Close()
	pending, _ := w.mover.planner.inProgress("", r.Pieces, time.Now())
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
		"dead store":   {func(n *testStore) { n.stop() }, ""},
		"frozen store": {func(n *testStore) { n.onHas = block }, ""},
		"stalled read": {func(n *testStore) {
			n.onChunk = func(ctx context.Context, _ *storepb.PieceChunk) error { return block(ctx) }
		}, "fetch_failed"},
		"corrupt body": {func(n *testStore) {
			n.onChunk = func(_ context.Context, chunk *storepb.PieceChunk) error {
				if len(chunk.Data) > 0 {
					chunk.Data = append([]byte{^chunk.Data[0]}, chunk.Data[1:]...)
				}
				return nil
			}
		}, "corrupt"},
		"another weight version": {func(n *testStore) { n.onChunk = header(func(h *storepb.PieceHeader) { h.WeightVersion = "v0" }) }, "foreign"},
		"another account":        {func(n *testStore) { n.onChunk = header(func(h *storepb.PieceHeader) { h.Account = "b" }) }, "foreign"},
		"another piece":          {func(n *testStore) { n.onChunk = header(func(h *storepb.PieceHeader) { h.Name[0]++ }) }, "foreign"},
		"evicted since": {func(n *testStore) {
			n.onChunk = func(_ context.Context, chunk *storepb.PieceChunk) error {
				chunk.Header, chunk.Data, chunk.NotFound, chunk.Last = nil, nil, true, true
				return nil
			}
		}, "missed"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, Options{})
			r := request("rulebook", 2)
			w.storeAndEvict(r)
			for _, n := range w.stores {
				test.inject(n)
			}
			before := w.count("missed")
			started := time.Now()
			session := w.mover.Prepare(t.Context(), r)
			assert.Less(t, time.Since(started), fallBackBound)
			assert.Zero(t, w.run(r))
			assert.Zero(t, session.FetchedTokens(2*piece.TokensPerPiece))
			assert.Zero(t, w.engine.State().Imports)
			if test.counter != "" {
				assert.Greater(t, w.count(test.counter), min(before, w.count(test.counter)-1))
				assert.NotZero(t, w.count(test.counter))
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
	w := newTestbed(t, Options{})
	r := request("rulebook", 2)
	w.storeAndEvict(r)
	w.engine.SetFaults(engine.FaultSettings{Refuse: true})
	session := w.mover.Prepare(t.Context(), r)
	w.engine.SetFaults(engine.FaultSettings{})
	assert.NotZero(t, w.count("import_failed"))
	assert.Zero(t, session.FetchedTokens(2*piece.TokensPerPiece))
	assert.Zero(t, w.run(r))
	session.Close()
}

// Guards against a frozen store that delays every request.
func TestFrozenStoreDelaysOneRequest(t *testing.T) {
	w := newTestbed(t, Options{})
	w.mover.deps.Clock = clocktest.At(time.Now())
	var lookups atomic.Int64
	for _, n := range w.stores {
		n.onHas = func(ctx context.Context) error {
			lookups.Add(1)
			<-ctx.Done()
			return ctx.Err()
		}
	}
	w.mover.Prepare(t.Context(), request("first", 4)).Close()
	w.mover.Prepare(t.Context(), request("second", 4)).Close()
	assert.Equal(t, int64(2), lookups.Load(), "each store is asked once")
	assert.True(t, w.mover.health.allow(w.stores[0].address, time.Now().Add(time.Second)), "after the pause one request tries")
	assert.False(t, w.mover.health.allow(w.stores[0].address, time.Now().Add(time.Second)), "only one")
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

// Guards against fetches that leave no time until the deadline.
func TestFetchRespectsDeadline(t *testing.T) {
	w := newTestbed(t, Options{})
	r := request("rulebook", 4)
	w.storeAndEvict(r)
	for _, n := range w.stores {
		n.onChunk = func(ctx context.Context, _ *storepb.PieceChunk) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	started := time.Now()
	r.Deadline = started.Add(300 * time.Millisecond)
	w.mover.Prepare(t.Context(), r).Close()
	assert.Less(t, time.Since(started), 300*time.Millisecond)
}
