package placement

import (
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Pauses are pauses of instances besides those recorded by Tracker.Pause.
type Pauses struct {
	// ByHash holds pauses by the hash of the instance's key.
	ByHash map[uint32]time.Duration
	// ByPosition holds pauses by the position of the instance in the list of instances.
	ByPosition map[int]time.Duration
}

// Choose returns the best of the instances for a request, and marks the sources of its prompt in the request. If no instance may get the
// request, it returns nil and the time until a paused instance takes requests again, see ShortestPause.
//
// The choice is the same as that of MarkHomes, MarkHeld and Pick from all Candidates, but only the instances that the request considers
// are described in full.
func (t *Tracker) Choose(list []*upstreams.Instance, now time.Time, q *Request, pauses Pauses) (best *Candidate, pauseLeft time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &t.decision
	d.begin(t, list, now, q, pauses)
	defer d.end()
	if q.CacheTokens > 0 {
		d.markRelated()
		d.findHeld()
	}
	considered := d.consider(q)
	if len(considered) == 0 {
		return nil, d.shortestPause(func(i int) time.Duration { return d.pauseLeft[i] })
	}
	describe := d.describe
	if q.CacheTokens == 0 {
		describe = d.describeLoad
	}
	best = &Candidate{}
	position := cheapest(q, len(considered),
		func(i int) int { return d.fleet.states[considered[i]].held() },
		func(i int) *Candidate {
			describe(int(considered[i]), best)
			return best
		})
	d.describe(int(considered[position]), best)
	return best, 0
}

// Candidates describes the instances for one request.
func (t *Tracker) Candidates(list []*upstreams.Instance, now time.Time, q *Request) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &decision{}
	d.begin(t, list, now, q, Pauses{})
	out := make([]Candidate, len(list))
	for i := range out {
		d.describe(i, &out[i])
	}
	return out
}

// CachedTokens returns how many tokens of a request's prompt an instance is expected to hold.
func (t *Tracker) CachedTokens(instance *upstreams.Instance, now time.Time, q *Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(instance.Key())
	return s.cache.prefix(keyParts(q.Salt(s.versions[q.Model]), q.Parts), now, &t.runTimes).tokens
}

// decision is the choice of an instance for one request at one time. All its methods need the tracker's lock.
type decision struct {
	selection
	tracker     *Tracker
	q           *Request
	now         time.Time
	memoryShare float64
	// ownZone is the number of the request's zone, -1 if it has no instances.
	ownZone int32
	// pauseLeft holds how long instances still take no requests from this node; pausedAt are the positions that are not 0.
	pauseLeft []time.Duration
	pausedAt  []int32
	// homePositions are the homes of the prompt, the first home first.
	homePositions []int32
	// prompts holds the parts of the prompt under the salt of each version that was needed.
	prompts []keyedPrompt
	// versions are the weight versions of the instances for the request's model.
	versions *versionColumn
}

type keyedPrompt struct {
	version uint64
	parts   []keyedPart
}

// begin begins a decision with the marks of all instances.
func (d *decision) begin(t *Tracker, list []*upstreams.Instance, now time.Time, q *Request, pauses Pauses) {
	t.expire(now)
	q.Uneven = len(list) > 0 && t.speeds.Service(list[0].Service).IsActive(now)
	d.tracker, d.q, d.now, d.fleet = t, q, now, t.fleetOf(list)
	d.ownZone = int32(slices.Index(d.fleet.zoneNames, q.Zone))
	d.memoryShare = t.priorities.memoryShare(q.Urgency)
	d.versions = t.versionsOf(d.fleet, q.Model)
	d.marks = append(d.marks[:0], d.fleet.base...)
	d.markStates()
	d.markPauses(pauses)
	d.markRequest()
	if q.Uneven && q.CacheTokens > 0 {
		d.markPool()
	}
}

// end drops the references to the request, its prompt and the fleet, which would stay in memory until the next decision.
func (d *decision) end() {
	clear(d.prompts)
	d.q, d.fleet, d.prompts, d.homePositions, d.versions = nil, nil, d.prompts[:0], nil, nil
}

