package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/serving/prefillpool"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against prompts that have no home, so that their shared parts are read again at other engines, because no engine of their pool is
// available: the share of the pool is too small to contain one, or their zone is evacuated.
func TestPromptsHaveHomesWithoutTheirPool(t *testing.T) {
	now := time.Now()
	var list []*upstreams.Instance
	lowest, lowestPosition := "", 1.0
	for i := range 12 {
		list = append(list, instance(fmt.Sprint("e", i)))
		list[i].Slots = 48
		if p := prefillpool.Position("s", list[i].ID); p < lowestPosition {
			lowest, lowestPosition = list[i].ID, p
		}
	}
	homes := func(share float64, tokens int, evacuated map[string]bool) (count int) {
		tracker := NewTracker()
		tracker.Begin(list[0], Work{}).RecordSpeed(100, now)
		d := &prefillpool.Demand{}
		d.RecordPrompt(9000)
		// The need of long prompts is 1/0.6 engines here, and that of the others is chosen for the share.
		needed := 1 / 0.6
		d.Observe(9000, 1+int(0.35*48*needed*(1/share-1)), 48, now)
		require.InDelta(t, share, d.Share(), 0.1*share)
		tracker.longDemand["s"] = d
		q := &Request{
			Model: "m", CacheTokens: 50_000, Tokens: tokens, Seed: "r", Urgency: Urgency{PromptTokens: tokens}, Evacuated: evacuated,
			Parts: []Part{{ID: "document", Tokens: tokens - 100}, {ID: "question", Tokens: 100}},
		}
		found := tracker.Candidates(list, now, q)
		MarkHomes(q, found)
		for i := range found {
			if found[i].homePosition > 0 {
				count++
			}
		}
		return count
	}
	require.Positive(t, homes(lowestPosition/2, 9000, nil), "no engine is in the pool")
	for _, i := range list {
		if i.ID == lowest {
			i.AvailabilityZone = "evacuated"
		}
	}
	require.Positive(t, homes(lowestPosition*1.12, 9000, map[string]bool{"evacuated": true}), "the only engine of the pool is evacuated")
	require.Positive(t, homes(lowestPosition/2, 900, nil), "short prompts keep the others")
}
