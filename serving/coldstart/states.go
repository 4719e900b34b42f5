package coldstart

import (
	"time"

	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Need is which requests to an instance need a permit.
type Need int

// Needs, from the lowest to the highest.
const (
	// NoPermit is the need at a warm instance.
	NoPermit Need = iota
	// NewConnections need permits at an instance that may have restarted: the process behind a connection that was opened while the
	// instance was warm has not.
	NewConnections
	// AllConnections need permits at an instance that is known to be cold.
	AllConnections
)

// Reason is why an instance counts as cold.
type Reason string

// Reasons.
const (
	Warm Reason = ""
	// Listed: the instance list says so.
	Listed Reason = "listed"
	// ZoneReturned: the evacuation of the zone ended lately, or has not ended.
	ZoneReturned Reason = "zone_returned"
	// MayHaveRestarted: this node saw a sign of a restart.
	MayHaveRestarted Reason = "may_have_restarted"
	// Reported: another node saw a sign of a restart.
	Reported Reason = "reported"
	// Suspended: this node was suspended, and may have missed the return of the zone.
	Suspended Reason = "suspended"
	// Unknown: the list has not shown the instance as warm since this node started, or never, and this node has not sent anything to it.
	Unknown Reason = "unknown"
)

// List is what a node knows of the instance list.
type List struct {
	// ContentAt is a time at which the content of the list was still current: the list is older than its read, and the read older than
	// the word of the leader.
	ContentAt time.Time
	// Suspended is set if the node was suspended and has not heard from the leader since: an evacuation may have begun and ended meanwhile.
	Suspended bool
}

// Zone is what a node knows of the evacuation of a zone.
type Zone struct {
	Evacuated bool
	// ReturnedAt is when this node learned that the evacuation ended, zero if there was none.
	ReturnedAt time.Time
	// LearnedAt is when this node received its first list of evacuations, zero if no zone had ever been evacuated then. What it does not know
	// of are evacuations that ended before.
	LearnedAt time.Time
	// ChangeAge is how long before LearnedAt an evacuation last began or ended, by the clocks of two VMs; 0 if unknown.
	ChangeAge time.Duration
}

// clockTolerance is the difference between the clocks of two VMs up to which ChangeAge is relied on.
const clockTolerance = 2 * time.Second

// mayHaveReturned reports whether the evacuation of the zone may have ended shortly before this node learned of evacuations. What this node sends
// meanwhile does not tell: an instance that accepts few requests answers them as a warm one does.
func (z Zone) mayHaveReturned(instance *upstreams.Instance, limit trafficset.ColdLimit, list List, now time.Time) bool {
	return !z.LearnedAt.IsZero() && z.ChangeAge < limit.Duration+clockTolerance && now.Sub(z.LearnedAt) < limit.Duration && !list.ShowsWarmSince(instance, z.LearnedAt)
}

// state is what a node knows of one incarnation beside the list.
type state struct {
	limit trafficset.ColdLimit
	// signAt is the last sign of a restart that this node saw, reachedAt when the instance was reached since.
	signAt, reachedAt time.Time
	// heardAt is the last sign that other nodes reported, heardUntil until when the instance counts as cold because of it. byZone is set if
	// a node of the own zone reported it, which the other zones do not know.
	heardAt, heardUntil time.Time
	byZone              bool
	// sentAt is when this node first sent a request to the incarnation.
	sentAt time.Time
	// missingSince is since when the incarnation is not listed, zero if it is.
	missingSince time.Time
}

// States holds what a node knows of instances of services with a cold limit, by the hashes of their keys.
type States struct{ byHash map[uint32]*state }

// maxStates bounds the memory; the largest planned deployment has 2,600 instances.
const maxStates = 16_384

func (s *States) of(hash uint32) *state {
	if st := s.byHash[hash]; st != nil {
		return st
	}
	if s.byHash == nil {
		s.byHash = map[uint32]*state{}
	}
	if len(s.byHash) >= maxStates {
		return &state{}
	}
	st := &state{}
	s.byHash[hash] = st
	return st
}

// Sign records that a connection to an instance was refused, reset or timed out, or that a kept one broke. It reports whether the instance
// may have restarted since the last sign.
func (s *States) Sign(hash uint32, limit trafficset.ColdLimit, now time.Time) (began bool) {
	st := s.of(hash)
	began = st.ownUntil(now).IsZero()
	st.limit, st.signAt, st.reachedAt = limit, now, time.Time{}
	return began
}

// Reached records that a connection to an instance was opened.
func (s *States) Reached(hash uint32, now time.Time) {
	if st := s.byHash[hash]; st != nil && !st.signAt.IsZero() && st.reachedAt.IsZero() {
		st.reachedAt = now
	}
}

// Sent records that a request is sent to an instance.
func (s *States) Sent(hash uint32, now time.Time) {
	if st := s.of(hash); st.sentAt.IsZero() {
		st.sentAt = now
	}
}

// Heard records that another node saw a sign of a restart at a time, and takes the instance for cold until a time. zone is set for a node of
// the own zone. It reports whether the news are new to this node.
func (s *States) Heard(hash uint32, at, until time.Time, zone bool, now time.Time) (began bool) {
	st := s.of(hash)
	began = !st.heardUntil.After(now) && until.After(now)
	st.heardAt, st.heardUntil = later(st.heardAt, at), later(st.heardUntil, until)
	st.byZone = zone || st.byZone && !began
	return began
}

// ownUntil returns until when the instance is cold after the sign that this node saw, zero if it is not.
func (st *state) ownUntil(now time.Time) time.Time {
	switch {
	case st.signAt.IsZero():
		return time.Time{}
	case st.reachedAt.IsZero():
		return now.Add(st.limit.Duration)
	}
	if until := st.reachedAt.Add(st.limit.Duration); until.After(now) {
		return until
	}
	return time.Time{}
}

// Need returns which requests to an instance need a permit, and why.
func (s *States) Need(instance *upstreams.Instance, limit trafficset.ColdLimit, list List, zone Zone, now time.Time) (Need, Reason) {
	if !limit.Applies() {
		return NoPermit, Warm
	}
	if now.Before(instance.ColdUntil) {
		return AllConnections, Listed
	}
	if zone.Evacuated || !zone.ReturnedAt.IsZero() && now.Sub(zone.ReturnedAt) < limit.Duration {
		return AllConnections, ZoneReturned
	}
	if list.Suspended {
		return AllConnections, Suspended
	}
	// The list shows an instance as warm from the end of the cold time on that it last gave.
	shownWarm := !instance.ColdUntil.After(list.ContentAt)
	st := s.byHash[instance.Key().Hash()]
	if st != nil {
		st.forget(instance, list)
		if until := st.ownUntil(now); !until.IsZero() {
			return NewConnections, MayHaveRestarted
		}
		if now.Before(st.heardUntil) {
			return NewConnections, Reported
		}
	}
	if zone.mayHaveReturned(instance, limit, list, now) || !shownWarm && (st == nil || st.sentAt.IsZero()) {
		return NewConnections, Unknown
	}
	return NoPermit, Warm
}

// forget drops signs that are older than a list that shows the instance as warm.
func (st *state) forget(instance *upstreams.Instance, list List) {
	if list.ShowsWarmSince(instance, st.signAt) {
		st.signAt, st.reachedAt = time.Time{}, time.Time{}
	}
	if list.ShowsWarmSince(instance, st.heardAt) {
		st.heardUntil = time.Time{}
	}
}

// Forget drops what is known of restarts of an instance that are older than a list that shows it as warm.
func (s *States) Forget(instance *upstreams.Instance, list List) {
	if st := s.byHash[instance.Key().Hash()]; st != nil {
		st.forget(instance, list)
	}
}

// ShowsWarmSince reports whether the content of the list is newer than a time and shows the instance as warm.
func (l List) ShowsWarmSince(instance *upstreams.Instance, at time.Time) bool {
	return l.ContentAt.After(at) && !instance.ColdUntil.After(l.ContentAt)
}

// News is an instance that may have restarted, for other nodes.
type News struct {
	Hash      uint32
	Age, Left time.Duration
}

// News returns the instances that may have restarted as this node saw, and with zone set as the nodes of its zone saw, at most limit.
func (s *States) News(zone bool, limit int, now time.Time) []News {
	var out []News
	for hash, st := range s.byHash {
		if len(out) == limit {
			break
		}
		at, until := st.signAt, st.ownUntil(now)
		if zone && st.byZone && st.heardUntil.After(later(now, until)) {
			at, until = st.heardAt, st.heardUntil
		}
		if until.After(now) {
			out = append(out, News{Hash: hash, Age: now.Sub(at), Left: until.Sub(now)})
		}
	}
	return out
}

// missingMemory is how long the state of an instance is kept that is not listed: a list may be empty or miss an instance once.
const missingMemory = time.Minute

// Retain drops what is known of instances that have not been listed for missingMemory.
func (s *States) Retain(listed func(hash uint32) bool, now time.Time) {
	for hash, st := range s.byHash {
		switch {
		case listed(hash):
			st.missingSince = time.Time{}
		case st.missingSince.IsZero():
			st.missingSince = now
		case now.Sub(st.missingSince) > missingMemory:
			delete(s.byHash, hash)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
