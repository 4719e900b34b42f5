package placement

import "github.com/cespare/xxhash/v2"

// rendezvousScore orders engines for a prompt in the same way on all nodes: by rendezvous hashing of its longest
// shared part.
func rendezvousScore(part, instance string) uint64 {
	return xxhash.Sum64String(part + "\x00" + instance)
}

// MarkHomes finds the homes of the prompt: the engines to which all nodes prefer to send it.
func MarkHomes(q *Request, candidates []Candidate) {
	shared := q.shared()
	if len(shared) == 0 {
		return
	}
	document := shared[len(shared)-1].ID
	zone := homeZone(q, candidates)
	var top [homeCount]int
	found := 0
	for i := range candidates {
		if !candidates[i].isAvailableInPool() || zone != "" && candidates[i].Instance.AvailabilityZone != zone {
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

// homeZone returns the zone of the store that holds the last shared part, if the zone has engines: transfers within a
// zone take half the time of the store's link.
func homeZone(q *Request, candidates []Candidate) string {
	if len(q.Stored) == 0 {
		return ""
	}
	zone := q.Stored[len(q.Stored)-1].AvailabilityZone
	for i := range candidates {
		if candidates[i].Instance.AvailabilityZone == zone && candidates[i].isAvailableInPool() {
			return zone
		}
	}
	return ""
}
