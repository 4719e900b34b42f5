package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against rankings that use up the memory of a node: the parts of prompts have no bound.
func TestRankingsAreBounded(t *testing.T) {
	var r rankings
	for i := range 10 * maxRankings {
		r.add(rankingKey{part: fmt.Sprint(i)}, []int32{int32(i)})
		if i >= maxRankings {
			// A ranking that is in use stays.
			known, found := r.find(rankingKey{part: "0"})
			require.True(t, found)
			require.Equal(t, []int32{0}, known)
		} else {
			_, found := r.find(rankingKey{part: "0"})
			require.True(t, found)
		}
		require.LessOrEqual(t, len(r.recent)+len(r.older), 2*maxRankings)
	}
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
