package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/internal/clocktest"
)

var limits = Limits{Ratio: 0.2, Allowance: 60, Window: 10 * time.Second}

// Guards against nodes that each spend the whole allowance, and against a restarted node that spends what the process
// before it already spent.
func TestAllowanceIsSharedAndComesLate(t *testing.T) {
	clock := clocktest.NewManual(time.Unix(1_000_000, 0))
	b := New(limits, clock.Now)
	b.SetNodes(6)
	require.False(t, b.TakeRepeat("s"), "a node that has just started has no allowance")
	clock.Advance(limits.Window)
	granted := 0
	for b.TakeRepeat("s") {
		granted++
	}
	require.Equal(t, 5, granted, "half of the allowance, over 6 nodes")
	clock.Advance(limits.Window + time.Second)
	require.True(t, b.TakeRepeat("s"), "the window has passed")
}

// Guards against retries that multiply a flood: in each window of all nodes together, repeats stay below the ratio of
// the requests plus the allowance, whatever the order of requests and failures.
func TestRepeatsOfAllNodesStayBelowTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clocktest.NewManual(time.Unix(1_000_000, 0))
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = New(limits, clock.Now)
			budgets[i].SetNodes(nodes)
		}
		type event struct {
			at              time.Time
			request, repeat bool
		}
		var events []event
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "repeat") {
				events = append(events, event{at: clock.Now(), repeat: b.TakeRepeat("s")})
			} else {
				b.RecordRequest("s")
				events = append(events, event{at: clock.Now(), request: true})
			}
		}
		for i := range events {
			requests, before, repeats := 0.0, 0.0, 0.0
			for _, e := range events {
				offset := e.at.Sub(events[i].at)
				if offset >= 0 && offset < limits.Window {
					if e.request {
						requests++
					}
					if e.repeat {
						repeats++
					}
				}
				if offset >= -limits.Window && offset < 0 && e.request {
					before++
				}
			}
			limit := limits.Ratio*max(requests, before) + limits.Allowance
			if repeats > limit {
				t.Fatalf("%v repeats in a window with %v requests, the limit is %v", repeats, requests, limit)
			}
		}
	})
}
