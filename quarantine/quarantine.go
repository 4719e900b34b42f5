// Package quarantine finds parts of prompts that crash the instances that answer them, and keeps such parts away from
// the instances.
//
// A crash takes along everything in progress at an instance, so each crash names several parts, most of them sound. An
// answer tells them apart: it clears all earlier crashes of the parts of its prompt. A part with three crashes and no
// answer is blocked, unless another such part accounts for all its crashes.
//
// Some parts are doubtful: those whose crashes all followed each other at once, because a rack or a zone that loses power names
// whatever was in progress there, and those that came together in all crashes, for a prompt that has only some of them. A prompt with doubtful parts is
// sent as a trial, one at a time of those at all nodes (Trials): an answer shows that its parts are sound, a crash that one of
// them is the cause.
//
// A block lasts longer with each crash. At its end the part is tried again, at one node after the other in an order that
// differs from part to part, and with one prompt at a time: an answer ends the block, a crash prolongs it.
//
// Nodes exchange crashes and which of them are cleared. A crash is identified by its part and instance and by its time, up
// to the tolerance sameCrash, or by an id of the node that observed it; merging keeps the union of the crashes. Clocks of nodes
// differ, so ages are sent, and each transfer makes a time a little later. A node therefore compares times of answers only with those of the crashes that
// it knows, and tells others which crashes are cleared and not when the answer came.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/placement"
)

const (
	// maxSuspects limits the parts with crashes.
	maxSuspects = 64
	// maxAnswers limits each of the two generations of recent answers of this node.
	maxAnswers = 4096
	// answerPeriod is the time after which the older generation of answers is dropped.
	answerPeriod = 30 * time.Second
	// pauseGap is the time without a call of Revision after which the process counts as paused, and resumePeriod how
	// long nothing is recorded after that: what was waiting in sockets has no known age.
	pauseGap     = time.Second
	resumePeriod = 500 * time.Millisecond
	// maxNewsDelay is the time in which news of a crash reaches all nodes that are in touch.
	maxNewsDelay = 3 * time.Second
	// expireInterval is the interval at which expired suspects are removed.
	expireInterval = time.Second
)

// Hash returns the key of a part id.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// Keys returns the keys of all parts but the last, which belongs to one request or session; nil if there is none.
func Keys(parts []placement.Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	return lo.Map(parts[:len(parts)-1], func(p placement.Part, _ int) uint64 { return Hash(p.ID) })
}

// Verdict describes why a prompt is not sent.
type Verdict struct {
	Part uint64
	// Crashes is the number of crashes since the last answer, at most maxCrashes.
	Crashes int
	// RetryAfter is the time until the part is tried again.
	RetryAfter time.Duration
	// Doubtful are the parts that may crash instances or only came with one that does. If they are set, no other part keeps the prompt back.
	Doubtful []uint64
	// Trials are the keys of the trials without which a prompt with doubtful parts is not sent. Parts that may be each other's cause have one in common: if
	// prompts with either were tried at the same instance, a crash would tell nothing.
	Trials []uint64
}

// List holds the suspected parts. Its methods may be called concurrently.
type List struct {
	node string

	mu       sync.Mutex
	suspects map[uint64]*suspect
	// answers and olderAnswers hold the newest answers of this node by part.
	answers, olderAnswers map[uint64]time.Time
	answersSince          time.Time
	// own counts the changes by crashes and answers seen by this node, all those received from other nodes as well.
	own, all               uint64
	revisionAt, ignoreTill time.Time
	expiredAt              time.Time
}

// New returns an empty List of a node.
func New(node string) *List {
	return &List{node: node, suspects: map[uint64]*suspect{}, answers: map[uint64]time.Time{}}
}

// RecordCrash records that an instance crashed while sends with prompts that have these parts were in progress there
// without an answer. The time may be in the past. It returns the newly blocked parts.
func (l *List) RecordCrash(instance string, parts []uint64, now time.Time) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isResuming(now) {
		return nil
	}
	observed := crash{instance: uint32(xxhash.Sum64String(instance)), at: now, observations: []uint32{l.observation(instance, now)}}
	for _, part := range lo.Uniq(parts) {
		s := l.suspect(part)
		if s.add(observed, now) {
			s.changedAt = now
			l.changedHere()
		}
		l.applyAnswers(part, s, now)
	}
	l.evict()
	return l.newlyBlocked(now)
}

// observation returns an id for a crash that this node observes.
func (l *List) observation(instance string, now time.Time) uint32 {
	return max(1, uint32(xxhash.Sum64String(l.node+" "+instance+" "+strconv.FormatInt(now.UnixNano(), 16))))
}

