package quarantine

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// sameCrash is the time within which nodes notice the same crash, or hear of it from each other. An instance needs longer to come back.
	sameCrash = maxNewsDelay
	// maxObservations limits the observations of one crash that are kept.
	maxObservations = 8
	// sameOccasion is the time within which crashes of several instances count as one occasion. It also leaves other
	// nodes the time to report an answer that followed the first crash.
	sameOccasion = 400 * time.Millisecond
	// minCrashes and minOccasions are the numbers of crashes without an answer, and of occasions of such crashes, from which
	// a part is unanswered. A sound prompt that is repeated after a crash is often in progress at a second one.
	minCrashes   = 3
	minOccasions = 2
	// maxCrashes limits the crashes of a part since its last answer, and its cleared ones.
	maxCrashes = 128
	// firstBlock is the length of a block after minCrashes crashes; each further one up to manyCrashes makes it blockGrowth
	// times as long.
	firstBlock  = time.Minute
	blockGrowth = 6
	// manyCrashes is the number of crashes from which a part almost certainly causes them. The block lasts manyBlock
	// then, and twice as long after each further crash, up to maxBlock.
	manyCrashes = 5
	manyBlock   = 15 * time.Minute
	maxBlock    = 12 * time.Hour
	// maxDoublings is the number of doublings from manyBlock to maxBlock.
	maxDoublings = 6
	// burst is the longest time in which all instances of a service lose power, and burstBlock the length of a block for a
	// part whose crashes all lie within it and which this node saw answered within recentAnswer before. Without it, an
	// outage of a service would block what its prompts have in common, and nobody would see it answered.
	burst        = 3 * time.Second
	burstBlock   = 5 * time.Second
	recentAnswer = 2 * time.Second
	// minSpread is the shortest time over which nodes try a part again, one after the other. A node's trial takes a
	// second or two, and its news a few tenths of a second.
	minSpread = 30 * time.Second
	// trialTimeout ends a trial that had neither an answer nor a crash, for example because its caller left.
	trialTimeout = 10 * time.Second
	// failedTrialDelay is the time from the manyCrashes-th crash after which further ones follow trials: all nodes know of the block by
	// then, and sends before it have ended. After maxFailedTrials of them within failedTrialMemory, the part is not tried.
	failedTrialDelay  = 2 * maxNewsDelay
	maxFailedTrials   = 2
	failedTrialMemory = time.Minute
	// suspicion is how long a part that is not blocked stays suspected after a crash.
	suspicion = 2 * time.Minute
)

// crash is a crash of an instance while a prompt with the part was in progress there.
type crash struct {
	instance uint32
	at       time.Time
	// observations are ids of what nodes observed, in order. News of a crash that comes back to a node may be much later than the crash.
	observations []uint32
	// cleared is set after an answer to a later prompt with the part. Other nodes are told of it until tellUntil.
	cleared   bool
	tellUntil time.Time
}

func (c crash) isSame(other crash) bool {
	return c.instance == other.instance && (c.at.Sub(other.at).Abs() <= sameCrash || lo.Some(c.observations, other.observations))
}

// learn adds what another record of the same crash says of its time and its observations, and reports whether that is new.
func (c *crash) learn(other crash) (changed bool) {
	if other.at.Before(c.at) {
		c.at, changed = other.at, true
	}
	if !lo.Every(c.observations, other.observations) {
		all := slices.Sorted(slices.Values(lo.Union(c.observations, other.observations)))
		c.observations, changed = all[:min(len(all), maxObservations)], true
	}
	return changed
}

func (c crash) isNear(other crash) bool { return c.at.Sub(other.at).Abs() <= sameOccasion }

// suspect is a part with crashes.
type suspect struct {
	// crashes are ordered by time. Cleared ones are kept, so that nodes that don't know of the answer yet don't bring them
	// back.
	crashes []crash
	// blocked is set once the part was returned as newly blocked.
	blocked bool
	// answeredBefore is set if this node had seen an answer within recentAnswer before the crashes.
	answeredBefore bool
	trialUntil     time.Time
	// changedAt is when a crash or an answer was last recorded.
	changedAt time.Time
}

// add adds a crash and reports whether it changes which crashes are known or cleared.
func (s *suspect) add(c crash, now time.Time) (changed bool) {
	i := slices.IndexFunc(s.crashes, c.isSame)
	switch {
	case i >= 0:
		known := &s.crashes[i]
		if !known.learn(c) && c.cleared == known.cleared {
			return false
		}
		if c.cleared != known.cleared {
			changed = c.cleared
			known.cleared, known.tellUntil = true, now.Add(sendPeriod)
		}
	case c.cleared:
		c.tellUntil = now.Add(sendPeriod)
		s.crashes, changed = append(s.crashes, c), true
	default:
		changed = s.addOpen(c)
	}
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	s.limitCleared()
	s.endBlock()
	return changed
}

