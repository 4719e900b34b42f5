package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// maxDenials limits how often one request asks for a permit: each question takes some ms.
const maxDenials = 4

// recordRateLimit records what the answer to this request says of the limit of its instance. Only a signed answer without a limit shows that
// there is none any more: another process may answer at the address, and the head may be incomplete.
func (c *call) recordRateLimit(instance *upstreams.Instance, answer Answer, now time.Time) {
	limiter := c.gateway.options.Limiter
	switch {
	case limiter == nil || answer.Replaced:
	case answer.RateLimit.Named:
		limiter.Named(instance, answer.RateLimit.PerSecond, c.sentAt, c.attributes.ID, now)
	case answer.RateLimit.Malformed:
		limiter.Malformed(instance, c.attributes.ID)
	case answer.Signed:
		limiter.NotNamed(instance, c.sentAt, c.attributes.ID, now)
	}
}

// acquirePermit takes the permits to send the request to the chosen instance, which are needed only if that has a limit or is cold. It returns 0
// if there are, and otherwise the time after which the instance may take a request of this node.
func (c *call) acquirePermit(ctx context.Context, chosen *choice) (wait time.Duration) {
	if wait = c.acquireNamedPermit(ctx, chosen); wait > 0 {
		return wait
	}
	return c.acquireColdPermit(ctx, chosen, nil)
}

// acquireNamedPermit takes a permit if the chosen instance names a limit.
func (c *call) acquireNamedPermit(ctx context.Context, chosen *choice) (wait time.Duration) {
	limiter := c.gateway.options.Limiter
	if limiter == nil || limiter.Idle() {
		return 0
	}
	chosen.permit, wait = limiter.Acquire(ctx, chosen.instance, c.isSpare(), c.attributes.ID)
	return wait
}

// isSpare reports whether the request leaves the reserve of an instance with a limit to others: it does not go on with a stream that its caller
// already receives, and other routes to the service are more urgent. It may run beside the send in progress.
func (c *call) isSpare() bool {
	if c.bound.Load() {
		return false
	}
	priority := c.route.PriorityFor(c.account)
	for i := range c.set.Routes {
		r := &c.set.Routes[i]
		if max(0, r.Priority) < priority && slices.ContainsFunc(r.Targets, func(t trafficset.Target) bool { return t.Service == c.service.Name }) {
			return true
		}
	}
	return false
}

// renewPermit returns 0 if the request may be sent to the chosen instance now, by its permit or another one: opening a connection, or ending the
// send that a move takes over, may have taken longer than a permit is valid, and a limit may have begun meanwhile.
func (c *call) renewPermit(ctx context.Context, chosen *choice, conn *upstreamconn.Conn) (wait time.Duration) {
	limiter := c.gateway.options.Limiter
	if wait = c.acquireColdPermit(ctx, chosen, conn); wait > 0 {
		return wait
	}
	if limiter != nil && !limiter.MaySend(chosen.instance, chosen.permit, time.Now()) {
		if wait = c.acquireNamedPermit(ctx, chosen); wait > 0 {
			return wait
		}
	}
	if !c.mayUseColdPermit(chosen, conn) {
		return expiredWait
	}
	return 0
}

// limitedPauses returns the pauses of instances whose limit leaves no permit for this node yet, by the hashes of their keys.
func (c *call) limitedPauses(now time.Time) map[uint32]time.Duration {
	limiter := c.gateway.options.Limiter
	if limiter == nil || limiter.Idle() {
		return nil
	}
	return limiter.Waits(c.isSpare(), now)
}
