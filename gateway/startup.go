package gateway

import (
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

const (
	// startupPeriod is the time after the start of the process in which requests wait for the published set: a restarted
	// core elects a leader within it. Later the core cannot be reached, and waiting would only delay the refusal.
	startupPeriod = 2 * time.Second
	// maxStartupWait and startupWaitShare limit the wait, the latter as a share of the time that the caller waits: after a
	// longer one, a refusal leaves too little time for another node.
	maxStartupWait   = 400 * time.Millisecond
	startupWaitShare = 0.25
	// setRetryAfter is the retry advice of a node whose published set is not confirmed or outdated.
	setRetryAfter = 500 * time.Millisecond
)

// startupWait returns how long a request may wait for a confirmed set.
func startupWait(sinceStart, deadline time.Duration) time.Duration {
	if sinceStart > startupPeriod {
		return 0
	}
	return min(maxStartupWait, time.Duration(startupWaitShare*float64(deadline)))
}

// awaitSet sets the published set of the call once it is confirmed. Right after a start the set may be outdated: routes
// or keys withdrawn since then would be accepted again, and ones added since then would be refused. The same holds if a newer set
// is known to exist and has not arrived in time.
func (c *call) awaitSet() error {
	sets := c.gateway.options.Sets
	select {
	case <-sets.Confirmed():
	default:
		timer := time.NewTimer(startupWait(c.started.Sub(c.gateway.started), c.callerDeadline()))
		defer timer.Stop()
		select {
		case <-sets.Confirmed():
		case <-timer.C:
			return staleSet("the published set is not confirmed yet")
		case <-c.request.Context().Done():
			return failure.New(failure.Canceled, failure.NotRun, "the caller disconnected")
		}
	}
	if sets.Outdated() {
		return staleSet("a newer set should be in force by now and has not arrived")
	}
	if c.set = sets.Set(); c.set == nil {
		return staleSet("no published set is known yet")
	}
	return nil
}

// awaitStores waits, right after a start, until it is known what the stores hold: engines would read again what they
// could fetch. It waits no longer than for the set, and then goes on without.
func (c *call) awaitStores() {
	stores, g := c.gateway.options.Stores, c.attributes.Generation
	if stores == nil || c.service.Engine == nil || g == nil || len(g.Parts) < 2 {
		return
	}
	wait := time.Until(c.started.Add(startupWait(c.started.Sub(c.gateway.started), c.callerDeadline())))
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-stores.Known():
	case <-timer.C:
	case <-c.request.Context().Done():
	}
}

func staleSet(message string) *failure.Error {
	e := failure.New(failure.StaleSet, failure.NotRun, "%s", message)
	e.RetryAfter = setRetryAfter
	return e
}
