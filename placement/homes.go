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
	key := rankingKey{score.prefix.Sum64(), zone}
	rank := len(s.fleet.ids) >= minRankedFleet
	if rank {
		if known, found := s.fleet.rankings.find(key); found && known.isOf(score, s.fleet.ids) {
			if homes, complete := s.availableOf(known.positions); complete {
				return homes
			}
			// Too few of the first engines are available, for example because the others are in the other pool. The ranking stays.
			rank = false
		}
	}
	all, available := topScores{size: rankingSize}, topScores{size: homeCount}
	for i, m := range s.marks {
		if zone >= 0 && s.fleet.zones[i] != zone || !rank && m&unavailable != 0 {
			continue
		}
		current := score.of(s.fleet.ids[i])
		if m&unavailable == 0 {
			available.add(int32(i), current)
		}
		if rank {
			all.add(int32(i), current)
		}
	}
	if rank {
		s.fleet.rankings.add(key, ranking{slices.Clone(all.positions()), all.scores[0]})
	}
	return slices.Clone(available.positions())
}

// availableOf returns the first engines of a ranking that can be homes, and whether these are the homes: a ranking that is full leaves out
// engines.
func (s *selection) availableOf(ranked []int32) (homes []int32, complete bool) {
	for _, i := range ranked {
		if s.marks[i]&unavailable != 0 {
			continue
		}
		if homes = append(homes, i); len(homes) == homeCount {
			return homes, true
		}
	}
	return homes, len(ranked) < rankingSize
}

const (
	// rankingSize is the number of engines in a ranking. Most rankings have two that can be homes.
	rankingSize = 16
	// minRankedFleet is the number of instances from which rankings are kept: for fewer ones the scores cost less.
	minRankedFleet = 64
	// maxRankings is the number of rankings from which the older ones are dropped.
	maxRankings = 1024
)

// rankingKey identifies the order of the engines of a zone for a part of a prompt. The zone is -1 for all engines.
type rankingKey struct {
	// part is the hash of the part: callers choose parts of up to the size of a request header.
	part uint64
	zone int32
}

// ranking holds the first engines in the order for a part, whether they can be homes at the time or not.
type ranking struct {
	positions []int32
	// firstScore is the score of the first engine.
	firstScore uint64
}

// isOf reports whether the ranking is that of a part. The score of the first engine is a second hash of 64 bits that tells parts with the same
// key apart; where the hash has the same internal state after two parts, all their scores are the same.
func (r *ranking) isOf(score *rendezvous, ids []string) bool {
	return len(r.positions) == 0 || score.of(ids[r.positions[0]]) == r.firstScore
}

// rankings holds the ranking for each part. The map older holds those of the time before recent was begun.
type rankings struct{ recent, older map[rankingKey]ranking }

func (r *rankings) find(key rankingKey) (ranking, bool) {
	if known, found := r.recent[key]; found {
		return known, true
	}
	known, found := r.older[key]
	if found {
		r.add(key, known)
	}
	return known, found
}

func (r *rankings) add(key rankingKey, added ranking) {
	if r.recent == nil || len(r.recent) >= maxRankings {
		r.older, r.recent = r.recent, map[rankingKey]ranking{}
	}
	r.recent[key] = added
}

// topScores holds the positions with the highest scores, the first position first among equal ones.
type topScores struct {
	size, count int
	order       [rankingSize]int32
	scores      [rankingSize]uint64
}

// add adds a position that is higher than those before.
func (t *topScores) add(position int32, score uint64) {
	insertAt := t.count
	for insertAt > 0 && score > t.scores[insertAt-1] {
		insertAt--
	}
	if insertAt >= t.size {
		return
	}
	t.count = min(t.count+1, t.size)
	copy(t.order[insertAt+1:t.count], t.order[insertAt:])
	copy(t.scores[insertAt+1:t.count], t.scores[insertAt:])
	t.order[insertAt], t.scores[insertAt] = position, score
}

func (t *topScores) positions() []int32 { return t.order[:t.count] }

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
