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

// Guards against an evicted prompt that is computed again although the stores hold it, and against wrong counts of
// fetched tokens.
func TestReturningPromptIsFetched(t *testing.T) {
	w := newWorld(t, Options{})
	r := request("rulebook", 3)
	w.keep(r)
	for _, n := range w.stores {
		listed := n.kept.List(0, 10)
		require.Len(t, listed, 3)
		assert.Equal(t, int64(200), listed[0].Header.RecomputeMs)
		assert.Equal(t, "v1", listed[0].Header.WeightVersion)
	}
	ticket, cached := w.serve(r)
	assert.Equal(t, int64(3*piece.TokensPerPiece), cached)
	assert.Equal(t, int64(3*piece.TokensPerPiece), ticket.FetchedTokens(cached))
	assert.Equal(t, int64(piece.TokensPerPiece), ticket.FetchedTokens(piece.TokensPerPiece), "only what the engine used counts")
	assert.Contains(t, strings.Join(ticket.Decisions, "\n"), "kv: fetched 3 of 3 pieces")
	assert.Equal(t, int64(3), w.engine.State().Imports)
	assert.Equal(t, int64(3*pieceBytes), w.count("fetched_bytes"))
	assert.Zero(t, w.engine.State().CorruptImports)
}

// Guards against pieces that are recomputed because the engine evicted them while the request was queued.
func TestPiecesEvictedInTheQueueAreFetched(t *testing.T) {
	w := newWorld(t, Options{})
	r := request("rulebook", 2)
	w.keep(r)
	ticket := w.mover.Prepare(t.Context(), r)
	w.evict()
	ticket.Refresh(t.Context())
	assert.Equal(t, int64(2*piece.TokensPerPiece), w.run(r))
	assert.Equal(t, int64(4), w.engine.State().Imports)
	ticket.Done()
}

// Guards against two requests that compute the same prefix at the same time.
func TestSamePrefixIsComputedOnce(t *testing.T) {
	w := newWorld(t, Options{})
	r := request("shared", 2)
	owner := w.mover.Prepare(t.Context(), r)
	second := make(chan *Ticket)
	go func() { second <- w.mover.Prepare(t.Context(), r) }()
	w.await("awaited", 1)
	require.Zero(t, w.run(r))
	owner.Computed()
	ticket := <-second
	assert.Equal(t, int64(2*piece.TokensPerPiece), w.run(r))
	assert.Contains(t, strings.Join(ticket.Decisions, "\n"), "of another request ended")
	ticket.Done()
	owner.Done()
}

// Guards against a request that waits on for a computation that has failed, and against pieces of a failed request that
// nobody computes again.
func TestFailedComputationIsTakenOver(t *testing.T) {
	w := newWorld(t, Options{})
	r := request("shared", 2)
	owner := w.mover.Prepare(t.Context(), r)
	second := make(chan *Ticket)
	go func() { second <- w.mover.Prepare(t.Context(), r) }()
	w.await("awaited", 1)
	owner.Done()
	ticket := <-second
	defer ticket.Done()
	pending, _ := w.mover.planner.foreign("", r.Pieces, time.Now())
	assert.True(t, pending, "the second request computes the pieces now")
	assert.Contains(t, strings.Join(ticket.Decisions, "\n"), "of another request ended")
}

// fallBackBound is what the failures below may cost: recomputing two pieces takes 400 ms; asking and the slack 100 ms each.
const fallBackBound = 600 * time.Millisecond