// RecordAnswer records that an instance answered a prompt with these parts. The time is that of the answer's first
// event, or of its end if it has no events; it may be in the past.
func (l *List) RecordAnswer(parts []uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isResuming(now) {
		return
	}
	if len(l.answers) >= maxAnswers || now.Sub(l.answersSince) > answerPeriod {
		l.answers, l.olderAnswers, l.answersSince = map[uint64]time.Time{}, l.answers, now
	}
	for _, part := range parts {
		if now.After(l.answers[part]) {
			l.answers[part] = now
		}
		if s := l.suspects[part]; s != nil && s.clear(now, now) {
			s.changedAt = now
			l.changedHere()
		}
	}
}

// Check reports whether a prompt may be sent now. The trials of the doubtful parts in tried have been granted to it. Check is called right before each send: at
// the end of a block, a call that returns true begins this node's own trial of the part, and calls return false until that has ended.
func (l *List) Check(parts []uint64, now time.Time, tried ...uint64) (Verdict, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suspects) == 0 {
		return Verdict{}, true
	}
	var ended []*suspect
	var needed Verdict
	for _, part := range parts {
		s := l.suspects[part]
		if s == nil {
			continue
		}
		switch l.standing(part, s, parts, now) {
		case sound:
			continue
		case doubtful:
			if !slices.Contains(tried, part) {
				needed.Part, needed.Crashes = part, len(s.open())
				needed.Doubtful = append(needed.Doubtful, part)
				needed.Trials = append(needed.Trials, l.trialKeys(part, s)...)
			}
			continue
		case blocked:
		}
		if wait := s.heldUntil(l.node, part).Sub(now); wait > 0 {
			return Verdict{Part: part, Crashes: len(s.open()), RetryAfter: wait}, false
		}
		ended = append(ended, s)
	}
	if len(needed.Doubtful) > 0 {
		needed.Trials = lo.Uniq(needed.Trials)
		return needed, false
	}
	for _, s := range ended {
		s.trialUntil = now.Add(trialTimeout)
	}
	return Verdict{}, true
}

// standing tells whether a prompt may be sent with one of its parts.
type standing int

const (
	sound standing = iota
	// doubtful is a part whose crashes may be due to an outage or to another part, which the prompt does not have.
	doubtful
	blocked
)

// standing returns the standing of a part of a prompt. A part whose crashes were all on one occasion is doubtful, as an outage may be their cause, unless it is so
// common that this node saw an answer right before. One with more occasions is blocked, unless another such part may be the cause: if that is likelier, this one is
// sound; if the prompt does not have the other part, this one is doubtful. The caller holds the lock.
func (l *List) standing(part uint64, s *suspect, prompt []uint64, now time.Time) standing {
	switch {
	case s.crashedAtOnce() && (!s.answeredBefore || now.Sub(s.last()) > maxNewsDelay && l.hasLikelyCause(s)):
		return doubtful
	case !s.isUnanswered():
		return sound
	}
	hasLikelier, isDoubtful := false, false
	for other, cause := range l.suspects {
		if other == part || !cause.isUnanswered() {
			continue
		}
		if l.isLikelier(other, part) && cause.explains(s) {
			if l.isClearlyLikelier(other, part, now) {
				return sound
			}
			hasLikelier = true
		}
		isDoubtful = isDoubtful || !slices.Contains(prompt, other) && cause.mayExplain(s)
	}
	switch {
	case isDoubtful && !s.hasFailedTrials(now):
		return doubtful
	case hasLikelier && !isDoubtful:
		return sound
	}
	return blocked
}

// hasLikelyCause reports whether another unanswered part explains the crashes of a part and has more than outages alone usually give it. The caller holds the lock.
func (l *List) hasLikelyCause(s *suspect) bool {
	for _, cause := range l.suspects {
		if cause != s && cause.isUnanswered() && len(cause.open()) >= manyCrashes && cause.explains(s) {
			return true
		}
	}
	return false
}

// trialKeys returns the keys of the trials that a prompt with a doubtful part needs: that of the part, and one in common with the parts that may as likely be the cause of
// its crashes. A likelier one is blocked and not tried. The caller holds the lock.
func (l *List) trialKeys(part uint64, s *suspect) []uint64 {
	first, isShared := part, false
	for other, cause := range l.suspects {
		if cause != s && cause.isUnanswered() && !l.isLikelier(other, part) && cause.mayExplain(s) {
			first, isShared = min(first, other), true
		}
	}
	if !isShared {
		return []uint64{part}
	}
	return []uint64{part, ^first}
}