// addOpen adds a crash that is not cleared.
func (s *suspect) addOpen(c crash) (added bool) {
	if open := s.open(); len(open) >= maxCrashes {
		newest := open[len(open)-1]
		// The newest crash tells when the block ends. One that was left out before may come again from another node,
		// with the delay of the transfer.
		if c.at.Sub(newest.at) <= sameCrash {
			return false
		}
		s.crashes = slices.DeleteFunc(s.crashes, newest.isSame)
	}
	s.crashes = append(s.crashes, c)
	return true
}

// limitCleared removes the oldest cleared crashes beyond the limit.
func (s *suspect) limitCleared() {
	excess := len(s.crashes) - len(s.open()) - maxCrashes
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool {
		excess--
		return c.cleared && excess >= 0
	})
}

// clear clears the crashes up to the time of an answer. Transfers make the times of crashes later and never earlier, so
// it clears none that followed the answer.
func (s *suspect) clear(answered, now time.Time) (changed bool) {
	for i, c := range s.crashes {
		if !c.cleared && !c.at.After(answered) {
			s.crashes[i].cleared, s.crashes[i].tellUntil, changed = true, now.Add(sendPeriod), true
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

// open returns the crashes that are not cleared.
func (s *suspect) open() []crash {
	if i := slices.IndexFunc(s.crashes, func(c crash) bool { return c.cleared }); i < 0 {
		return s.crashes
	}
	return lo.Filter(s.crashes, func(c crash, _ int) bool { return !c.cleared })
}

// last returns the time of the last crash that is not cleared, or of the last one if all are.
func (s *suspect) last() time.Time {
	crashes := s.open()
	if len(crashes) == 0 {
		crashes = s.crashes
	}
	return crashes[len(crashes)-1].at
}

// isUnanswered reports whether the part had enough crashes, on enough occasions, since the last answer.
func (s *suspect) isUnanswered() bool {
	crashes := s.open()
	return len(crashes) >= minCrashes && occasions(crashes) >= minOccasions
}

// crashedAtOnce reports whether the part had enough crashes since the last answer, but all on one occasion.
func (s *suspect) crashedAtOnce() bool { return len(s.open()) >= minCrashes && !s.isUnanswered() }

// occasions counts the occasions of some crashes, which are ordered by time.
func occasions(crashes []crash) (n int) {
	var start time.Time
	for _, c := range crashes {
		if n == 0 || c.at.Sub(start) >= sameOccasion {
			n, start = n+1, c.at
		}
	}
	return n
}

// explains reports whether each crash of another part since its last answer was at about the time of one of this part.
func (s *suspect) explains(other *suspect) bool { return len(without(other.open(), s.open())) == 0 }

// without returns the crashes of one part that were not at about the time of one of another part. Not all crashes of a part are kept, so times are compared
// and not instances.
func without(crashes, others []crash) (out []crash) {
	for _, c := range crashes {
		for len(others) > 0 && others[0].at.Before(c.at) && !others[0].isNear(c) {
			others = others[1:]
		}
		if len(others) == 0 || !others[0].isNear(c) {
			out = append(out, c)
		}
	}
	return out
}

// mayExplain reports whether this part may be the cause of the crashes of another one: of all of them, or of all but those of one occasion, which may
// have had another cause. It is not if all its own crashes are due to the other part instead.
func (s *suspect) mayExplain(other *suspect) bool {
	rest := without(other.open(), s.open())
	return len(rest) == 0 || occasions(rest) < minOccasions && !other.explains(s)
}

// hasFailedTrials reports whether the part had too many crashes lately that followed trials.
func (s *suspect) hasFailedTrials(now time.Time) bool {
	crashes := s.open()
	if len(crashes) <= manyCrashes {
		return false
	}
	from := crashes[manyCrashes-1].at.Add(failedTrialDelay)
	return lo.CountBy(crashes, func(c crash) bool { return c.at.After(from) && now.Sub(c.at) < failedTrialMemory }) >= maxFailedTrials
}

// blockTime returns the length of a block after a number of crashes.
func blockTime(crashes int) time.Duration {
	if crashes >= manyCrashes {
		return min(maxBlock, manyBlock<<min(crashes-manyCrashes, maxDoublings))
	}
	return firstBlock * time.Duration(math.Pow(blockGrowth, float64(crashes-minCrashes)))
}

// spread returns the time over which the nodes try the part again.
func spread(block time.Duration) time.Duration { return max(minSpread, block) }

// blockTime returns the length of the block.
func (s *suspect) blockTime() time.Duration {
	crashes := s.open()
	if s.answeredBefore && s.last().Sub(crashes[0].at) <= burst {
		return burstBlock
	}
	return blockTime(len(crashes))
}

// heldUntil returns when a node may try a blocked part.
func (s *suspect) heldUntil(node string, part uint64) time.Time {
	block := s.blockTime()
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
	block := s.blockTime()
	return s.last().Add(block + spread(block) + max(suspicion, block))
}
