package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/serving/coldstart"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreamlimit"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// expiredWait is the wait for an instance whose permit expired while another one was acquired.
const expiredWait = 5 * time.Millisecond

// errKeptBroke is the sign of a restart that an idle connection gives.
var errKeptBroke = errors.New("a kept connection ended")

// isColdLimited reports whether instances of the call's service may be cold. For all other services this file does nothing.
func (c *call) isColdLimited() bool {
	return c.service.Cold.Applies() && c.gateway.options.Cold != nil
}

// needsColdPermit reports whether the request needs a permit to be sent to an instance, on a connection or, without one, on that which the pool
// would return.
func (c *call) needsColdPermit(instance *upstreams.Instance, conn *upstreamconn.Conn, now time.Time) bool {
	switch c.gateway.options.Cold.Need(instance, c.service.Cold, now) {
	case coldstart.AllConnections:
		return true
	case coldstart.NewConnections:
		if conn != nil {
			return !conn.OpenedWarm()
		}
		return !c.gateway.options.Pool.HasWarm(instance.Address)
	case coldstart.NoPermit:
	}
	return false
}

// acquireColdPermit takes a permit to send the request to the chosen instance, if that is cold. It returns 0 if the request may be sent, and
// otherwise the time after which the instance may take a request of this node.
func (c *call) acquireColdPermit(ctx context.Context, chosen *choice, conn *upstreamconn.Conn) (wait time.Duration) {
	if !c.isColdLimited() {
		return 0
	}
	now := time.Now()
	if chosen.coldPermit.IsValid(now) || !c.needsColdPermit(chosen.instance, conn, now) {
		return 0
	}
	spare := c.leavesColdReserve(chosen.cached)
	chosen.coldPermit, wait = c.gateway.options.Limiter.AcquireCold(ctx, chosen.instance, c.service.Cold.PerSecond, spare, c.attributes.ID)
	return wait
}

// recordColdSend records that the request is sent to the chosen instance with a permit. A request that is withdrawn after it got one counts as not
// sent.
func (c *call) recordColdSend(chosen *choice, now time.Time) {
	if c.isColdLimited() && chosen.coldPermit != (upstreamlimit.ColdPermit{}) {
		c.gateway.options.Cold.Sent(chosen.instance, now)
	}
}

// mayUseColdPermit reports whether the request may be sent to the chosen instance at this moment.
func (c *call) mayUseColdPermit(chosen *choice, conn *upstreamconn.Conn) bool {
	now := time.Now()
	return !c.isColdLimited() || chosen.coldPermit.IsValid(now) || !c.needsColdPermit(chosen.instance, conn, now)
}

// leavesColdReserve reports whether the request leaves the reserve of a cold instance that holds so many tokens of its prompt to others: to more
// urgent routes, and to prompts with little to compute.
func (c *call) leavesColdReserve(cached int) bool {
	urgency := c.urgency()
	urgency.PromptTokens -= cached
	return c.isSpare() || c.attributes.Generation != nil && !urgency.IsShort()
}

// coldPauses returns the pauses of those instances of the service in a view that are cold and leave no permit for this node yet, by their
// positions in the list of the service's instances.
func (c *call) coldPauses(view *upstreams.View, q *placement.Request, now time.Time) map[int]time.Duration {
	if !c.isColdLimited() {
		return nil
	}
	o := c.gateway.options
	waits := o.Limiter.ColdWaits(now)
	if waits == nil {
		return nil
	}
	// How much of its prompt an instance holds makes a difference to long prompts only.
	isLong := c.attributes.Generation != nil && !c.urgency().IsShort()
	pauses := make(map[int]time.Duration, len(waits))
	for hash, wait := range waits {
		instance := view.ByHash(hash)
		if instance == nil || instance.Service != c.service.Name || !c.needsColdPermit(instance, nil, now) {
			continue
		}
		cached := 0
		if isLong {
			cached = o.Tracker.CachedTokens(instance, now, q)
		}
		left := wait.Urgent
		if c.leavesColdReserve(cached) {
			left = wait.Spare
		}
		pauses[view.Position(instance)] = left
	}
	return pauses
}

// recordColdConnection records what a new connection shows of an instance.
func (c *call) recordColdConnection(instance *upstreams.Instance, conn *upstreamconn.Conn) {
	if !c.isColdLimited() || !conn.IsNew() {
		return
	}
	guard, now := c.gateway.options.Cold, time.Now()
	if conn.FollowsBreak() {
		guard.Sign(instance, c.service.Cold, c.attributes.ID, errKeptBroke, now)
	}
	guard.Reached(instance, now)
	if guard.Need(instance, c.service.Cold, now) == coldstart.NoPermit {
		conn.SetOpenedWarm()
	}
}

// recordRestartSign records that a connection to an instance could not be opened or broke.
func (c *call) recordRestartSign(instance *upstreams.Instance, err error) {
	if c.isColdLimited() {
		c.gateway.options.Cold.Sign(instance, c.service.Cold, c.attributes.ID, err, time.Now())
	}
}
