package placement

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against rankings that use up the memory of a node: the parts of prompts have no bound, and the text of a part would keep the header of
// the request that it comes from.
func TestRankingsAreBounded(t *testing.T) {
	var r rankings
	for i := range 10 * maxRankings {
		r.add(rankingKey{part: uint64(i)}, ranking{positions: []int32{int32(i)}})
		if i >= maxRankings {
			// A ranking that is in use stays.
			known, found := r.find(rankingKey{part: 0})
			require.True(t, found)
			require.Equal(t, []int32{0}, known.positions)
		} else {
			_, found := r.find(rankingKey{part: 0})
			require.True(t, found)
		}
		require.LessOrEqual(t, len(r.recent)+len(r.older), 2*maxRankings)
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[rankingKey]()) {
		require.Contains(t, []reflect.Kind{reflect.Uint64, reflect.Int32}, field.Type.Kind(), field.Name)
	}
}

// Guards against the ranking of another part with the same hash.
func TestRankingOfAnotherPartIsNotUsed(t *testing.T) {
	var list []*upstreams.Instance
	for i := range minRankedFleet {
		list = append(list, instance(fmt.Sprint("i", i)))
	}
	s := &selection{fleet: newFleet(list), marks: make([]marks, len(list))}
	wanted := s.homes(document("d"))
	s.homes(document("other"))
	require.Len(t, s.fleet.rankings.recent, 2)
	key := func(id string) rankingKey { return rankingKey{newRendezvous(id).prefix.Sum64(), -1} }
	s.fleet.rankings.recent[key("d")] = s.fleet.rankings.recent[key("other")]
	require.NotEqual(t, wanted, s.fleet.rankings.recent[key("d")].positions[:homeCount])
	require.Equal(t, wanted, s.homes(document("d")))
}

// Guards against homes that depend on whether the engines were ranked for the prompt before: nodes would prefer different engines. More engines
// are unavailable, one after the other, than a ranking has.
func TestHomesAreTheSameWithAndWithoutARanking(t *testing.T) {
	var list []*upstreams.Instance
	for i := range 2 * minRankedFleet {
		list = append(list, instance(fmt.Sprint("i", i)))
	}
	q := document("d")
	ranked := &selection{fleet: newFleet(list), marks: make([]marks, len(list))}
	for range 2 * rankingSize {
		fresh := &selection{fleet: newFleet(list), marks: ranked.marks}
		homes := ranked.homes(q)
		require.Len(t, homes, homeCount)
		require.Equal(t, fresh.homes(q), homes)
		ranked.marks[homes[0]] |= isEjected
	}
}

// Guards against a ranking that is stored again for each request while most engines are in the other pool.
func TestRankingWithoutAvailableEnginesIsKept(t *testing.T) {
	var list []*upstreams.Instance
	for i := range minRankedFleet {
		list = append(list, instance(fmt.Sprint("i", i)))
	}
	s, q := &selection{fleet: newFleet(list), marks: make([]marks, len(list))}, document("d")
	s.homes(q)
	stored := func() *int32 {
		for _, known := range s.fleet.rankings.recent {
			return &known.positions[0]
		}
		return nil
	}
	first := stored()
	for _, known := range s.fleet.rankings.recent {
		for _, i := range known.positions {
			s.marks[i] |= isInOtherPool
		}
	}
	require.Len(t, s.homes(q), homeCount)
	require.Same(t, first, stored())
}