// unusualTime is how long a state stays in Tracker.unusual after the end of its ejection. Requests read the clock before they take the lock, so
// a delayed one brings an earlier time.
const unusualTime = time.Second

// markStates marks the instances that are ejected, avoided or replaced.
func (d *decision) markStates() {
	for s := range d.tracker.unusual {
		var m marks
		m.set(isEjected, d.now.Before(s.ejectedUntil))
		m.set(isAvoided, d.now.Before(s.avoidedUntil))
		m.set(isReplaced, s.replaced)
		if m == 0 {
			if d.now.Sub(s.ejectedUntil) > unusualTime && d.now.Sub(s.avoidedUntil) > unusualTime {
				delete(d.tracker.unusual, s)
			}
			continue
		}
		for i := d.fleet.positions.find(s); i >= 0; i = d.fleet.positions.next[i] {
			d.marks[i] |= m
		}
	}
}

// markPauses marks the instances that take no requests from this node for a while.
func (d *decision) markPauses(pauses Pauses) {
	for _, i := range d.pausedAt {
		d.pauseLeft[i] = 0
	}
	d.pausedAt = d.pausedAt[:0]
	if n := len(d.marks); len(d.pauseLeft) < n {
		d.pauseLeft = make([]time.Duration, n)
	}
	for key, until := range d.tracker.pauses {
		if left := until.Sub(d.now); left > 0 {
			if s := d.tracker.instances[key]; s != nil {
				for i := d.fleet.positions.find(s); i >= 0; i = d.fleet.positions.next[i] {
					d.pause(i, left)
				}
			}
		}
	}
	if len(pauses.ByHash) > 0 {
		index := d.fleet.positionsByHash()
		for hash, left := range pauses.ByHash {
			for i := index.find(hash); i >= 0; i = index.next[i] {
				d.pause(i, left)
			}
		}
	}
	for i, left := range pauses.ByPosition {
		d.pause(int32(i), left)
	}
}

func (d *decision) pause(i int32, left time.Duration) {
	if left <= d.pauseLeft[i] {
		return
	}
	d.pauseLeft[i] = left
	d.pausedAt = append(d.pausedAt, i)
	d.marks[i] |= isPaused
}

// markRequest sets the marks that follow from the request.
func (d *decision) markRequest() {
	q, f := d.q, d.fleet
	for id, excluded := range q.Exclude {
		if !excluded {
			continue
		}
		index := f.positionsByID()
		for i := index.find(id); i >= 0; i = index.next[i] {
			d.marks[i] |= isExcluded
		}
	}
	for number, name := range f.zoneNames {
		if !q.Evacuated[name] {
			continue
		}
		for i, zone := range f.zones {
			d.marks[i].set(isEvacuated, zone == int32(number))
		}
	}
	if q.RequiredVersion > 0 {
		for i, version := range d.versions.values {
			d.marks[i].set(isOutdated, version < q.RequiredVersion)
		}
	}
}

// prompt returns the parts of the prompt under the salt of a version.
func (d *decision) prompt(version uint64) []keyedPart {
	for i := range d.prompts {
		if d.prompts[i].version == version {
			return d.prompts[i].parts
		}
	}
	parts := keyParts(d.q.Salt(version), d.q.Parts)
	d.prompts = append(d.prompts, keyedPrompt{version, parts})
	return parts
}

// held describes the leading parts of the prompt that an engine is expected to hold.
func (d *decision) held(i int) cachedPrefix {
	return d.fleet.states[i].cache.prefix(d.prompt(d.versions.values[i]), d.now, &d.tracker.runTimes)
}

// markRelated marks the homes of the prompt and the engines that hold all its shared parts.
func (d *decision) markRelated() {
	d.homePositions = d.homes(d.q)
	for _, i := range d.homePositions {
		d.marks[i] |= isRelated
	}
	shared := d.q.shared()
	if len(shared) == 0 {
		return
	}
	for _, version := range d.versions.distinct {
		last := d.prompt(version)[len(shared)-1].key
		d.tracker.holders.of(last, func(s *instanceState) {
			for i := d.fleet.positions.find(s); i >= 0; i = d.fleet.positions.next[i] {
				// A holder of the last one holds the only shared part.
				if d.versions.values[i] == version && (len(shared) == 1 || d.held(int(i)).parts >= len(shared)) {
					d.marks[i] |= isRelated
				}
			}
		})
	}
}

