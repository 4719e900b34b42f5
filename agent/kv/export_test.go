package kv

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/store"
)

func waiting(value float64, used time.Time) *export {
	e := &export{value: value, used: used}
	copy(e.name[:], fmt.Sprintf("%g", value))
	return e
}

// Guards against an export queue that grows under a flood, drops valuable pieces, or leaves pieces close to their
// eviction behind.
func TestExportQueueIsBoundedAndOrdered(t *testing.T) {
	q := newExportQueue(10)
	now := time.Now()
	dropped := 0
	for i := range 1000 {
		if q.push(waiting(float64((i*7919)%1000), now.Add(time.Duration(i)))) {
			dropped++
		}
		require.LessOrEqual(t, len(q.waiting), 10)
	}
	assert.Equal(t, 990, dropped)
	q.push(waiting(5000, now.Add(time.Hour)))
	assert.Equal(t, 5000.0, q.pop(time.Time{}).value, "the most valuable one goes first")
	risky := now.Add(time.Hour)
	q.push(waiting(6000, risky))
	assert.Equal(t, 999.0, q.pop(risky).value, "those close to their eviction go first")
	q.remove(waiting(6000, now).name.String())
	for e := q.pop(time.Time{}); e != nil; e = q.pop(time.Time{}) {
		assert.Less(t, e.value, 999.0)
	}
}

// Guards against runs that are held up, and queues that grow, while no store takes pieces.
func TestFloodOfExportsIsBounded(t *testing.T) {
	w := newWorld(t, Options{ExportQueue: 8})
	for _, n := range w.stores {
		n.onHas = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	for i := range 50 {
		ticket := &Ticket{mover: w.mover, request: request(fmt.Sprint("flood", i), 4)}
		ticket.Ran()
		w.mover.exports.mu.Lock()
		waiting := len(w.mover.exports.waiting)
		w.mover.exports.mu.Unlock()
		require.LessOrEqual(t, waiting, 8)
	}
	assert.NotZero(t, w.count("export_dropped"))
}

// Guards against pieces that are sent to stores that have them.
func TestHeldPieceIsNotSentAgain(t *testing.T) {
	first := newWorld(t, Options{})
	r := request("rulebook", 3)
	first.serve(r)
	first.await("exported", 6)
	first.serve(r)
	other := worldBeside(t, Options{}, first.stores...)
	require.Zero(t, other.run(r))
	ticket := &Ticket{mover: other.mover, request: r}
	ticket.Ran()
	other.await("held", 6)
	assert.Zero(t, other.count("exported"))
	assert.Equal(t, int64(6), first.count("exported"))
}

// Guards against exports that stop at the first holder that fails: the other one must still get its copy, and the piece
// must be readable from there.
func TestStoreDiesDuringWrite(t *testing.T) {
	w := newWorld(t, Options{})
	dead := w.stores[0]
	dead.onPut = func() error {
		dead.stop()
		return failure.New(failure.StreamBroken, failure.Unknown, "the process ends")
	}
	r := request("rulebook", 2)
	w.serve(r)
	w.await("exported", 2)
	w.await("export_failed", 1)
	assert.Zero(t, dead.kept.Stats().Pieces)
	assert.Equal(t, int64(2), w.stores[1].kept.Stats().Pieces)
	w.evict()
	ticket, cached := w.serve(r)
	assert.Equal(t, int64(2*piece.TokensPerPiece), ticket.FetchedTokens(cached))
}

// Guards against transfers to stores that leave, and to those that the set no longer names as holders.
func TestLeavingStoreIsNotUsed(t *testing.T) {
	w := newWorld(t, Options{})
	w.view.Change(func(v *controlclient.View) {
		v.Processes["store-1"] = controlclient.Process{ID: "store-1", Role: store.Role, Serves: "s1", State: controlclient.Leaving}
	})
	w.serve(request("rulebook", 2))
	w.await("exported", 2)
	assert.Zero(t, w.stores[0].kept.Stats().Pieces)
}

// Guards against exporters that together exceed the limit of a store's link.
func TestExportersShareTheLinkLimit(t *testing.T) {
	limits := map[string]*rate.Limiter{}
	limit := limiter(limits, target{address: "s", limit: 1000}, 4)
	assert.Equal(t, rate.Limit(250), limit.Limit())
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	require.NoError(t, waitFor(ctx, limit, limiterBurst))
	require.Error(t, waitFor(ctx, limit, limiterBurst))
	require.Same(t, limit, limiter(limits, target{address: "s", limit: 1000}, 4))
}

// Guards against pieces close to their eviction that are not told apart.
func TestResidencyTellsWhatIsCloseToEviction(t *testing.T) {
	r := newResidency()
	now := time.Now()
	for i := range 8 {
		r.used(piece.Name{byte(i)}, now.Add(time.Duration(i)*time.Second))
	}
	assert.True(t, r.riskyBefore().IsZero(), "the capacity is unknown")
	r.setCapacity(8 * piece.TokensPerPiece)
	cutoff := r.riskyBefore()
	assert.True(t, now.Add(time.Second).Before(cutoff), "two of eight are close to their eviction")
	assert.False(t, now.Add(2*time.Second).Before(cutoff))
	assert.Equal(t, []string{piece.Name{0}.String()}, r.used(piece.Name{8}, now.Add(time.Minute)), "the oldest one has made room")
	r.remove(piece.Name{8}.String())
	r.remove(piece.Name{1}.String())
	r.remove(piece.Name{7}.String())
	assert.True(t, r.riskyBefore().IsZero(), "there is room again")
}
