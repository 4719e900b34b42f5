package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

const (
	// maxSentCrashes limits the crashes in one message, which then has at most about 2.5 kB.
	maxSentCrashes = 128
	// maxSentAtEnds limits the oldest and the newest crashes that are sent of one part. They tell its occasions and the
	// end of its block.
	maxSentAtEnds = 12
	// sendPeriod is how long a part that is not blocked is sent after its last change. It covers lost datagrams and a
	// change of the relay.
	sendPeriod = 3 * time.Second
	// maxAge limits the age of a received crash.
	maxAge = 4 * maxBlock
)

// Revision returns the number of changes that this node made by itself, and of all changes. It is called before each
// report: a longer time without a call shows that the process was paused.
func (l *List) Revision(now time.Time) (own, all uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isResuming(now)
	l.revisionAt = now
	l.expire(now)
	return l.own, l.all
}

// Suspects returns the state for other nodes: unanswered parts and those that changed within sendPeriod, the most
// suspected ones first. It returns nil if there is nothing to tell.
func (l *List) Suspects(now time.Time) []*nodepb.SuspectPart {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*nodepb.SuspectPart
	crashes := 0
	for _, part := range slices.SortedFunc(maps.Keys(l.suspects), l.compare) {
		for _, encoded := range l.suspects[part].encode(part, now) {
			if crashes += len(encoded.GetInstances()); crashes > maxSentCrashes {
				return out
			}
			out = append(out, encoded)
		}
	}
	return out
}

// encode encodes what other nodes are told of a part, cleared crashes and the others separately.
func (s *suspect) encode(part uint64, now time.Time) (out []*nodepb.SuspectPart) {
	if s.isUnanswered() || now.Sub(s.changedAt) < sendPeriod {
		crashes := s.open()
		if len(crashes) > 2*maxSentAtEnds {
			crashes = slices.Concat(crashes[:maxSentAtEnds], crashes[len(crashes)-maxSentAtEnds:])
		}
		out = appendEncoded(out, &nodepb.SuspectPart{Part: part}, crashes, now)
	}
	cleared := lo.Filter(s.crashes, func(c crash, _ int) bool { return c.cleared && now.Before(c.tellUntil) })
	cleared = cleared[max(0, len(cleared)-maxSentAtEnds):]
	return appendEncoded(out, &nodepb.SuspectPart{Part: part, AnsweredMs: 1}, cleared, now)
}

func appendEncoded(out []*nodepb.SuspectPart, encoded *nodepb.SuspectPart, crashes []crash, now time.Time) []*nodepb.SuspectPart {
	if len(crashes) == 0 {
		return out
	}
	for _, c := range crashes {
		encoded.Instances = append(encoded.Instances, c.instance)
		encoded.AgesMs = append(encoded.AgesMs, encodeAge(now.Sub(c.at)))
		encoded.Observations = append(encoded.Observations, lo.FirstOrEmpty(c.observations))
	}
	return append(out, encoded)
}

func encodeAge(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), math.MaxUint32-1))
}

// Apply merges the state of another node and returns the parts that it newly blocks.
func (l *List) Apply(suspects []*nodepb.SuspectPart, now time.Time) []uint64 {
	if len(suspects) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isResuming(now) {
		return nil
	}
	for _, encoded := range suspects[:min(len(suspects), 2*maxSuspects)] {
		crashes := decode(encoded, now)
		if len(crashes) == 0 {
			continue
		}
		s := l.suspect(encoded.GetPart())
		l.merge(s, crashes, now)
		if l.applyAnswers(encoded.GetPart(), s, now) {
			s.changedAt = now
			l.changedHere()
		}
	}
	l.evict()
	return l.newlyBlocked(now)
}

// merge adds received crashes. The caller holds the lock.
func (l *List) merge(s *suspect, crashes []crash, now time.Time) {
	for _, c := range crashes {
		if s.add(c, now) {
			s.changedAt = now
			l.all++
		}
	}
}

// decode returns the crashes of a received part; nil if its lists don't match. Nodes of earlier versions send no observations.
func decode(encoded *nodepb.SuspectPart, now time.Time) []crash {
	instances, ages, answered := encoded.GetInstances(), encoded.GetAgesMs(), encoded.GetAnsweredMs()
	if len(instances) != len(ages) || len(instances) > maxCrashes {
		return nil
	}
	var out []crash
	for i, ms := range ages {
		age := time.Duration(ms) * time.Millisecond
		if age > maxAge {
			continue
		}
		c := crash{instance: instances[i], at: now.Add(-age), cleared: answered > 0 && ms >= answered-1}
		if id := lo.NthOrEmpty(encoded.GetObservations(), i); id != 0 {
			c.observations = []uint32{id}
		}
		out = append(out, c)
	}
	return out
}
