package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rendezvousScore orders engines for a prompt in the same way on all nodes: by rendezvous hashing of its longest
// shared part.
func rendezvousScore(part, instance string) uint64 {
	return xxhash.Sum64String(part + "\x00" + instance)
}

// rendezvous computes the scores of many instances for one part.
type rendezvous struct{ prefix xxhash.Digest }

func newRendezvous(part string) *rendezvous {
	r := &rendezvous{}
	r.prefix.Reset()
	_, _ = r.prefix.WriteString(part)
	_, _ = r.prefix.WriteString("\x00")
	return r
}

// of returns the rendezvousScore of an instance.
func (r *rendezvous) of(instance string) uint64 {
	d := r.prefix
	_, _ = d.WriteString(instance)
	return d.Sum64()
}

// MarkHomes finds the homes of the prompt: the engines to which all nodes prefer to send it.
func MarkHomes(q *Request, candidates []Candidate) {
	for position, i := range selectionOf(q, candidates).homes(q) {
		candidates[i].homePosition = position + 1
	}
}

// homes returns the positions of the homes of the prompt, the first home first.
func (s *selection) homes(q *Request) []int32 {
	shared := q.shared()
	if len(shared) == 0 {
		return nil
	}
	zone := s.homeZone(q)
	score := newRendezvous(shared[len(shared)-1].ID)
	var top [homeCount]int32
	var scores [homeCount]uint64
	found := 0
	for i, m := range s.marks {
		if m&unavailable != 0 || zone >= 0 && s.fleet.zones[i] != zone {
			continue
		}
		current := score.of(s.fleet.ids[i])
		insertAt := found
		for insertAt > 0 && current > scores[insertAt-1] {
			insertAt--
		}
		if insertAt >= homeCount {
			continue
		}
		copy(top[insertAt+1:], top[insertAt:homeCount-1])
		copy(scores[insertAt+1:], scores[insertAt:homeCount-1])
		top[insertAt], scores[insertAt] = int32(i), current
		found = min(found+1, homeCount)
	}
	return top[:found]
}

// homeZone returns the number of the zone of the store that holds the last shared part, if the zone has engines: transfers within a
// zone take half the time of the store's link. Otherwise it returns -1.
func (s *selection) homeZone(q *Request) int32 {
	if len(q.Stored) == 0 {
		return -1
	}
	name := q.Stored[len(q.Stored)-1].AvailabilityZone
	zone := int32(slices.Index(s.fleet.zoneNames, name))
	if name == "" || zone < 0 {
		return -1
	}
	for i, m := range s.marks {
		if m&unavailable == 0 && s.fleet.zones[i] == zone {
			return zone
		}
	}
	return -1
}