// fewHolders is the share of the instances up to which the holders of a part are looked up. If more hold it, the first one in the list is found
// soon without the index.
const fewHolders = 1. / 16

// findHeld is MarkHeld for the instances of the decision.
func (d *decision) findHeld() {
	q := d.q
	q.Held = nil
	parts := q.partsToFetch()
	first := int32(0)
	for len(q.Held) < len(parts) {
		// An engine that is the first with one more part is not before the first one with the parts so far.
		if first = d.firstWithParts(len(q.Held)+1, parts, first); first < 0 {
			return
		}
		var c Candidate
		d.describe(int(first), &c)
		q.addHeld(&c, parts)
	}
}

// firstWithParts returns the first position, not before from, of an engine from which others may fetch so many leading parts; -1 if there is
// none.
func (d *decision) firstWithParts(count int, parts []Part, from int32) int32 {
	if !slices.Contains(d.versions.distinct, d.q.StoredVersion) {
		return -1
	}
	canFetch := func(i int32) bool {
		if d.versions.values[i] != d.q.StoredVersion || d.held(int(i)).parts < count {
			return false
		}
		var c Candidate
		d.describe(int(i), &c)
		return c.fetchableParts(d.q, parts) >= count
	}
	key := d.prompt(d.q.StoredVersion)[count-1].key
	if float64(d.tracker.holders.count(key)) > fewHolders*float64(len(d.marks)) {
		for i := from; int(i) < len(d.marks); i++ {
			if canFetch(i) {
				return i
			}
		}
		return -1
	}
	first := int32(-1)
	d.tracker.holders.of(key, func(s *instanceState) {
		for i := d.fleet.positions.find(s); i >= 0 && (first < 0 || i < first); i = d.fleet.positions.next[i] {
			if canFetch(i) {
				first = i
			}
		}
	})
	return first
}

// describe describes an instance.
func (d *decision) describe(i int, c *Candidate) {
	t, q, s, instance := d.tracker, d.q, d.fleet.states[i], d.fleet.list[i]
	*c = Candidate{
		Instance: instance, PrefillTokens: s.prefillTokens + s.others.prefillTokens,
		HeldTokens: s.held(), LongTokens: s.longTokens + s.others.longTokens,
		AheadTokens: t.priorities.aheadTokens(q.Urgency, s.prefillTokens+s.others.prefillTokens, s.longTokens+s.others.longTokens),
		MemoryShare: d.memoryShare, ReadRate: t.rate.tokensPerMs,
		Ejected: d.now.Before(s.ejectedUntil), Avoided: d.now.Before(s.avoidedUntil), Replaced: s.replaced,
		Version: d.versions.values[i], PauseLeft: d.pauseLeft[i],
		Evacuated: d.marks[i]&isEvacuated != 0, OtherPool: d.marks[i]&isInOtherPool != 0,
	}
	d.describeLoad(i, c)
	for position, home := range d.homePositions {
		if int(home) == i {
			c.homePosition = position + 1
		}
	}
	if len(q.Parts) > 0 {
		held := d.held(i)
		c.CachedParts, c.CachedTokens, c.ReadParts, c.UsedTokens = held.parts, held.tokens, held.readParts, held.usedTokens
	}
}

// held returns the memory that requests of all nodes take at the instance, in tokens.
func (s *instanceState) held() int { return s.heldTokens + s.others.heldTokens }

// describeLoad describes what the cost of an instance of a plain service depends on.
func (d *decision) describeLoad(i int, c *Candidate) {
	s := d.fleet.states[i]
	c.Requests, c.FailureShare = s.requests+s.others.requests, s.failureShare
	c.SameZone = d.fleet.zones[i] == d.ownZone
	c.Load = Load{}
	// Most instances of a large service have not answered this node lately; the difference of times is the most expensive part here.
	if s.load != (Load{}) && d.now.Sub(s.loadAt) < loadValidity {
		c.Load = s.load
	}
	if d.q.Uneven {
		c.Slowness = s.speed.Estimate(d.now)
	}
}
