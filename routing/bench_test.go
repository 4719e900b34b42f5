package routing

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// BenchmarkRendezvous measures the selection of four upstreams by rendezvous hashing, the alternative to the ring.
func BenchmarkRendezvous(b *testing.B) {
	for _, count := range []int{15, 300, 2600} {
		b.Run(fmt.Sprintf("upstreams=%d", count), func(b *testing.B) {
			seeds := make([]uint64, count)
			for i, u := range fleet(count) {
				seeds[i] = xxhash.Sum64String(u.Name)
			}
			hash := uint64(0)
			for b.Loop() {
				hash++
				bestOf(seeds, hash)
			}
		})
	}
}

// bestOf returns the four highest weights.
func bestOf(seeds []uint64, hash uint64) (best [4]uint64) {
	for _, seed := range seeds {
		weight := mix(seed ^ hash)
		if weight <= best[0] {
			continue
		}
		best[0] = weight
		slices.SortFunc(best[:], cmp.Compare)
	}
	return best
}

// BenchmarkRing measures the selection of four positions on the ring.
func BenchmarkRing(b *testing.B) {
	for _, count := range []int{15, 300, 2600} {
		b.Run(fmt.Sprintf("upstreams=%d", count), func(b *testing.B) {
			m := newModelIndex(fleet(count), nil)
			hash := uint64(0)
			for b.Loop() {
				hash++
				at := m.start(mix(hash))
				for n := range 4 {
					_ = m.ring[(at+n)%len(m.ring)].entry
				}
			}
		})
	}
}
