package bytebudget

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against others that are refused although reclaimable bytes are held, against more taken back than needed, and against bytes that
// are taken back in vain.
func TestReclaimableMakesRoom(t *testing.T) {
	b := New(1000)
	var order []string
	reclaimable := func(owner, name string, bytes int64) *Reclaimable {
		r := b.Reclaimable(owner, func() { order = append(order, name) })
		require.True(t, r.Grow(bytes))
		return r
	}
	small := reclaimable("a", "small", 100)
	large := reclaimable("a", "large", 200)
	other := reclaimable("b", "other", 250)
	holder := b.Holder("c")
	require.False(t, holder.Grow(1001), "more than the whole budget")
	require.Empty(t, order)
	require.True(t, holder.Grow(400))
	require.Equal(t, []string{"large"}, order, "the largest of the owner that holds most")
	require.EqualValues(t, 750, b.Used())
	large.Shrink(200)
	require.False(t, large.Grow(1), "it was taken back")
	require.EqualValues(t, 750, b.Used())
	require.False(t, small.Grow(600), "more than all reclaimable bytes")
	require.False(t, other.Grow(200), "other is the largest itself, and is taken back without a call")
	require.Equal(t, []string{"large"}, order)
	small.Close()
	large.Close()
	other.Close()
	holder.Close()
	require.Zero(t, b.Used())
	require.Empty(t, b.held)
	require.Empty(t, b.reclaimable)
}

// Guards against lost counts and deadlocks if many take, release and reclaim at once.
func TestReclaimableConcurrently(t *testing.T) {
	// One worker alone needs more than that.
	b := New(4_000)
	var reclaims atomic.Int64
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for i := range 300 {
				var mu sync.Mutex
				r := b.Reclaimable("a", func() { mu.Lock(); defer mu.Unlock(); reclaims.Add(1) })
				for range 5 {
					r.Grow(int64(100 + i))
				}
				r.Shrink(100)
				h := b.Holder("b")
				h.Grow(3000)
				h.Close()
				r.Close()
			}
		})
	}
	workers.Wait()
	require.Zero(t, b.Used())
	require.Positive(t, reclaims.Load())
}

// Guards against a refusal whose cost grows with the owners of memory: requests without room ask every few ms, and all of them wait for one lock.
func TestRefusalDoesNotLookAtAllOwners(t *testing.T) {
	b := New(1 << 20)
	for i := range 1000 {
		require.True(t, b.Holder(fmt.Sprint("owner ", i)).Grow(700))
	}
	require.Zero(t, testing.AllocsPerRun(100, func() { b.acquire("further", 1<<19) }))
	r := b.Reclaimable("slow", func() {})
	defer r.Close()
	require.True(t, r.Grow(1000))
	require.Zero(t, testing.AllocsPerRun(100, func() { b.acquire("further", 1<<19) }))
	require.EqualValues(t, 1000*700+1000, b.Used())
}
