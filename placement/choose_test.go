package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against a choice that depends on how it is computed: Choose must return what the previous implementation returns, which described
// all instances in full, for all states of a node.
func TestChoicesAreThoseOfThePreviousImplementation(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.OneOf(rapid.IntRange(1, 20), rapid.IntRange(1, 200)).Draw(t, "instances")
		changes := rapid.IntRange(0, 300).Draw(t, "changes")
		seed := rapid.Uint64().Draw(t, "seed")
		w := &choiceWorld{
			random: rand.New(rand.NewPCG(seed, 1)), tracker: NewTracker(), now: time.Now(),
			share: rapid.SampledFrom([]float64{0, 0.05, 0.05, 0.3, 0.9}).Draw(t, "share"),
		}
		if rapid.Bool().Draw(t, "uneven") {
			w.tracker.RequireSpeeds()
		}
		w.changeList(count)
		w.choose(t, nil, w.now, counts)
		var list []*upstreams.Instance
		for range 4 {
			w.changeList(count)
			former := list
			list = w.view()
			if len(former) > 0 {
				// A request may have read the former view before another one applied the new one.
				w.choose(t, former, w.now, counts)
			}
			for range 3 {
				for range changes / 12 {
					w.change()
				}
				w.requireIndexes(t)
				for range 6 {
					// Requests read the clock before they wait for the tracker.
					w.choose(t, list, w.now.Add(w.duration(40*time.Millisecond)-20*time.Millisecond), counts)
				}
				if w.chance(0.2) {
					w.now = w.now.Add(w.duration(time.Second))
				}
			}
		}
	})
	for _, kind := range []string{"uneven", "plain", "other pool", "no instance", "paused", "home", "holder", "holders", "fetch from an engine", "evacuated", "ejected"} {
		require.Greater(t, counts[kind], 20, kind)
	}
}

// Guards against a choice that depends on what a node has kept of other lists: services and models share a tracker, lists shrink and return,
// requests come with older lists, and much time may pass between two requests.
func TestChoicesFromListsThatShrinkAndReturn(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{3, 12, 40, 100, 200}).Draw(t, "instances")
		changes := rapid.SampledFrom([]int{0, 30, 150, 300}).Draw(t, "changes")
		seed := rapid.Uint64().Draw(t, "seed")
		w := &choiceWorld{
			random: rand.New(rand.NewPCG(seed, 2)), tracker: NewTracker(), now: time.Now(),
			share:       rapid.SampledFrom([]float64{0, 0.02, 0.05, 0.3}).Draw(t, "share"),
			otherModels: 0.2,
		}
		if rapid.Bool().Draw(t, "uneven") {
			w.tracker.RequireSpeeds()
		}
		w.addInstances(count)
		directory := upstreams.NewDirectory()
		var views []*upstreams.View
		for range 5 {
			w.changeServices()
			directory.ApplyList(slices.Clone(w.list), w.now)
			views = append(views, directory.View())
			for range 3 {
				for range changes / 15 {
					w.change()
				}
				for _, unresponsive := range w.tracker.UnresponsiveInstances(directory.View()) {
					if w.chance(0.3) {
						w.tracker.MarkReachable(unresponsive, w.now)
					}
				}
				if w.chance(0.7) {
					w.tracker.Sync(directory.View())
				}
				w.requireIndexes(t)
				for range 5 {
					w.chooseFromViews(t, views, counts)
				}
				if w.chance(0.2) {
					w.now = w.now.Add(w.duration(time.Second))
				}
				if w.chance(0.1) {
					w.now = w.now.Add(w.duration(30 * time.Second))
				}
			}
		}
	})
	for _, kind := range []string{"uneven", "plain", "other pool", "no instance", "home", "holder", "evacuated", "ejected", "avoided", "replaced", "loaded", "slow", "ranked", "no version", "older view"} {
		require.Greater(t, counts[kind], 20, kind)
	}
}

// Guards against requests to instances that must not get them, also if no other instance is left.
func TestChooseNeverReturnsForbiddenInstances(t *testing.T) {
	for name, c := range map[string]struct {
		forbid    func(tracker *Tracker, i *upstreams.Instance, q *Request, now time.Time)
		pauseLeft time.Duration
	}{
		"evacuated": {func(_ *Tracker, i *upstreams.Instance, q *Request, _ time.Time) {
			q.Evacuated = map[string]bool{i.AvailabilityZone: true}
		}, 0},
		"paused": {func(tracker *Tracker, i *upstreams.Instance, _ *Request, now time.Time) {
			tracker.Pause(i, time.Second, now)
		}, time.Second},
		"draining": {func(_ *Tracker, i *upstreams.Instance, _ *Request, _ time.Time) { i.Draining = true }, 0},
	} {
		for kind, q := range map[string]*Request{"engine": document("d"), "plain": {Zone: "z"}} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				tracker, now := NewTracker(), time.Now()
				wanted, other := instance("forbidden"), instance("other")
				other.AvailabilityZone = "z2"
				// All preferences are for the instance that is forbidden later.
				tracker.state(wanted.Key()).setVersion("m", 1)
				tracker.Begin(wanted, Work{Salt: q.Salt(1), Parts: q.Parts, CacheTokens: 1 << 30}).End(Answered, now)
				tracker.Begin(other, Work{}).End(Unresponsive, now)
				best, _ := tracker.Choose([]*upstreams.Instance{wanted, other}, now, q, Pauses{})
				require.Equal(t, "forbidden", best.Instance.ID)
				forbidden := *wanted
				c.forbid(tracker, &forbidden, q, now)
				best, _ = tracker.Choose([]*upstreams.Instance{&forbidden, other}, now, q, Pauses{})
				require.Equal(t, "other", best.Instance.ID)
				best, left := tracker.Choose([]*upstreams.Instance{&forbidden}, now, q, Pauses{})
				require.Nil(t, best)
				require.Equal(t, c.pauseLeft, left)
			})
		}
	}
}

// Guards against an unresponsive instance that delayed requests choose after it was reached, if its ejection ended by time before: the choice
// must not depend on whether another request has removed the instance from the unusual ones since.
func TestInstanceReachedAfterItsEjectionIsEjectedForEarlierRequests(t *testing.T) {
	now := time.Now()
	tracker := NewTracker()
	list := []*upstreams.Instance{{ID: "a", Service: "s", AvailabilityZone: "z"}, {ID: "b", Service: "s"}}
	tracker.Begin(list[0], Work{}).End(Unresponsive, now)
	q := &Request{Zone: "z"}
	now = now.Add(unresponsiveEjection + 2*unusualTime)
	best, _ := tracker.Choose(list, now, q, Pauses{})
	require.Equal(t, "a", best.Instance.ID)
	require.Empty(t, tracker.unusual)
	tracker.MarkReachable(list[0], now)
	earlier := now.Add(-5 * time.Millisecond)
	wanted, _, _ := referenceChoose(tracker, list, earlier, q, Pauses{})
	require.Equal(t, "b", wanted.Instance.ID)
	best, _ = tracker.Choose(list, earlier, q, Pauses{})
	require.Equal(t, "b", best.Instance.ID)
	best, _ = tracker.Choose(list, now, q, Pauses{})
	require.Equal(t, "a", best.Instance.ID)
}
