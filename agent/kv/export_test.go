package kv

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/wasabishunt/wasabishunt/cachevalue"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/store"
)

func newExport(value float64, lastUse time.Time) *export {
	e := &export{value: value, lastUse: lastUse}
	copy(e.name[:], fmt.Sprintf("%g", value))
	return e
}

// Guards against an export queue that exceeds its limit, drops valuable pieces, or exports pieces close to eviction late.
func TestExportQueueIsBoundedAndOrdered(t *testing.T) {
	q := newExportQueue(10)
	now := time.Now()
	dropped := 0
	for i := range 1000 {
		if q.push(newExport(float64((i*7919)%1000), now.Add(time.Duration(i)))) {
			dropped++
		}
		require.LessOrEqual(t, len(q.waiting), 10)
	}
	assert.Equal(t, 990, dropped)
	q.push(newExport(5000, now.Add(time.Hour)))
	assert.Equal(t, 5000.0, q.pop(time.Time{}).value, "the most valuable one goes first")
	risky := now.Add(time.Hour)
	q.push(newExport(6000, risky))
	assert.Equal(t, 999.0, q.pop(risky).value, "those close to their eviction go first")
	q.remove(newExport(6000, now).name.String())
	for e := q.pop(time.Time{}); e != nil; e = q.pop(time.Time{}) {
		assert.Less(t, e.value, 999.0)
	}
}

// Guards against an export queue that exceeds its limit while no store accepts pieces.
func TestFloodOfExportsIsBounded(t *testing.T) {
	bed := newTestbed(t, Options{ExportQueue: 8})
	for _, s := range bed.stores {
		s.onHas = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	for i := range 50 {
		session := &Session{mover: bed.mover, request: request(fmt.Sprint("flood", i), 4)}
		session.QueueExports()
		bed.mover.exports.mu.Lock()
		waiting := len(bed.mover.exports.waiting)
		bed.mover.exports.mu.Unlock()
		require.LessOrEqual(t, waiting, 8)
	}
	assert.NotZero(t, bed.count("export_dropped"))
}

// Guards against exports to stores that already hold the piece.
func TestHeldPieceIsNotSentAgain(t *testing.T) {
	first := newTestbed(t, Options{})
	r := request("rulebook", 3)
	first.serve(r)
	first.awaitCount("exported", 6)
	first.serve(r)
	other := newTestbedWithStores(t, Options{}, first.stores...)
	require.Zero(t, other.run(r))
	session := &Session{mover: other.mover, request: r}
	session.QueueExports()
	other.awaitCount("held", 6)
	assert.Zero(t, other.count("exported"))
	assert.Equal(t, int64(6), first.count("exported"))
}

// Guards against exports that stop at the first store that fails: the other one must still get its copy, and the piece must
// be readable from there.
func TestStoreDiesDuringWrite(t *testing.T) {
	bed := newTestbed(t, Options{})
	dead := bed.stores[0]
	dead.onPut = func() error {
		dead.stop()
		return failure.New(failure.StreamBroken, failure.Unknown, "the process ends")
	}
	r := request("rulebook", 2)
	bed.serve(r)
	bed.awaitCount("exported", 2)
	bed.awaitCount("export_failed", 1)
	assert.Zero(t, dead.pieceStore.Stats().Pieces)
	assert.Equal(t, int64(2), bed.stores[1].pieceStore.Stats().Pieces)
	bed.evict()
	session, cached := bed.serve(r)
	assert.Equal(t, int64(2*piece.TokensPerPiece), session.FetchedTokens(cached))
}

// Guards against exports to stores that are leaving.
func TestLeavingStoreIsNotUsed(t *testing.T) {
	bed := newTestbed(t, Options{})
	bed.view.Change(func(v *controlclient.View) {
		v.Processes["store-1"] = controlclient.Process{ID: "store-1", Role: store.Role, Serves: "s1", State: controlclient.Leaving}
	})
	bed.serve(request("rulebook", 2))
	bed.awaitCount("exported", 2)
	assert.Zero(t, bed.stores[0].pieceStore.Stats().Pieces)
}

// Guards against exporters that together exceed the limit of a store's link.
func TestExportersShareTheLinkLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := map[string]*rate.Limiter{}
		limit := limiter(limits, target{address: "s", limit: 1000}, 4)
		assert.Equal(t, rate.Limit(250), limit.Limit())
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		require.NoError(t, waitForLink(ctx, limit, limiterBurstBytes))
		require.Error(t, waitForLink(ctx, limit, limiterBurstBytes))
		require.Same(t, limit, limiter(limits, target{address: "s", limit: 1000}, 4))
	})
}

