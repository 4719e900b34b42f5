package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/objectset"
)

func homeRanks() []objectset.Rank {
	return []objectset.Rank{
		{Name: "urgent", Order: 0, Floor: 0.3, FirstTokenMs: 720},
		{Name: "day", Order: 1, Floor: 0.2, FirstTokenMs: 3000},
		{Name: "night", Order: 2, Floor: 0.2, FirstTokenMs: 60_000},
	}
}

func upstreamNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("engine", i)
	}
	return names
}

// TestHomes guards against processes that disagree on homes, and against homes for ranks that need none.
func TestHomes(t *testing.T) {
	names := upstreamNames(12)
	homes := HomesOf(homeRanks(), names)
	require.Len(t, homes, 1)
	require.Len(t, homes["day"], 3)
	reversed := upstreamNames(12)
	for i := range reversed {
		reversed[i] = names[len(names)-1-i]
	}
	require.Equal(t, homes, HomesOf(homeRanks(), reversed))
	require.Empty(t, HomesOf(homeRanks(), upstreamNames(9)))
}

// TestHomesKeepTheWholeFloor guards against floors that get lost between the upstreams of a model.
func TestHomesKeepTheWholeFloor(t *testing.T) {
	names := upstreamNames(12)
	homes := HomesOf(homeRanks(), names)
	sum := 0.0
	for _, name := range names {
		config := homes.At(Config{Ranks: homeRanks()}, name, len(names))
		if config.Places["day"] == Home {
			sum += config.Ranks[1].Floor
			continue
		}
		require.Equal(t, Away, config.Places["day"])
	}
	require.InDelta(t, 0.2*12, sum, 1e-9)
}

func placedQueue(place Place) *Queue {
	q := New(Settings{FloorYield: 4}, Config{Ranks: testRanks(), Places: map[string]Place{"day": place}})
	q.SetPrefillRate(5120)
	return q
}

// TestAwayFloorIsForShortPrompts guards against long prompts that take their floor from urgent work away from home.
func TestAwayFloorIsForShortPrompts(t *testing.T) {
	require.Positive(t, placedQueue(Away).AheadOf("day", "a", 512).FloorShare)
	require.Zero(t, placedQueue(Away).AheadOf("day", "a", 513).FloorShare)
	require.Positive(t, placedQueue(Home).AheadOf("day", "a", 513).FloorShare)
	require.Positive(t, placedQueue(Spread).AheadOf("day", "a", 513).FloorShare)
}

// TestHomeReportsADetour guards against urgent work that goes to a home while other upstreams are free.
func TestHomeReportsADetour(t *testing.T) {
	require.EqualValues(t, 3*512, placedQueue(Home).AheadByRank()["urgent"])
	require.Zero(t, placedQueue(Home).AheadByRank()["day"])
	require.Zero(t, placedQueue(Away).AheadByRank()["urgent"])
}

// TestFloorYields guards against urgent requests that lose their deadline to a chunk by floor, and against floors that
// yield for ever.
func TestFloorYields(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline time.Duration
		credit   float64
		rank     string
	}{
		{"time to spare", 2 * time.Second, 4096, "day"},
		{"nearly late", 300 * time.Millisecond, 4096, "urgent"},
		{"nearly late and a whole burst owed", 300 * time.Millisecond, 8192, "day"},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := placedQueue(Spread)
			push(t, q, "day", "d", 2000, 1)
			require.NoError(t, q.Push(Item{ID: "u", Account: "u", Rank: "urgent", PromptTokens: 512, Deadline: start.Add(c.deadline)}, start))
			q.byName["day"].credit, q.sinceFloor = c.credit, 8
			grant, ok := q.Next(start)
			require.True(t, ok)
			require.Equal(t, c.rank, grant.Item.Rank)
		})
	}
}
