package controlclient

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// minReconnectDelay and maxReconnectDelay bound the delay between sessions, so that many processes do not overload the
	// remaining members.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = time.Second
	// stableSessionTime is the length of a session after which the delay starts at its minimum again. Sessions of at least
	// maxReconnectDelay cause no more reconnects than the longest delay does.
	stableSessionTime = maxReconnectDelay
)

func newReconnectDelay() *backoff.ExponentialBackOff {
	delay := &backoff.ExponentialBackOff{
		InitialInterval: minReconnectDelay, MaxInterval: maxReconnectDelay, Multiplier: 2, RandomizationFactor: 0.5,
	}
	delay.Reset()
	return delay
}

// reconnects decides which member is tried next, and when. The delay after sessions that members ended grows, because they
// may be overloaded. A member that cannot be reached has a delay of its own: while several are gone, a common one would
// keep the process from the members that remain.
type reconnects struct {
	delay       *backoff.ExponentialBackOff
	unreachable map[string]*unreachableMember
	// tried holds the members tried since beginPass, so that each one gets its turn.
	tried map[string]bool
	// refreshAt is when the members may be asked for the members again. The delay grows while none responds: passes begin
	// whenever the delay of any member ends, and each refresh asks all of them.
	refreshAt    time.Time
	refreshDelay *backoff.ExponentialBackOff
}

// unreachableMember is a member that sent nothing in its last session. It is not tried before the time until.
type unreachableMember struct {
	delay *backoff.ExponentialBackOff
	until time.Time
}

func newReconnects() *reconnects {
	return &reconnects{delay: newReconnectDelay(), unreachable: map[string]*unreachableMember{}, tried: map[string]bool{}, refreshDelay: newReconnectDelay()}
}

// refreshed records a refresh of the members, and whether any member responded.
func (r *reconnects) refreshed(responded bool, now time.Time) {
	if responded {
		r.refreshDelay.Reset()
		return
	}
	r.refreshAt = now.Add(r.refreshDelay.NextBackOff())
}

// beginPass makes all members eligible again, except for those that are known to be silent.
func (r *reconnects) beginPass(silent []string) {
	clear(r.tried)
	for _, address := range silent {
		r.tried[address] = true
	}
}

// next returns the first member that is eligible. If there is none, it returns the time until the next pass may begin.
func (r *reconnects) next(order []string, now time.Time) (address string, wait time.Duration) {
	wait = maxReconnectDelay
	for _, address := range order {
		left := r.delayLeft(address, now)
		if left <= 0 && !r.tried[address] {
			r.tried[address] = true
			return address, 0
		}
		wait = min(wait, left)
	}
	return "", max(0, wait)
}

// delayLeft returns the time for which a member that could not be reached is not tried.
func (r *reconnects) delayLeft(address string, now time.Time) time.Duration {
	if member := r.unreachable[address]; member != nil {
		return member.until.Sub(now)
	}
	return 0
}

// ended records the end of a session and returns the delay until the next one. answered is whether the member sent anything.
func (r *reconnects) ended(address string, lasted time.Duration, answered bool, now time.Time) time.Duration {
	if answered {
		delete(r.unreachable, address)
		if lasted > stableSessionTime {
			r.delay.Reset()
		}
		return r.delay.NextBackOff()
	}
	member := r.unreachable[address]
	if member == nil {
		member = &unreachableMember{delay: newReconnectDelay()}
		r.unreachable[address] = member
	}
	member.until = now.Add(member.delay.NextBackOff())
	return newReconnectDelay().NextBackOff()
}
