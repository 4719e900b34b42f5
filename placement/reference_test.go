package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/serving/prefillpool"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

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
	return c.Version >= q.RequiredVersion
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
