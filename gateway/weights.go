package gateway

import (
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
)

// isOutdated reports whether requests must not begin any more on the weights that a chosen engine had at the choice. An engine that has changed them
// since rejects the request, which names their version.
func (c *call) isOutdated(chosen *choice) bool {
	g := c.attributes.Generation
	return g != nil && c.service.Engine != nil && chosen.version < c.gateway.options.Sets.RequiredVersion(g.Model)
}

// withdrawnOutdated is the outcome of a send that was not begun, because the time limit of a newer version passed after the choice.
func (c *call) withdrawnOutdated(chosen *choice) result {
	o := c.gateway.options
	gometrics.GetOrRegisterCounter("gateway.outdated_withdrawn", o.Metrics).Inc(1)
	o.Log.Info("send withdrawn from outdated weights", zap.String("request", c.attributes.ID), zap.String("instance", chosen.instance.ID),
		zap.Uint64("weight_version", chosen.version))
	e := failure.New(failure.NoUpstream, failure.NotRun, "the weights of instance %s are outdated", chosen.instance.ID)
	e.RetryAfter = upstreamRetryAfter
	return result{notRun: true, err: e}
}
