package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// recordAvailability records what an answer says about further requests to its instance.
func (c *call) recordAvailability(instance *upstreams.Instance, answer Answer) {
	o := c.gateway.options
	if answer.Leaving && len(o.Directory.MarkLeaving(time.Now(), instance.Key())) > 0 {
		gometrics.GetOrRegisterCounter("gateway.leaving", o.Metrics).Inc(1)
		o.Log.Info("instance is leaving", zap.String("request", c.attributes.ID), zap.String("instance", instance.ID))
	}
}

// takesRequests reports whether an instance takes further requests.
func (c *call) takesRequests(instance *upstreams.Instance) bool {
	return !c.gateway.options.Directory.IsLeaving(instance.Key())
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