// isClearlyLikelier reports whether a likelier cause leaves no doubt about another part: it crashed again without that one. Otherwise, news of the newest crash
// may have reached this node for one of the two only. A part that was answered before has maxNewsDelay to be answered again, after which it is as
// suspicious as one that never was: it may be sound no longer. The caller holds the lock.
func (l *List) isClearlyLikelier(part, other uint64, now time.Time) bool {
	cause, s := l.suspects[part], l.suspects[other]
	isNew, wasAnswered := now.Sub(cause.last()) <= maxNewsDelay, !l.lastAnswer(other).IsZero()
	return isNew == wasAnswered || occasions(without(cause.open(), s.crashes)) >= minOccasions
}

// isLikelier reports whether one unanswered part is more likely than another one to be the cause of crashes that both
// had: it has nearly as many crashes, and this node saw it answered less recently; or it has more, and neither was
// answered. So the part that all prompts of a route begin with is not blocked for a deadly one that came with it, nor the
// deadly one for a document that came with it a few times. The caller holds the lock.
func (l *List) isLikelier(part, other uint64) bool {
	crashes, otherCrashes := len(l.suspects[part].open()), len(l.suspects[other].open())
	answer, otherAnswer := l.lastAnswer(part), l.lastAnswer(other)
	if answer.IsZero() && otherAnswer.IsZero() {
		return crashes > otherCrashes
	}
	return answer.Before(otherAnswer) && 4*crashes >= 3*otherCrashes
}

// newlyBlocked returns the parts that are blocked or doubtful and were neither before. The caller holds the lock.
func (l *List) newlyBlocked(now time.Time) (out []uint64) {
	for part, s := range l.suspects {
		if !s.blocked && l.standing(part, s, nil, now) != sound {
			s.blocked = true
			out = append(out, part)
		}
	}
	return out
}

// isResuming reports whether the process has been paused until a moment ago. The caller holds the lock.
func (l *List) isResuming(now time.Time) bool {
	if !l.revisionAt.IsZero() && now.Sub(l.revisionAt) > pauseGap {
		l.revisionAt, l.ignoreTill = now, now.Add(resumePeriod)
	}
	return now.Before(l.ignoreTill)
}

func (l *List) changedHere() {
	l.own++
	l.all++
}

// suspect returns the entry of a part. The caller holds the lock.
func (l *List) suspect(part uint64) *suspect {
	s := l.suspects[part]
	if s == nil {
		s = &suspect{}
		l.suspects[part] = s
	}
	return s
}

// lastAnswer returns when this node last saw an answer to a prompt with a part. The caller holds the lock.
func (l *List) lastAnswer(part uint64) time.Time {
	if at, found := l.answers[part]; found {
		return at
	}
	return l.olderAnswers[part]
}

// applyAnswers applies this node's answers to new crashes of a part. The caller holds the lock.
func (l *List) applyAnswers(part uint64, s *suspect, now time.Time) (changed bool) {
	at := l.lastAnswer(part)
	changed = s.clear(at, now)
	if open := s.open(); len(open) > 0 && open[0].at.Sub(at) <= recentAnswer {
		s.answeredBefore = true
	}
	return changed
}

// evict removes suspects beyond the limit: those with the fewest crashes since the last answer first, and of these the
// one with the oldest crash. The caller holds the lock.
func (l *List) evict() {
	excess := len(l.suspects) - maxSuspects
	if excess <= 0 {
		return
	}
	for _, part := range slices.SortedFunc(maps.Keys(l.suspects), func(a, b uint64) int { return -l.compare(a, b) })[:excess] {
		delete(l.suspects, part)
	}
}

// compare orders parts by crashes since the last answer, most first, and by the time of the last crash, newest first.
// The caller holds the lock.
func (l *List) compare(a, b uint64) int {
	first, second := l.suspects[a], l.suspects[b]
	return cmp.Or(cmp.Compare(len(second.open()), len(first.open())), second.last().Compare(first.last()), cmp.Compare(a, b))
}

// expire removes the suspects whose crashes no longer count. The caller holds the lock.
func (l *List) expire(now time.Time) {
	if now.Sub(l.expiredAt) < expireInterval {
		return
	}
	l.expiredAt = now
	maps.DeleteFunc(l.suspects, func(_ uint64, s *suspect) bool { return now.After(s.expiresAt()) })
}
