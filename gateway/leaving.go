package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/lo"
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
		o.Tracker.ReportLeaving(instance.Key(), now)
		gometrics.GetOrRegisterCounter("gateway.leaving", o.Metrics).Inc(1)
		o.Log.Info("instance is leaving", zap.String("request", c.attributes.ID), zap.String("instance", instance.ID))
	}
	if own {
		c.recordPause(instance, answer.PauseFor, now)
		c.recordRateLimit(instance, answer, now)
	}
}

// applyLeaving marks instances that other nodes report as leaving, given the hashes of their keys.
func (g *Gateway) applyLeaving(hashes []uint32) {
	view := g.options.Directory.View()
	var keys []upstreams.Key
	for _, hash := range hashes {
		if instance := view.ByHash(hash); instance != nil && !instance.Draining {
			keys = append(keys, instance.Key())
		}
	}
	if added := g.options.Directory.MarkLeaving(time.Now(), keys...); len(added) > 0 {
		g.options.Log.Info("instances leaving by word of another node", zap.Strings("instances", lo.Map(added, func(k upstreams.Key, _ int) string { return k.ID })))
	}
}

// takesRequests reports whether an instance neither leaves nor is paused.
func (c *call) takesRequests(instance *upstreams.Instance) bool {
	o := c.gateway.options
	return !o.Directory.IsLeaving(instance.Key()) && o.Tracker.PauseLeft(instance, time.Now()) == 0
}

// withdrawn is the outcome of a send that was not begun, because its instance ceased to take requests while a connection was
// opened.
func withdrawn(instance *upstreams.Instance, retryAfter time.Duration) result {
	e := failure.New(failure.NoUpstream, failure.NotRun, "instance %s takes no more requests", instance.ID)
	e.RetryAfter = retryAfter
	return result{notRun: true, err: e}
}
