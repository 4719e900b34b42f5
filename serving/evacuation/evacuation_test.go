package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against an evacuation that ends, or returns after its end, because a member that was suspended sends an older list.
func TestOlderListsAreRejected(t *testing.T) {
	var none *List
	l, change, ok := none.Accept(3, []string{"b", "a"}, start)
	require.True(t, ok)
	require.Equal(t, Change{Zones: []string{"a", "b"}, Started: []string{"a", "b"}}, change)
	for _, revision := range []uint64{0, 1, 2, 3} {
		same, _, ok := l.Accept(revision, nil, start)
		require.False(t, ok, revision)
		require.Same(t, l, same)
	}
	ended, change, ok := l.Accept(4, []string{"b"}, start)
	require.True(t, ok)
	require.Equal(t, Change{Zones: []string{"b"}, Ended: []string{"a"}}, change)
	_, _, ok = ended.Accept(3, []string{"b", "a"}, start)
	require.False(t, ok)
	require.False(t, ended.Contains("a"))
	require.True(t, ended.Contains("b"))
	require.False(t, none.Contains("b"))
}

// Guards against engines that count as warm right after their zone has returned, and against a memory of ends that grows.
func TestEndIsRememberedForAWhile(t *testing.T) {
	var none *List
	l, _, _ := none.Accept(1, []string{"a"}, start)
	require.Zero(t, l.EndedAt("a"))
	l, _, _ = l.Accept(2, nil, start.Add(time.Second))
	require.Equal(t, start.Add(time.Second), l.EndedAt("a"))
	l, _, _ = l.Accept(3, []string{"a"}, start.Add(2*time.Second))
	require.Equal(t, start.Add(time.Second), l.EndedAt("a"))
	l, _, _ = l.Accept(4, []string{"a", "b"}, start.Add(2*endedLifetime))
	require.Zero(t, l.EndedAt("a"))
}

// Guards against names that fill updates or break log lines, and against refusing names that platforms use.
func TestZoneNames(t *testing.T) {
	for _, name := range []string{"a", "eu-west-1a", "amman_sahab.2", "zone 1", "Zürich", strings.Repeat("z", maxZoneBytes)} {
		require.True(t, IsZoneName(name), name)
	}
	for _, name := range []string{"", ".", "..", "a/b", " a", "a\n", "\x00", "a\xff", strings.Repeat("z", maxZoneBytes+1)} {
		require.False(t, IsZoneName(name), "%q", name)
	}
}

// Guards against nodes that differ at the end, or go back to an older list on the way, when updates of several members are delayed, lost,
// duplicated or sent by a member that is behind: 300 nodes that each get one update of the newest revision hold the same zones.
func TestAllNodesEndWithTheNewestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type update struct {
			revision uint64
			zones    []string
		}
		history := []update{{}}
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			zones := slices.Clone(history[i].zones)
			zone := fmt.Sprint("z", rapid.IntRange(0, 3).Draw(t, "zone"))
			if at := slices.Index(zones, zone); at >= 0 {
				zones = slices.Delete(zones, at, at+1)
			} else {
				zones = append(zones, zone)
			}
			history = append(history, update{uint64(i + 1), zones})
		}
		newest := history[len(history)-1]
		nodes := rapid.SampledFrom([]int{1, 7, 300}).Draw(t, "nodes")
		order := rapid.SliceOfN(rapid.IntRange(0, len(history)-1), 1, 30)
		for node := range nodes {
			// Nodes share a few orders of delivery, so that a case stays small.
			var deliveries []int
			if node < 7 {
				deliveries = order.Draw(t, "deliveries")
				at := rapid.IntRange(0, len(deliveries)).Draw(t, "newest")
				deliveries = slices.Insert(deliveries, at, len(history)-1)
			} else {
				deliveries = []int{node % len(history), len(history) - 1, (node / 2) % len(history)}
			}
			var l *List
			for _, i := range deliveries {
				before := l.Revision()
				l, _, _ = l.Accept(history[i].revision, history[i].zones, start)
				if l.Revision() < before {
					t.Fatalf("node %d went back from revision %d to %d", node, before, l.Revision())
				}
			}
			if len(l.Zones()) != len(newest.zones) {
				t.Fatalf("node %d has %v, newest is %v", node, l.Zones(), newest.zones)
			}
			for _, zone := range newest.zones {
				if !l.Contains(zone) {
					t.Fatalf("node %d lacks %s", node, zone)
				}
			}
		}
	})
}

// Guards against a zone whose instances count as warm although its evacuation began and ended in lists that this node missed.
func TestMissedListMayHaveEndedAnEvacuation(t *testing.T) {
	begin := time.Unix(100, 0)
	var none *List
	list, _, ok := none.Accept(1, nil, begin)
	require.True(t, ok)
	require.Zero(t, list.EndedAt("a"))
	later := begin.Add(time.Second)
	list, _, ok = list.Accept(2, nil, later)
	require.True(t, ok)
	require.Zero(t, list.EndedAt("a"))
	list, _, ok = list.Accept(4, nil, later)
	require.True(t, ok)
	require.Equal(t, later, list.EndedAt("a"))
	list, _, ok = list.Accept(5, nil, later.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, later, list.EndedAt("a"))
}

// Guards against permits for all zones when several evacuations begin or end at once and one update tells of all of them.
func TestChangesThatAllShowConcernNoOtherZone(t *testing.T) {
	list, _, ok := None().Accept(2, []string{"a", "b"}, start)
	require.True(t, ok)
	require.Zero(t, list.EndedAt("c"))
	later := start.Add(time.Second)
	list, _, ok = list.Accept(5, []string{"d"}, later)
	require.True(t, ok)
	require.Zero(t, list.EndedAt("c"), "a and b ended and d started: three revisions")
	require.Zero(t, list.EndedAt("d"))
	require.Equal(t, later, list.EndedAt("a"))
	require.Equal(t, later, list.EndedAt("b"))
	list, _, ok = list.Accept(8, nil, later.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, later.Add(time.Second), list.EndedAt("c"), "two of three revisions do not show")
}

// Guards against a zone whose evacuation ended between two lists and counts as warm, whichever lists a node misses.
func TestReturnsBetweenListsAreNeverMissed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evacuated, revision, now := map[string]bool{}, uint64(0), start
		list := None()
		for range rapid.IntRange(1, 6).Draw(t, "lists") {
			now = now.Add(time.Second)
			var returned []string
			for range rapid.IntRange(1, 5).Draw(t, "changes") {
				zone := fmt.Sprint("z", rapid.IntRange(0, 3).Draw(t, "zone"))
				if revision++; evacuated[zone] {
					delete(evacuated, zone)
					returned = append(returned, zone)
				} else {
					evacuated[zone] = true
				}
			}
			list, _, _ = list.Accept(revision, slices.Sorted(maps.Keys(evacuated)), now)
			for _, zone := range returned {
				if !list.Contains(zone) {
					require.Equal(t, now, list.EndedAt(zone), zone)
				}
			}
		}
	})
}
