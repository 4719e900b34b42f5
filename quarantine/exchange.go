package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

const (
	// maxSentCrashes limits the crashes in one message, which then has at most about 2 kB.
	maxSentCrashes = 128
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

// Suspects returns the state for other nodes: unanswered parts and those that changed within sendPeriod, the most suspected
// ones first. It returns nil if there is nothing to tell.
func (l *List) Suspects(now time.Time) []*nodepb.SuspectPart {
	l.mu.Lock()
	defer l.mu.Unlock()
	var parts []uint64
	for part, s := range l.suspects {
		if s.isUnanswered() || now.Sub(s.changedAt) < sendPeriod {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, l.compare)
	var out []*nodepb.SuspectPart
	crashes := 0
	for _, part := range parts {
		encoded := l.suspects[part].encode(part, now)
		if crashes += len(encoded.GetInstances()); crashes > maxSentCrashes {
			break
		}
		out = append(out, encoded)
	}
	return out
}

// encode encodes the crashes since the last answer and the newest cleared one.
func (s *suspect) encode(part uint64, now time.Time) *nodepb.SuspectPart {
	crashes := s.open()
	out := &nodepb.SuspectPart{Part: part}
	if cleared := len(s.crashes) - len(crashes); cleared > 0 {
		crashes = s.crashes[cleared-1:]
		out.AnsweredMs = encodeAge(now.Sub(crashes[0].at)) + 1
	}
	for _, c := range crashes {
		out.Instances = append(out.Instances, c.instance)
		out.AgesMs = append(out.AgesMs, encodeAge(now.Sub(c.at)))
	}
	return out
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
	for _, encoded := range suspects[:min(len(suspects), maxSuspects)] {
		crashes := decode(encoded, now)
		if len(crashes) == 0 {
			continue
		}
		s := l.suspect(encoded.GetPart())
		l.merge(s, crashes, now)
		if s.clear(l.lastAnswer(encoded.GetPart())) {
			s.changedAt = now
			l.changedHere()
		}
	}
	l.evict()
	return l.newlyBlocked()
}

// merge adds received crashes. The caller holds the lock.
func (l *List) merge(s *suspect, crashes []crash, now time.Time) {
	for _, c := range crashes {
		if s.add(c) {
			s.changedAt = now
			l.all++
		}
	}
	// A node that does not know of an answer, because it was paused or cut off, is told of it.
	if lo.CountBy(crashes, func(c crash) bool { return !c.cleared }) > len(s.open()) {
		s.changedAt = now
	}
}

// decode returns the crashes of a received part; nil if its lists don't match.
func decode(encoded *nodepb.SuspectPart, now time.Time) []crash {
	instances, ages, answered := encoded.GetInstances(), encoded.GetAgesMs(), encoded.GetAnsweredMs()
	if len(instances) != len(ages) || len(instances) > 2*maxCrashes {
		return nil
	}
	var out []crash
	for i, ms := range ages {
		if age := time.Duration(ms) * time.Millisecond; age <= maxAge {
			out = append(out, crash{instance: instances[i], at: now.Add(-age), cleared: answered > 0 && ms >= answered-1})
		}
	}
	return out
}