// Guards against failures of a store that fail or delay a request, and against imports of anything but the piece asked
// for.
func TestFailuresFallBack(t *testing.T) {
	block := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	tests := map[string]struct {
		disturb func(*node)
		counter string
	}{
		"dead store":   {func(n *node) { n.stop() }, ""},
		"frozen store": {func(n *node) { n.onHas = block }, ""},
		"stalled read": {func(n *node) {
			n.onChunk = func(ctx context.Context, _ *storepb.PieceChunk) error { return block(ctx) }
		}, "fetch_failed"},
		"corrupt body": {func(n *node) {
			n.onChunk = func(_ context.Context, chunk *storepb.PieceChunk) error {
				if len(chunk.Data) > 0 {
					chunk.Data = append([]byte{^chunk.Data[0]}, chunk.Data[1:]...)
				}
				return nil
			}
		}, "corrupt"},
		"another weight version": {func(n *node) { n.onChunk = header(func(h *storepb.PieceHeader) { h.WeightVersion = "v0" }) }, "foreign"},
		"another account":        {func(n *node) { n.onChunk = header(func(h *storepb.PieceHeader) { h.Account = "b" }) }, "foreign"},
		"another piece":          {func(n *node) { n.onChunk = header(func(h *storepb.PieceHeader) { h.Name[0]++ }) }, "foreign"},
		"evicted since": {func(n *node) {
			n.onChunk = func(_ context.Context, chunk *storepb.PieceChunk) error {
				chunk.Header, chunk.Data, chunk.NotFound, chunk.Last = nil, nil, true, true
				return nil
			}
		}, "missed"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, Options{})
			r := request("rulebook", 2)
			w.keep(r)
			for _, n := range w.stores {
				test.disturb(n)
			}
			before := w.count("missed")
			started := time.Now()
			ticket := w.mover.Prepare(t.Context(), r)
			assert.Less(t, time.Since(started), fallBackBound)
			assert.Zero(t, w.run(r))
			assert.Zero(t, ticket.FetchedTokens(2*piece.TokensPerPiece))
			assert.Zero(t, w.engine.State().Imports)
			if test.counter != "" {
				assert.Greater(t, w.count(test.counter), min(before, w.count(test.counter)-1))
				assert.NotZero(t, w.count(test.counter))
			}
			ticket.Done()
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
	w := newWorld(t, Options{})
	r := request("rulebook", 2)
	w.keep(r)
	w.engine.SetFaults(engine.FaultSettings{Refuse: true})
	ticket := w.mover.Prepare(t.Context(), r)
	w.engine.SetFaults(engine.FaultSettings{})
	assert.NotZero(t, w.count("import_failed"))
	assert.Zero(t, ticket.FetchedTokens(2*piece.TokensPerPiece))
	assert.Zero(t, w.run(r))
	ticket.Done()
}

// Guards against a frozen store that delays each request anew.
func TestFrozenStoreDelaysOneRequest(t *testing.T) {
	w := newWorld(t, Options{})
	w.mover.deps.Clock = clocktest.At(time.Now())
	var asked atomic.Int64
	for _, n := range w.stores {
		n.onHas = func(ctx context.Context) error {
			asked.Add(1)
			<-ctx.Done()
			return ctx.Err()
		}
	}
	w.mover.Prepare(t.Context(), request("first", 4)).Done()
	w.mover.Prepare(t.Context(), request("second", 4)).Done()
	assert.Equal(t, int64(2), asked.Load(), "each store is asked once")
	assert.True(t, w.mover.health.usable(w.stores[0].address, time.Now().Add(time.Second)), "after the pause one request tries")
	assert.False(t, w.mover.health.usable(w.stores[0].address, time.Now().Add(time.Second)), "only one")
}

// Guards against fetches over a link that was measured as slow, and against a link that is never tried again.
func TestSlowLinkIsAvoidedForAWhile(t *testing.T) {
	h := newHealth()
	now := time.Now()
	h.observe("s", 1000, time.Second, now)
	assert.InDelta(t, 1000, h.bandwidth("s", 1e6, now), 1)
	assert.InDelta(t, 4000, h.bandwidth("s", 1e6, now.Add(2*rateMemory)), 1)
	assert.InDelta(t, 1e6, h.bandwidth("s", 1e6, now.Add(time.Hour)), 1)
	h.tooSlow("s", 100, time.Second, now)
	assert.InDelta(t, 50, h.bandwidth("s", 1e6, now), 1)
}

// Guards against imports that the deadline leaves no time for.
func TestFetchRespectsDeadline(t *testing.T) {
	w := newWorld(t, Options{})
	r := request("rulebook", 4)
	w.keep(r)
	for _, n := range w.stores {
		n.onChunk = func(ctx context.Context, _ *storepb.PieceChunk) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	started := time.Now()
	r.Deadline = started.Add(300 * time.Millisecond)
	w.mover.Prepare(t.Context(), r).Done()
	assert.Less(t, time.Since(started), 300*time.Millisecond)
}