// Guards against a wrong selection of the pieces close to eviction.
func TestResidencySelectsPiecesCloseToEviction(t *testing.T) {
	r := newResidency()
	now := time.Now()
	for i := range 8 {
		r.recordUse(piece.Name{byte(i)}, now.Add(time.Duration(i)*time.Second))
	}
	assert.True(t, r.evictionRiskBefore().IsZero(), "the capacity is unknown")
	r.setCapacity(8 * piece.TokensPerPiece)
	cutoff := r.evictionRiskBefore()
	assert.True(t, now.Add(time.Second).Before(cutoff), "two of eight are close to their eviction")
	assert.False(t, now.Add(2*time.Second).Before(cutoff))
	assert.Equal(t, []string{piece.Name{0}.String()}, r.recordUse(piece.Name{8}, now.Add(time.Minute)), "the oldest piece is evicted")
	r.remove(piece.Name{8}.String())
	r.remove(piece.Name{1}.String())
	r.remove(piece.Name{7}.String())
	assert.True(t, r.evictionRiskBefore().IsZero(), "the cache is no longer nearly full")
}

// Guards against second copies that are not worth their cost: with the default loss probability each piece goes only to the
// store that should hold it first.
func TestOneCopyIsExported(t *testing.T) {
	bed := newTestbed(t, Options{LossProbability: cachevalue.DefaultLossProbability})
	r := request("rulebook", 3)
	bed.serve(r)
	bed.awaitCount("exported", 3)
	other := newTestbedWithStores(t, Options{LossProbability: cachevalue.DefaultLossProbability}, bed.stores...)
	other.run(r)
	(&Session{mover: other.mover, request: r}).QueueExports()
	other.awaitCount("held", 3)
	assert.Equal(t, map[piece.Name]int{r.Pieces[0]: 1, r.Pieces[1]: 1, r.Pieces[2]: 1}, bed.copies())
	for _, name := range r.Pieces {
		for i, s := range bed.stores {
			holder := store.Holders(name, []string{"s1", "s2"})[0] == fmt.Sprintf("s%d", i+1)
			assert.Equal(t, holder, s.pieceStore.Has(r.Scope.Account, []piece.Name{name})[0])
		}
	}
}

// copies counts the stores that hold each piece.
func (bed *testbed) copies() map[piece.Name]int {
	copies := map[piece.Name]int{}
	for _, s := range bed.stores {
		for _, listed := range s.pieceStore.List(0, 100) {
			copies[listed.Header.Name]++
		}
	}
	return copies
}

// Guards against prompts that are recomputed at each use while a store is lost: the next store must get its pieces, although
// the lost one held them shortly before.
func TestNextStoreTakesThePiecesOfALostOne(t *testing.T) {
	bed := newTestbed(t, Options{LossProbability: cachevalue.DefaultLossProbability})
	r := request("rulebook", 4)
	bed.serve(r)
	bed.awaitCount("exported", 4)
	lost := bed.stores[0]
	held := lost.pieceStore.Stats().Pieces
	require.NotZero(t, held, "the store has part of the pieces")
	lost.stop()
	bed.evict()
	bed.serve(r)
	bed.awaitCount("exported", 4+held)
	assert.Equal(t, int64(4), bed.stores[1].pieceStore.Stats().Pieces)
	bed.evict()
	session, cached := bed.serve(r)
	assert.Equal(t, int64(4*piece.TokensPerPiece), session.FetchedTokens(cached))
}

// busyStores refuses pieces because another agent writes the same ones.
type busyStores struct {
	Stores
	puts atomic.Int64
}

func (b *busyStores) PutIdle(context.Context, string, piece.Header, []byte, string, time.Duration) (store.Outcome, error) {
	b.puts.Add(1)
	return store.RefusedBusy, nil
}

// Guards against an export to the next store while another agent writes the piece to the first one.
func TestPieceThatAnotherAgentWritesIsLeftToIt(t *testing.T) {
	bed := newTestbed(t, Options{LossProbability: cachevalue.DefaultLossProbability})
	busy := &busyStores{Stores: bed.mover.deps.Stores}
	bed.mover.deps.Stores = busy
	bed.serve(request("rulebook", 2))
	bed.awaitCount("held", 2)
	assert.Equal(t, int64(2), busy.puts.Load())
	assert.Zero(t, bed.count("export_failed"))
}
