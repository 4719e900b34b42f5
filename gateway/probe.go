package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/supervise"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// probeInterval is the time between two probes of an unresponsive instance.
	probeInterval = 500 * time.Millisecond
	// probeTimeout limits one probe. It is far above a round trip. A probe uses one connection of the instance and no
	// slot.
	probeTimeout = 300 * time.Millisecond
)

// ProbeUnresponsive probes unresponsive instances by opening connections to them, until the context ends. Instances
// that accept a connection get requests again.
func (g *Gateway) ProbeUnresponsive(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var probes sync.WaitGroup
		for _, instance := range g.options.Tracker.UnresponsiveInstances(g.options.Directory.View()) {
			probes.Go(func() { _ = supervise.Call(g.options.Log, "reach an instance", func() { g.probe(ctx, instance) }) })
		}
		probes.Wait()
	}
}

func (g *Gateway) probe(ctx context.Context, instance *upstreams.Instance) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := g.options.Pool.Open(ctx, instance.Address)
	if err != nil {
		return
	}
	conn.Release(0)
	g.options.Tracker.MarkReachable(instance, time.Now())
	g.options.Cold.Reached(instance, time.Now())
	g.options.Log.Info("a silent instance can be reached again", zap.String("instance", instance.ID))
}
