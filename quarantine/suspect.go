package quarantine

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sameCrash is the time within which nodes notice the same crash. An instance needs longer to come back.
	sameCrash = 2 * time.Second
	// sameOccasion is the time within which crashes of several instances count as one occasion. It also leaves other
	// nodes the time to report an answer that followed the first crash.
	sameOccasion = 400 * time.Millisecond
	// minCrashes and minOccasions are the numbers of crashes without an answer, and of occasions of such crashes, from which
	// a part is unanswered. A sound prompt that is repeated after a crash is often in progress at a second one.
	minCrashes   = 3
	minOccasions = 2
	// firstBlock is the length of a block after minCrashes crashes; each further one up to manyCrashes makes it blockGrowth
	// times as long.
	firstBlock  = time.Minute
	blockGrowth = 6
	// manyCrashes is the number of crashes from which a part almost certainly causes them. The block lasts manyBlock
	// then, and twice as long after each further crash, up to maxBlock.
	manyCrashes = 5
	manyBlock   = 15 * time.Minute
	maxBlock    = 12 * time.Hour
	// minSpread is the shortest time over which nodes try a part again, one after the other. A node's trial takes a
	// second or two, and its news a few tenths of a second.
	minSpread = 30 * time.Second
	// trialTimeout ends a trial that had neither an answer nor a crash, for example because its caller left.
	trialTimeout = 10 * time.Second
	// suspicion is how long a part that is not blocked stays suspected after a crash.
	suspicion = 2 * time.Minute
)

// crash is a crash of an instance while a prompt with the part was in progress there.
type crash struct {
	instance uint32
	at       time.Time
	// cleared is set after an answer to a later prompt with the part.
	cleared bool
}

func (c crash) isSame(other crash) bool {
	return c.instance == other.instance && c.at.Sub(other.at).Abs() <= sameCrash
}

// suspect is a part with crashes.
type suspect struct {
	// crashes are ordered by time; those before a cleared one are cleared as well.
	crashes []crash
	// blocked is set once the part was returned as newly blocked.
	blocked    bool
	trialUntil time.Time
	// changedAt is when a crash or an answer was last recorded, or found to be unknown to another node.
	changedAt time.Time
}

// add adds a crash and reports whether it changes which crashes are known or cleared.
func (s *suspect) add(c crash) bool {
	changed := false
	i := slices.IndexFunc(s.crashes, c.isSame)
	switch {
	case i >= 0:
		known := &s.crashes[i]
		changed = c.cleared && !known.cleared
		known.cleared = known.cleared || c.cleared
		if c.at.Before(known.at) {
			known.at = c.at
		}
	case len(s.crashes) >= maxCrashes && !c.at.After(s.crashes[0].at):
		return false
	default:
		s.crashes = append(s.crashes, c)
		changed = true
	}
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	s.crashes = s.crashes[max(0, len(s.crashes)-maxCrashes):]
	s.clear(s.newestCleared())
	return changed
}

// newestCleared returns the time of the newest cleared crash, or the zero time.
func (s *suspect) newestCleared() (at time.Time) {
	for _, c := range s.crashes {
		if c.cleared {
			at = c.at
		}
	}
	return at
}

// clear clears the crashes up to the time of an answer.
func (s *suspect) clear(answered time.Time) (changed bool) {
	for i, c := range s.crashes {
		if !c.cleared && !c.at.After(answered) {
			s.crashes[i].cleared, changed = true, true
		}
	}
	s.endBlock()
	return changed
}

// endBlock ends the block of a part after an answer.
func (s *suspect) endBlock() {
	if !s.isUnanswered() {
		s.blocked, s.trialUntil = false, time.Time{}
	}
}

// open returns the crashes since the last answer.
func (s *suspect) open() []crash {
	i := slices.IndexFunc(s.crashes, func(c crash) bool { return !c.cleared })
	if i < 0 {
		return nil
	}
	return s.crashes[i:]
}

func (s *suspect) last() time.Time { return s.crashes[len(s.crashes)-1].at }

// isUnanswered reports whether the part had enough crashes, on enough occasions, since the last answer.
func (s *suspect) isUnanswered() bool {
	crashes := s.open()
	occasions, start := 0, time.Time{}
	for _, c := range crashes {
		if occasions == 0 || c.at.Sub(start) >= sameOccasion {
			occasions, start = occasions+1, c.at
		}
	}
	return len(crashes) >= minCrashes && occasions >= minOccasions
}

// explains reports whether every crash of another part since its last answer is also one of this part.
func (s *suspect) explains(other *suspect) bool {
	crashes := s.open()
	return !slices.ContainsFunc(other.open(), func(c crash) bool {
		return !slices.ContainsFunc(crashes, c.isSame)
	})
}

// blockTime returns the length of a block after a number of crashes.
func blockTime(crashes int) time.Duration {
	if crashes >= manyCrashes {
		return min(maxBlock, manyBlock<<(crashes-manyCrashes))
	}
	return firstBlock * time.Duration(math.Pow(blockGrowth, float64(crashes-minCrashes)))
}

// spread returns the time over which the nodes try the part again.
func spread(block time.Duration) time.Duration { return max(minSpread, block) }

// heldUntil returns when a node may try a blocked part.
func (s *suspect) heldUntil(node string, part uint64) time.Time {
	block := blockTime(len(s.open()))
	rank := float64(xxhash.Sum64String(node+" "+strconv.FormatUint(part, 16))) / (1 << 64)
	at := s.last().Add(block + time.Duration(rank*float64(spread(block))))
	if s.trialUntil.After(at) {
		return s.trialUntil
	}
	return at
}

// expiresAt returns when the crashes no longer count. A part that nobody asks for while it may be tried again stays
// suspected for another suspicion.
func (s *suspect) expiresAt() time.Time {
	if !s.isUnanswered() {
		return s.last().Add(suspicion)
	}
	block := blockTime(len(s.open()))
	return s.last().Add(block + spread(block) + max(suspicion, block))
}
