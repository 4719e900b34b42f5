package placement

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// marks are the properties of an instance that decide whether it may get a request, and whether the request considers it.
type marks uint16

const (
	isDraining marks = 1 << iota
	isPaused
	isExcluded
	// isReplaced is set if another incarnation runs at the address.
	isReplaced
	// isOutdated is set for weights that are too old to be used.
	isOutdated
	isEvacuated
	isEjected
	isUpdating
	isAvoided
	// isInOtherPool is set if the engine belongs to the pool for prompts of the other length.
	isInOtherPool
	// isRelated is set if the engine is a home of the prompt or holds all its shared parts.
	isRelated
)

// required are the marks of instances that never get a request.
const required = isDraining | isPaused | isExcluded | isReplaced | isOutdated | isEvacuated

// preferred are the marks of instances that get no request, from the last to the first as long as that leaves an instance.
var preferred = []marks{isEjected, isUpdating, isAvoided}

// unavailable are the marks of engines that are no homes of a prompt.
const unavailable = isInOtherPool | isEvacuated | isEjected | isDraining

// selection selects the instances that a request considers. All slices of marks and positions are in the order of the list of instances.
type selection struct {
	fleet *fleet
	marks []marks
	// positions are those of the instances considered.
	positions []int32
}

// set sets a mark if a condition holds.
func (m *marks) set(mark marks, condition bool) {
	if condition {
		*m |= mark
	}
}

// selectionOf returns the selection from candidates that are described in full.
func selectionOf(q *Request, candidates []Candidate) *selection {
	list := make([]*upstreams.Instance, len(candidates))
	all := make([]marks, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		list[i] = c.Instance
		m := &all[i]
		m.set(isDraining, c.Instance.Draining)
		m.set(isPaused, c.PauseLeft != 0)
		m.set(isExcluded, q.Exclude[c.Instance.ID])
		m.set(isReplaced, c.Replaced)
		m.set(isOutdated, c.Version < q.RequiredVersion)
		m.set(isEvacuated, c.Evacuated)
		m.set(isEjected, c.Ejected)
		m.set(isUpdating, c.Instance.Updating)
		m.set(isAvoided, c.Avoided)
		m.set(isInOtherPool, c.OtherPool)
		m.set(isRelated, c.homePosition > 0 || len(q.Parts) > 1 && c.CachedParts >= len(q.shared()))
	}
	return &selection{fleet: newFleet(list), marks: all}
}

// consider selects the instances that a request considers; none if no instance may get it.
func (s *selection) consider(q *Request) []int32 {
	unwanted := required
	for _, mark := range preferred {
		unwanted |= mark
	}
	for kept := len(preferred); ; kept-- {
		if allowed, own := s.count(unwanted); allowed > 0 {
			return s.sample(q, unwanted, allowed, own)
		}
		if kept == 0 {
			return nil
		}
		unwanted &^= preferred[kept-1]
	}
}

// count returns the number of instances without unwanted marks, and how many of them belong to the request's own pool.
func (s *selection) count(unwanted marks) (allowed, own int) {
	for _, m := range s.marks {
		if m&unwanted == 0 {
			allowed++
			if m&isInOtherPool == 0 {
				own++
			}
		}
	}
	return allowed, own
}

// all returns the positions of all instances without unwanted marks.
func (s *selection) all(unwanted marks) []int32 {
	s.positions = s.positions[:0]
	for i, m := range s.marks {
		if m&unwanted == 0 {
			s.positions = append(s.positions, int32(i))
		}
	}
	return s.positions
}

const (
	// sampleSize is the mean number of engines that one request considers, besides those that hold its prompt.
	sampleSize = 8
	// otherPoolSample is the mean number of engines of the other pool that a request considers.
	otherPoolSample = 3
)

// sample returns a random sample of the instances, with the engines that hold the prompt or are its homes. Nodes learn of each
// other's requests up to 0.15 s later; if all considered all engines, they would send all requests of that time to the one that
// looks idle.
func (s *selection) sample(q *Request, unwanted marks, allowed, own int) []int32 {
	if q.CacheTokens == 0 && q.Uneven {
		return s.samplePlain(q, unwanted, allowed)
	}
	if q.CacheTokens == 0 || allowed <= sampleSize {
		return s.all(unwanted)
	}
	ownLimit := sampleSize / float64(max(1, own)) * math.MaxUint64
	otherLimit := otherPoolSample / float64(allowed-own) * math.MaxUint64
	score := newRendezvous(q.Seed)
	s.positions = s.positions[:0]
	for i, m := range s.marks {
		if m&unwanted != 0 {
			continue
		}
		limit := ownLimit
		if m&isInOtherPool != 0 {
			limit = otherLimit
		}
		if m&isRelated != 0 || float64(score.of(s.fleet.ids[i])) < limit {
			s.positions = append(s.positions, int32(i))
		}
	}
	if len(s.positions) == 0 {
		return s.all(unwanted)
	}
	return s.positions
}

// minPlainSample is the smallest sample of the instances of a plain service.
const minPlainSample = 2

// samplePlain returns a random sample of the instances of a plain service, in random order. All nodes have almost the same estimates:
// without a sample they would send all requests of the time until the next reports to the fastest instance.
func (s *selection) samplePlain(q *Request, unwanted marks, allowed int) []int32 {
	size := max(minPlainSample, min(sampleSize, allowed/2))
	if allowed < size {
		return s.all(unwanted)
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(q.Seed), 0))
	var taken [sampleSize]int32
	for n := 0; n < size; {
		if i := int32(random.IntN(allowed)); !slices.Contains(taken[:n], i) {
			taken[n] = i
			n++
		}
	}
	if allowed == len(s.marks) {
		s.positions = append(s.positions[:0], taken[:size]...)
		return s.positions
	}
	all := s.all(unwanted)
	for n := range size {
		taken[n] = all[taken[n]]
	}
	return append(all[:0], taken[:size]...)
}

// cheapest returns which of the instances considered has the lowest cost, the first of equal ones. heldTokens returns the HeldTokens of one of
// them, and candidate its description.
func cheapest(q *Request, count int, heldTokens func(i int) int, candidate func(i int) *Candidate) int {
	price := 0.0
	if q.CacheTokens > 0 {
		held := 0
		for i := range count {
			held += heldTokens(i)
		}
		price = memoryPrice(q, held, count)
	}
	best, bestCost := -1, 0.0
	for i := range count {
		cost, c := 0.0, candidate(i)
		if q.CacheTokens > 0 {
			cost = engineCost(q, c) + price*float64(q.newTokens(c))
		} else {
			cost = serviceCost(q, c)
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
