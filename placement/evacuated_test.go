package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against an instance in an evacuated zone that is used as the last resort.
func TestEvacuationIsNeverIgnored(t *testing.T) {
	list := candidates(2)
	list[0].Evacuated = true
	list[1].Ejected, list[1].Avoided = true, true
	require.Equal(t, "i1", Pick(&Request{}, list).Instance.ID)
	list[1].Evacuated = true
	require.Nil(t, Pick(&Request{}, list))
	list[0].PauseLeft = time.Second
	require.Zero(t, ShortestPause(&Request{}, list), "the end of a pause does not end an evacuation")
}

// Guards against engines in an evacuated zone that are homes of prompts or sources for fetches: all nodes would prefer engines that none may use.
func TestEvacuatedEnginesAreNeitherHomesNorSources(t *testing.T) {
	tracker, now := NewTracker(), time.Now()
	var list []*upstreams.Instance
	for _, id := range []string{"a", "b", "c", "d"} {
		list = append(list, instance(id))
	}
	list[0].AvailabilityZone, list[1].AvailabilityZone = "gone", "gone"
	q := document("d")
	q.StoredVersion, q.TokenTransfer = 1, time.Microsecond
	q.Stored = []StoredPart{{}, {Address: "store", AvailabilityZone: "gone", Tokens: 1}}
	later := now.Add(time.Second)
	for _, i := range list {
		tracker.state(i.Key()).setVersion("m", 1)
	}
	for _, i := range list[:2] {
		tracker.Begin(i, Work{Salt: q.Salt(1), Parts: q.Parts, CacheTokens: 1 << 30})
	}
	homes := func() (ids []string) {
		found := tracker.Candidates(list, later, q)
		MarkHomes(q, found)
		MarkHeld(q, found)
		for i := range found {
			if found[i].homePosition > 0 {
				ids = append(ids, found[i].Instance.ID)
			}
		}
		return ids
	}
	require.ElementsMatch(t, []string{"a", "b"}, homes(), "the zone of the store")
	require.NotEmpty(t, q.Held)
	q.Evacuated = map[string]bool{"gone": true}
	require.ElementsMatch(t, []string{"c", "d"}, homes())
	require.Empty(t, q.Held)
}
