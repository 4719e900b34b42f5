package trafficset

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an index that finds another route than the one with the longest prefix.
func TestIndexFindsTheLongestPrefix(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "ab", "", "long-segment"})
	rapid.Check(t, func(t *rapid.T) {
		set := &Set{Services: []Service{{Name: "s"}}}
		prefixes := map[string]bool{}
		for i, segments := range rapid.SliceOfN(rapid.SliceOfN(segment, 0, 4), 0, 20).Draw(t, "prefixes") {
			prefix := "/" + strings.Join(append(segments, ""), "/")
			if !prefixes[prefix] {
				prefixes[prefix] = true
				set.Routes = append(set.Routes, Route{Name: fmt.Sprint(i), Host: "h", Prefix: prefix, Kind: Idempotent, Timeout: 1, Targets: []Target{{"s", 1}}})
			}
		}
		require.NoError(t, set.Build())
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 6).Draw(t, "path"), "/")
		var want *Route
		for i := range set.Routes {
			if r := &set.Routes[i]; strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = r
			}
		}
		require.Equal(t, want, set.Route("h", path))
	})
}

// manyRoutes returns a set with routes of one host.
func manyRoutes(count int) *Set {
	set := &Set{Services: []Service{{Name: "s"}}}
	for i := range count {
		set.Routes = append(set.Routes, Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/p%07d/", i), Kind: Idempotent, Timeout: time.Second, Targets: []Target{{"s", 1}}})
	}
	return set
}

// shortest returns the shortest time of several runs, which other load on the machine affects least.
func shortest(t *testing.T, run func()) time.Duration {
	t.Helper()
	best := time.Hour
	for range 7 {
		begin := time.Now()
		run()
		best = min(best, time.Since(begin))
	}
	return best
}

// Guards against a set whose routes are checked in quadratic time: 4,000 routes took 50 ms of a core.
func TestTimeToBuildGrowsWithTheNumberOfRoutes(t *testing.T) {
	build := func(count int) time.Duration {
		set := manyRoutes(count)
		return shortest(t, func() { require.NoError(t, set.Build()) })
	}
	const factor = 8
	few, many := build(1000), build(factor*1000)
	require.Less(t, many, 3*factor*few)
}

// Guards against a lookup for each request that goes through all routes of a host.
func TestTimeToFindARouteDoesNotGrow(t *testing.T) {
	find := func(count int) time.Duration {
		set := manyRoutes(count)
		require.NoError(t, set.Build())
		last := set.Routes[count-1].Prefix
		return shortest(t, func() {
			for range 2000 {
				if set.Route("h", last) == nil {
					t.Fatal("not found")
				}
			}
		})
	}
	require.Less(t, find(8000), 4*find(100))
}
