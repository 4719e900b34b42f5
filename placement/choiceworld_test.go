package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

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
	zone, model, required := w.zone(), w.model(), w.version()
	if !w.chance(w.share) {
		required = 0
	}
	q := &Request{
		Zone: zone, Model: model, RequiredVersion: required, SharedCache: "all", Seed: fmt.Sprint("request-", w.random.Int()),
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
