package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/prefillpool"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// choiceWorld is a node's state that is changed at random. Random choices are drawn from a generator with a drawn seed: drawn one by one they
// would be too many.
type choiceWorld struct {
	random   *rand.Rand
	tracker  *Tracker
	now      time.Time
	list     []upstreams.Instance
	attempts []*Attempt
	sequence uint64
	// share is the probability of each unusual condition of an instance.
	share float64
	// otherModels is the probability of a request for another model than m.
	otherModels float64
	// all are the instances of which changeServices lists a part.
	all []upstreams.Instance
}

func (w *choiceWorld) chance(probability float64) bool { return w.random.Float64() < probability }

func (w *choiceWorld) duration(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

func (w *choiceWorld) parts() []Part {
	if w.chance(0.1) {
		return nil
	}
	parts := []Part{{"common", 2500}, {fmt.Sprint("document", w.random.IntN(12)), 3000}, {fmt.Sprint("chapter", w.random.IntN(3)), 800}}
	parts = parts[w.random.IntN(3):]
	return append(parts[:w.random.IntN(len(parts)+1):len(parts)], Part{fmt.Sprint("own", w.random.IntN(1000)), 500})
}

// version returns a weight version; most instances, requests and parts have the same one.
func (w *choiceWorld) version() uint64 {
	if w.chance(0.8) {
		return 1
	}
	return uint64(w.random.IntN(3))
}

func (w *choiceWorld) zone() string { return fmt.Sprint("z", w.random.IntN(3)) }

// model returns the name of a model; some names have no versions.
func (w *choiceWorld) model() string {
	if !w.chance(w.otherModels) {
		return "m"
	}
	return []string{"n", "unknown", ""}[w.random.IntN(3)]
}

func (w *choiceWorld) salt() string {
	return (&Request{SharedCache: "all"}).Salt(w.version())
}

// changeList replaces the list of instances by one with other properties.
func (w *choiceWorld) changeList(count int) {
	size := len(w.list)
	if size == 0 || w.chance(0.3) {
		size = count
	}
	old := w.list
	w.list = nil
	for i := range size {
		instance := upstreams.Instance{
			ID: fmt.Sprint("i", i), Service: "s", AvailabilityZone: w.zone(), Slots: 8,
			Draining: w.chance(w.share), Updating: w.chance(w.share),
		}
		if i < len(old) && w.chance(0.99) {
			instance.AvailabilityZone, instance.Born = old[i].AvailabilityZone, old[i].Born
		}
		if w.chance(0.05) {
			instance.Born++
		}
		if i > 0 && w.chance(0.02) {
			// The list may show the former incarnation of an instance for a while.
			instance.ID, instance.Born = fmt.Sprint("i", i-1), 1000
		}
		instance.Address = instance.ID + ":1"
		if w.chance(0.8) {
			instance.Versions = map[string]uint64{"m": w.version()}
		}
		w.list = append(w.list, instance)
	}
}

// addInstances makes instances of two services, some of which are in no zone.
func (w *choiceWorld) addInstances(count int) {
	for i := range count {
		instance := upstreams.Instance{ID: fmt.Sprint("i", i), Service: []string{"s", "s", "s2"}[i%3], Address: fmt.Sprint("i", i, ":1"), Slots: 8}
		if w.chance(0.9) {
			instance.AvailabilityZone = w.zone()
		}
		w.all = append(w.all, instance)
	}
}

// changeServices replaces the list of instances by one of a part of all instances, which may have moved, restarted or changed.
func (w *choiceWorld) changeServices() {
	absent := max(0, 0.8*w.random.Float64()-0.4)
	w.list = nil
	for i := range w.all {
		if w.chance(0.02) {
			w.all[i].AvailabilityZone = w.zone()
		}
		if w.chance(0.02) {
			w.all[i].Born++
		}
		if w.chance(absent) {
			continue
		}
		instance := w.all[i]
		instance.Draining, instance.Updating, instance.Versions = w.chance(w.share/2), w.chance(w.share), map[string]uint64{}
		if w.chance(0.9) {
			instance.Versions["m"] = w.version()
		}
		if instance.Service == "s" && w.chance(0.5) {
			instance.Versions["n"] = w.version()
		}
		w.list = append(w.list, instance)
	}
	if len(w.list) == 0 {
		w.list = append(w.list, w.all[0])
	}
}

// view returns the list as a node gets it.
func (w *choiceWorld) view() []*upstreams.Instance {
	directory := upstreams.NewDirectory()
	for range 1 + w.random.IntN(3) {
		// The revisions of other views differ.
		directory.ApplyList([]upstreams.Instance{{ID: fmt.Sprint(w.random.Int())}}, w.now)
	}
	directory.ApplyList(slices.Clone(w.list), w.now)
	if w.chance(0.7) {
		w.tracker.Sync(directory.View())
	}
	return directory.View().OfService("s")
}

func (w *choiceWorld) instance() *upstreams.Instance {
	i := w.list[w.random.IntN(len(w.list))]
	return &i
}

// usages returns the lists of a report.
func (w *choiceWorld) usages() (keys, requests, prefill, long, held []uint32) {
	for range w.random.IntN(len(w.list) + 1) {
		key := hashKey(w.instance().ID)
		if slices.Contains(keys, key) {
			continue
		}
		tokens := uint32(w.random.IntN(9000))
		keys, requests, prefill, held = append(keys, key), append(requests, uint32(w.random.IntN(4))), append(prefill, tokens), append(held, tokens)
		long = append(long, tokens*uint32(w.random.IntN(2)))
	}
	return keys, requests, prefill, long, held
}

func (w *choiceWorld) reads() *nodepb.PromptReads {
	reads := &nodepb.PromptReads{}
	for range w.random.IntN(20) {
		use := promptUse{sentAt: w.now, readAt: w.now.Add(w.duration(300 * time.Millisecond)), size: w.random.IntN(sizeClasses)}
		appendRead(reads, promptRead{hashKey(w.instance().ID), keyParts(w.salt(), w.parts()), 9000 + w.random.IntN(30_000), use}, w.now)
	}
	return reads
}

func (w *choiceWorld) hashes(probability float64) (hashes []uint32) {
	for w.chance(probability) {
		hashes = append(hashes, hashKey(w.instance().ID))
	}
	return hashes
}

// change makes one change of the tracker's state.
func (w *choiceWorld) change() {
	w.now = w.now.Add(w.duration(20 * time.Millisecond))
	switch w.random.IntN(9) {
	case 0, 1, 2:
		tokens := w.random.IntN(12_000)
		work := Work{
			Urgency: Urgency{w.random.IntN(3), tokens}, PrefillTokens: tokens, HeldTokens: tokens, FirstEvent: w.duration(300 * time.Millisecond),
			Salt: w.salt(), Parts: w.parts(), CacheTokens: 9000 + w.random.IntN(30_000),
		}
		w.attempts = append(w.attempts, w.tracker.Begin(w.instance(), work))
	case 3:
		if len(w.attempts) > 0 {
			attempt := w.attempts[w.random.IntN(len(w.attempts))]
			if w.chance(0.5) {
				attempt.Prefilled()
			}
			outcomes := []Outcome{Answered, Answered, Answered, Failed, Failed, Unresponsive, Rejected, Replaced, Canceled}
			attempt.End(outcomes[w.random.IntN(len(outcomes))], w.now)
		}
	case 4:
		if len(w.attempts) > 0 {
			attempt := w.attempts[w.random.IntN(len(w.attempts))]
			attempt.RecordAnswer(&Load{w.random.IntN(9), w.random.IntN(3), 8}, "m", w.version(), w.now)
			if w.share > 0 {
				attempt.RecordSpeed(50+w.random.IntN(250), w.now)
			}
		}
	case 5:
		if w.chance(w.share) {
			w.tracker.Pause(w.instance(), w.duration(400*time.Millisecond), w.now)
		}
	case 6, 7:
		w.sequence++
		r := &nodepb.LoadReport{Node: fmt.Sprint("node", w.random.IntN(4)), Sequence: w.sequence, Reads: w.reads(), Silent: w.hashes(w.share), Replaced: w.hashes(w.share)}
		r.Keys, r.Requests, r.PrefillTokens, r.LongTokens, r.HeldTokens = w.usages()
		w.tracker.ApplyReport(r, "z0", w.now)
	case 8:
		w.sequence++
		zone := w.random.IntN(3)
		d := &nodepb.ZoneDigest{
			Zone: fmt.Sprint("z", zone), Relay: uint32(w.random.IntN(2)), Sequence: w.sequence, Nodes: 3, Slots: 2, Slot: uint32(w.random.IntN(2)), Reads: w.reads(),
			Replaced: w.hashes(w.share), MergedNodes: []uint32{hashKey("this")}, MergedSequences: []uint32{uint32(w.sequence)},
		}
		d.Keys, d.Requests, d.PrefillTokens, d.LongTokens, d.HeldTokens = w.usages()
		for range d.GetKeys() {
			d.SilentNodes = append(d.SilentNodes, uint32(w.random.IntN(2)))
		}
		d.Silent = d.GetKeys()
		if !w.chance(w.share) {
			d.Silent, d.SilentNodes = nil, nil
		}
		own := ""
		if zone == 0 {
			own = "this"
			if w.chance(0.7) {
				w.tracker.Report(w.sequence)
			}
		}
		w.tracker.ApplyDigest(d, own, w.now)
	}
}

// request returns a random request and pauses for a list of instances.
func (w *choiceWorld) request(list []*upstreams.Instance) (*Request, Pauses) {
	q := &Request{
		Zone: w.zone(), Model: w.model(), WantedVersion: w.version(), RequireWantedVersion: w.chance(w.share), SharedCache: "all", Seed: fmt.Sprint("request-", w.random.Int()),
		Urgency: Urgency{Priority: w.random.IntN(3)}, Exclude: map[string]bool{}, Evacuated: map[string]bool{},
		Target: w.duration(2 * time.Second), GapTarget: w.duration(time.Second),
	}
	for w.chance(0.4) {
		q.Exclude[w.instance().ID] = w.chance(0.9)
	}
	for w.chance(w.share) {
		q.Evacuated[w.zone()] = w.chance(0.9)
		// The name of no zone is that of instances in no zone.
		q.Evacuated[""] = w.chance(0.2)
	}
	if w.chance(0.8) {
		q.Parts, q.CacheTokens = w.parts(), 20_000+w.random.IntN(40_000)
		q.Tokens = 300 + w.random.IntN(12_000)
		q.Urgency.PromptTokens = q.Tokens
		q.StoredVersion, q.TokenTransfer = w.version(), time.Duration(w.random.IntN(3))*time.Microsecond
		for _, part := range q.shared() {
			stored := StoredPart{Tokens: part.Tokens, Transfer: w.duration(30 * time.Millisecond), Wait: w.duration(30 * time.Millisecond)}
			if w.chance(0.5) {
				stored.Address, stored.AvailabilityZone = "store", w.zone()
				q.Stored = append(q.Stored, stored)
			}
		}
	}
	pauses := Pauses{ByHash: map[uint32]time.Duration{}, ByPosition: map[int]time.Duration{}}
	for w.chance(w.share) {
		pauses.ByHash[w.instance().Key().Hash()] = w.duration(time.Second)
	}
	for len(list) > 0 && w.chance(w.share) {
		pauses.ByPosition[w.random.IntN(len(list))] = w.duration(time.Second)
	}
	return q, pauses
}

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

// chooseFromViews compares the choices for a service of the last view or of an older one.
func (w *choiceWorld) chooseFromViews(t *rapid.T, views []*upstreams.View, counts map[string]int) {
	view := views[len(views)-1]
	if w.chance(0.25) {
		view = views[w.random.IntN(len(views))]
	}
	if view != views[len(views)-1] {
		counts["older view"]++
	}
	if w.chance(0.1) {
		w.tracker.Sync(views[w.random.IntN(len(views))])
	}
	service := "s"
	if w.chance(0.3) {
		service = "s2"
	}
	w.choose(t, view.OfService(service), w.now.Add(w.duration(40*time.Millisecond)-20*time.Millisecond), counts)
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

// requireIndexes checks that the index of the holders of parts has those parts that the caches have, and no others: it would grow without bound.
// The same holds for the models that have versions.
func (w *choiceWorld) requireIndexes(t *rapid.T) {
	parts, versioned := 0, map[string]int{}
	for _, s := range w.tracker.instances {
		for model := range s.versions {
			versioned[model]++
		}
		parts += len(s.cache.parts)
		for key := range s.cache.parts {
			found := 0
			w.tracker.holders.of(key, func(holder *instanceState) {
				if holder == s {
					found++
				}
			})
			require.Equal(t, 1, found)
		}
	}
	indexed := len(w.tracker.holders.single)
	for _, holders := range w.tracker.holders.several {
		require.Greater(t, len(holders), 1)
		indexed += len(holders)
	}
	require.Equal(t, parts, indexed)
	require.Equal(t, versioned, w.tracker.versioned)
}

// choose compares the choices of both implementations for a random request.
func (w *choiceWorld) choose(t *rapid.T, list []*upstreams.Instance, now time.Time, counts map[string]int) {
	q, pauses := w.request(list)
	old := *q
	service := "s"
	if len(list) > 0 {
		service = list[0].Service
	}
	demand := func() (d prefillpool.Demand) {
		if current := w.tracker.longDemand[service]; current != nil {
			d = *current
		}
		return d
	}
	before := demand()
	best, pauseLeft := w.tracker.Choose(list, now, q, pauses)
	after := demand()
	if d := w.tracker.longDemand[service]; d != nil {
		*d = before
	}
	wantedBest, wantedPause, all := referenceChoose(w.tracker, list, now, &old, pauses)
	require.Equal(t, demand(), after)
	require.Equal(t, old, *q)
	require.Equal(t, wantedPause, pauseLeft)
	require.Equal(t, wantedBest, best)
	if best != nil {
		require.Same(t, wantedBest.Instance, best.Instance)
	}
	for kind, seen := range map[string]bool{
		"uneven": q.Uneven, "plain": q.CacheTokens == 0, "no instance": best == nil, "paused": pauseLeft > 0, "fetch from an engine": len(q.Held) > 0,
		"home": best != nil && best.homePosition > 0, "holder": best != nil && best.CachedParts > 1,
		"holders":    slices.ContainsFunc(all, func(c Candidate) bool { return len(q.Parts) > 2 && c.CachedParts >= len(q.shared()) }),
		"other pool": slices.ContainsFunc(all, func(c Candidate) bool { return c.OtherPool }),
		"evacuated":  slices.ContainsFunc(all, func(c Candidate) bool { return c.Evacuated }),
		"ejected":    slices.ContainsFunc(all, func(c Candidate) bool { return c.Ejected }),
		"avoided":    slices.ContainsFunc(all, func(c Candidate) bool { return c.Avoided }),
		"replaced":   slices.ContainsFunc(all, func(c Candidate) bool { return c.Replaced }),
		"loaded":     slices.ContainsFunc(all, func(c Candidate) bool { return c.Load != Load{} }),
		"slow":       slices.ContainsFunc(all, func(c Candidate) bool { return c.Slowness != 0 && c.Slowness != 1 }),
		"ranked":     len(list) >= minRankedFleet && q.CacheTokens > 0 && len(q.shared()) > 0,
		"no version": !slices.ContainsFunc(all, func(c Candidate) bool { return c.Version > 0 }),
	} {
		if seen {
			counts[kind]++
		}
	}
}

// referenceChoose and the functions below are the previous implementation of Choose.
func referenceChoose(t *Tracker, list []*upstreams.Instance, now time.Time, q *Request, pauses Pauses) (best *Candidate, pauseLeft time.Duration, all []Candidate) {
	candidates := referenceCandidates(t, list, now, q)
	for i := range candidates {
		c := &candidates[i]
		c.PauseLeft = max(c.PauseLeft, pauses.ByPosition[i], pauses.ByHash[c.Instance.Key().Hash()])
	}
	if q.CacheTokens > 0 {
		referenceMarkHomes(q, candidates)
		referenceMarkHeld(q, candidates)
	}
	if best = referencePick(q, candidates); best == nil {
		return nil, referenceShortestPause(q, candidates), candidates
	}
	return best, 0, candidates
}

type referenceFilter func(q *Request, c *Candidate) bool

var referenceRequired = []referenceFilter{
	referenceIsNotDraining,
	func(_ *Request, c *Candidate) bool { return c.PauseLeft == 0 },
	func(q *Request, c *Candidate) bool { return !q.Exclude[c.Instance.ID] },
	referenceIsSameIncarnation,
	referenceIsRecentEnough,
	referenceIsNotEvacuated,
}

var referencePreferred = []referenceFilter{
	func(_ *Request, c *Candidate) bool { return !c.Ejected },
	func(_ *Request, c *Candidate) bool { return !c.Instance.Updating },
	func(_ *Request, c *Candidate) bool { return !c.Avoided },
}

func referenceIsNotDraining(_ *Request, c *Candidate) bool     { return !c.Instance.Draining }
func referenceIsNotEvacuated(_ *Request, c *Candidate) bool    { return !c.Evacuated }
func referenceIsSameIncarnation(_ *Request, c *Candidate) bool { return !c.Replaced }

func referenceIsRecentEnough(q *Request, c *Candidate) bool {
	return !q.RequireWantedVersion || c.Version >= q.WantedVersion
}

func referenceIsAvailableInPool(c *Candidate) bool {
	return !c.OtherPool && !c.Evacuated && !c.Ejected && !c.Instance.Draining
}

func referenceMemoryPrice(q *Request, engines []Candidate) float64 {
	held := 0
	for i := range engines {
		held += engines[i].HeldTokens
	}
	share := min(maxPricedShare, float64(held)/float64(len(engines)*q.CacheTokens))
	return fullMemoryMs * share * share / float64(q.CacheTokens)
}

func referenceCandidates(t *Tracker, list []*upstreams.Instance, now time.Time, q *Request) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	memoryShare := t.priorities.memoryShare(q.Urgency)
	q.Uneven = len(list) > 0 && t.speeds.Service(list[0].Service).IsActive(now)
	out := make([]Candidate, 0, len(list))
	var keyed []keyedPart
	var keyedVersion uint64
	for _, instance := range list {
		s := t.state(instance.Key())
		others := referenceOthers(t, instance.ID)
		c := Candidate{
			Instance: instance, Requests: s.requests + others.requests, PrefillTokens: s.prefillTokens + others.prefillTokens,
			HeldTokens: s.heldTokens + others.heldTokens, LongTokens: s.longTokens + others.longTokens,
			AheadTokens: t.priorities.aheadTokens(q.Urgency, s.prefillTokens+others.prefillTokens, s.longTokens+others.longTokens),
			MemoryShare: memoryShare, ReadRate: t.rate.tokensPerMs,
			FailureShare: s.failureShare, Ejected: now.Before(s.ejectedUntil), Avoided: now.Before(s.avoidedUntil), Replaced: s.replaced,
			SameZone: instance.AvailabilityZone == q.Zone, Version: s.versions[q.Model], PauseLeft: t.pauses.left(instance, now),
			Evacuated: q.Evacuated[instance.AvailabilityZone],
		}
		if q.Uneven {
			c.Slowness = s.speed.Estimate(now)
		}
		if now.Sub(s.loadAt) < loadValidity {
			c.Load = s.load
		}
		if len(q.Parts) > 0 {
			if keyed == nil || keyedVersion != c.Version {
				keyed, keyedVersion = keyParts(q.Salt(c.Version), q.Parts), c.Version
			}
			held := s.cache.prefix(keyed, now, &t.runTimes)
			c.CachedParts, c.CachedTokens, c.ReadParts, c.UsedTokens = held.parts, held.tokens, held.readParts, held.usedTokens
		}
		out = append(out, c)
	}
	if q.Uneven && q.CacheTokens > 0 {
		referenceMarkPool(t, q, out, now)
	}
	return out
}

func referenceOthers(t *Tracker, id string) usage {
	key := hashKey(id)
	sum := t.peers.instances[key].plus(t.zones.instances[key], 1).plus(t.merged.instances[key], -1)
	return usage{max(0, sum.requests), max(0, sum.prefillTokens), max(0, sum.longTokens), max(0, sum.heldTokens)}
}

func referenceMarkPool(t *Tracker, q *Request, candidates []Candidate, now time.Time) {
	if len(candidates) == 0 {
		return
	}
	service := candidates[0].Instance.Service
	d := t.longDemand[service]
	if d == nil {
		d = &prefillpool.Demand{}
		t.longDemand[service] = d
	}
	tokens, requests := 0, 0
	for i := range candidates {
		tokens += candidates[i].LongTokens
		requests += candidates[i].Requests
	}
	d.Observe(tokens, requests, candidates[0].Instance.Slots, now)
	share := d.Share()
	if share == 0 {
		return
	}
	available := false
	for i := range candidates {
		c := &candidates[i]
		c.OtherPool = (prefillpool.Position(service, c.Instance.ID) < share) != q.Urgency.isLong()
		available = available || referenceIsAvailableInPool(c)
	}
	if available {
		return
	}
	// A small share may contain no engine. Without an engine of its pool the request would have no home and only a small sample.
	for i := range candidates {
		candidates[i].OtherPool = false
	}
}

func referenceMarkHomes(q *Request, candidates []Candidate) {
	shared := q.shared()
	if len(shared) == 0 {
		return
	}
	document := shared[len(shared)-1].ID
	zone := referenceHomeZone(q, candidates)
	var top [homeCount]int
	found := 0
	for i := range candidates {
		if !referenceIsAvailableInPool(&candidates[i]) || zone != "" && candidates[i].Instance.AvailabilityZone != zone {
			continue
		}
		score := rendezvousScore(document, candidates[i].Instance.ID)
		insertAt := found
		for insertAt > 0 && score > rendezvousScore(document, candidates[top[insertAt-1]].Instance.ID) {
			insertAt--
		}
		if insertAt >= homeCount {
			continue
		}
		copy(top[insertAt+1:], top[insertAt:homeCount-1])
		top[insertAt] = i
		found = min(found+1, homeCount)
	}
	for position, i := range top[:found] {
		candidates[i].homePosition = position + 1
	}
}

func referenceHomeZone(q *Request, candidates []Candidate) string {
	if len(q.Stored) == 0 {
		return ""
	}
	zone := q.Stored[len(q.Stored)-1].AvailabilityZone
	for i := range candidates {
		if candidates[i].Instance.AvailabilityZone == zone && referenceIsAvailableInPool(&candidates[i]) {
			return zone
		}
	}
	return ""
}

func referenceMarkHeld(q *Request, candidates []Candidate) {
	q.Held = nil
	if q.TokenTransfer <= 0 || q.StoredVersion == 0 {
		return
	}
	parts := q.shared()
	for i := range candidates {
		c := &candidates[i]
		if c.Ejected || c.Replaced || c.Evacuated || c.Instance.Draining || c.Instance.Updating || c.Version != q.StoredVersion {
			continue
		}
		for k := len(q.Held); k < min(c.ReadParts, len(parts)); k++ {
			q.Held = append(q.Held, StoredPart{
				Address: c.Instance.Address, AvailabilityZone: c.Instance.AvailabilityZone, Tokens: parts[k].Tokens,
				Transfer: time.Duration(parts[k].Tokens) * q.TokenTransfer,
			})
		}
	}
}

func referencePick(q *Request, candidates []Candidate) *Candidate {
	allowed := referenceFilterCandidates(q, candidates, referenceRequired)
	for count := len(referencePreferred); count >= 0; count-- {
		if remaining := referenceFilterCandidates(q, allowed, referencePreferred[:count]); len(remaining) > 0 {
			return referenceCheapest(q, referenceSampleCandidates(q, remaining))
		}
	}
	return nil
}

func referenceFilterCandidates(q *Request, candidates []Candidate, filters []referenceFilter) []Candidate {
	var kept []Candidate
next:
	for i := range candidates {
		for _, filter := range filters {
			if !filter(q, &candidates[i]) {
				continue next
			}
		}
		kept = append(kept, candidates[i])
	}
	return kept
}

func referenceSampleCandidates(q *Request, candidates []Candidate) []Candidate {
	if q.CacheTokens == 0 && q.Uneven {
		return referenceSamplePlain(q, candidates)
	}
	if q.CacheTokens == 0 || len(candidates) <= sampleSize {
		return candidates
	}
	own := 0
	for i := range candidates {
		if !candidates[i].OtherPool {
			own++
		}
	}
	kept := make([]Candidate, 0, 2*sampleSize)
	for i := range candidates {
		c := &candidates[i]
		share := sampleSize / float64(max(1, own))
		if c.OtherPool {
			share = otherPoolSample / float64(len(candidates)-own)
		}
		holds := c.homePosition > 0 || len(q.Parts) > 1 && c.CachedParts >= len(q.shared())
		if holds || float64(rendezvousScore(q.Seed, c.Instance.ID)) < share*math.MaxUint64 {
			kept = append(kept, *c)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

func referenceSamplePlain(q *Request, candidates []Candidate) []Candidate {
	size := max(minPlainSample, min(sampleSize, len(candidates)/2))
	if len(candidates) < size {
		return candidates
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(q.Seed), 0))
	var taken [sampleSize]int
	kept := make([]Candidate, 0, size)
	for len(kept) < size {
		i := random.IntN(len(candidates))
		if slices.Contains(taken[:len(kept)], i) {
			continue
		}
		taken[len(kept)] = i
		kept = append(kept, candidates[i])
	}
	return kept
}

func referenceCheapest(q *Request, candidates []Candidate) *Candidate {
	cost := serviceCost
	if q.CacheTokens > 0 {
		price := referenceMemoryPrice(q, candidates)
		cost = func(q *Request, c *Candidate) float64 { return engineCost(q, c) + price*float64(q.newTokens(c)) }
	}
	best, bestCost := -1, 0.0
	for i := range candidates {
		if c := cost(q, &candidates[i]); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	return &candidates[best]
}

func referenceShortestPause(q *Request, candidates []Candidate) time.Duration {
	var shortest time.Duration
	for i := range candidates {
		c := &candidates[i]
		if !referenceIsNotDraining(q, c) || !referenceIsNotEvacuated(q, c) || !referenceIsSameIncarnation(q, c) || !referenceIsRecentEnough(q, c) {
			continue
		}
		if c.PauseLeft == 0 {
			return 0
		}
		if shortest == 0 || c.PauseLeft < shortest {
			shortest = c.PauseLeft
		}
	}
	return shortest
}
