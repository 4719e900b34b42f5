package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// recordPause records that an instance takes no requests from this node for a while.
func (c *call) recordPause(instance *upstreams.Instance, pause time.Duration, now time.Time) {
	o := c.gateway.options
	if pause <= 0 || !o.Tracker.Pause(instance, pause, now) {
		return
	}
	gometrics.GetOrRegisterCounter("gateway.paused", o.Metrics).Inc(1)
	o.Log.Info("instance takes no requests for a while", zap.String("request", c.attributes.ID), zap.String("instance", instance.ID),
		zap.Duration("pause", pause))
}
