package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// recordAvailability records what an answer says about further requests to its instance. own is false for an answer to an
// earlier request on the connection: its pause began before.
func (c *call) recordAvailability(instance *upstreams.Instance, answer Answer, own bool) {
	o := c.gateway.options
	now := time.Now()
	if answer.Leaving && len(o.Directory.MarkLeaving(now, instance.Key())) > 0 {
		gometrics.GetOrRegisterCounter("gateway.leaving", o.Metrics).Inc(1)
		o.Log.Info("instance is leaving", zap.String("request", c.attributes.ID), zap.String("instance", instance.ID))
	}
	if own {
		c.recordPause(instance, answer.PauseFor, now)
	}
}

// takesRequests reports whether an instance neither leaves nor is paused.
func (c *call) takesRequests(instance *upstreams.Instance) bool {
	o := c.gateway.options
	return !o.Directory.IsLeaving(instance.Key()) && o.Tracker.PauseLeft(instance, time.Now()) == 0
}

// withdrawn is the outcome of a send that was not begun, because its instance ceased to take requests while a connection was
// opened.
func (c *call) withdrawn(instance *upstreams.Instance) result {
	if c.sends > 0 {
		// The send has already taken its retry from the budget.
		c.retryReserved.Store(true)
	}
	e := failure.New(failure.NoUpstream, failure.NotRun, "instance %s takes no more requests", instance.ID)
	e.RetryAfter = upstreamRetryAfter
	return result{notRun: true, err: e}
}
