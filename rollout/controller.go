package rollout

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/supervise"
	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Report is the state that an engine reports.
type Report struct {
	Versions map[string]uint64
	Busy     bool
	// Sequence is the number of orders that the engine has accepted.
	Sequence int64
}

// Order instructs an engine to load weights.
type Order struct {
	Model   string
	Version uint64
	// Holder and Fence identify the sender of the order: a higher fence overrides a lower one.
	Holder string
	Fence  uint64
	// Sequence is the number of accepted orders for which the order is valid.
	Sequence int64
}

// Client calls engines.
type Client interface {
	Report(ctx context.Context, instance *upstreams.Instance) (Report, error)
	// Order returns failure.Fenced if another controller has a higher fence.
	Order(ctx context.Context, instance *upstreams.Instance, order Order) error
}

// Controller sends the weight orders of a deployment while its node leads.
type Controller struct {
	Name   string
	Client Client
	// Leads reports whether this node leads and has confirmed its leadership recently; Term is its fence.
	Leads func() bool
	Term  func() uint64
	// Lease is the time that a new leader waits before its first order, so that no earlier controller still sends any.
	Lease time.Duration
	Set   func() *trafficset.Set
	// WantedVersions returns the weight version that operators have named for each model.
	WantedVersions func() map[string]uint64
	Directory      *upstreams.Directory
	// Requests returns the requests in progress at an instance.
	Requests func(instance *upstreams.Instance) int
	Log      *zap.Logger

	mu sync.Mutex
	// orders holds the state of orders, by incarnation of the engine.
	orders map[upstreams.Key]*orderState
	// rejectedTerm is the term in which an engine rejected this controller's fence.
	rejectedTerm uint64
}

type orderState struct {
	version                     uint64
	sentAt                      time.Time
	answered, busy, unreachable bool
	// polling is set while pollReport runs for the engine.
	polling bool
}

const (
	stepInterval   = 100 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	callTimeout    = 500 * time.Millisecond
	// leaseMargin is added to the lease for orders that are still in transit.
	leaseMargin = 300 * time.Millisecond
)

// Run sends orders until the context ends.
func (c *Controller) Run(ctx context.Context) {
	c.orders = map[upstreams.Key]*orderState{}
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	var term uint64
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if !c.Leads() {
			if term != 0 {
				term = 0
				c.dropOrders()
			}
			continue
		}
		if current := c.Term(); current != term {
			term, since = current, now
			c.dropOrders()
		}
		if now.Sub(since) < c.Lease+leaseMargin || c.isRejected(term) {
			continue
		}
		c.step(ctx, &calls, term, now)
	}
}

// dropOrders forgets the orders of a term that has ended. Their engines get requests again: this node would not learn when the
// loads end, and an engine that still loads rejects requests without running them.
func (c *Controller) dropOrders() {
	c.mu.Lock()
	keys := slices.Collect(maps.Keys(c.orders))
	clear(c.orders)
	c.mu.Unlock()
	for _, key := range keys {
		c.Directory.SetUpdating(key, false)
	}
}

func (c *Controller) isRejected(term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejectedTerm == term
}

// step sends the orders that are due.
func (c *Controller) step(ctx context.Context, calls *sync.WaitGroup, term uint64, now time.Time) {
	set := c.Set()
	if set == nil {
		return
	}
	view := c.Directory.View()
	for i := range set.Services {
		service := &set.Services[i]
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			if wantedVersion := c.WantedVersions()[model]; wantedVersion > 0 {
				c.stepModel(ctx, calls, view.OfService(service.Name), model, wantedVersion, term, now)
			}
		}
	}
}

func (c *Controller) stepModel(ctx context.Context, calls *sync.WaitGroup, list []*upstreams.Instance, model string, wantedVersion, term uint64, now time.Time) {
	byID := map[string]*upstreams.Instance{}
	var engines []Engine
	for _, instance := range list {
		version, known := instance.Versions[model]
		if !known {
			continue
		}
		byID[instance.ID] = instance
		e := Engine{ID: instance.ID, Version: version, Draining: instance.Draining, Requests: c.Requests(instance)}
		if o := c.currentOrder(instance, wantedVersion); o != nil {
			e.Ordered, e.Answered, e.Busy, e.Unreachable = o.sentAt, o.answered, o.busy, o.unreachable
			switch {
			case version >= wantedVersion:
				// The instance list may show the version before a report does; reports are not read any more then.
				c.Directory.SetUpdating(instance.Key(), false)
			case !o.polling:
				c.pollReport(ctx, calls, instance, model, wantedVersion)
			}
		}
		engines = append(engines, e)
	}
	for _, id := range NextOrders(engines, wantedVersion, now) {
		instance := byID[id]
		c.mu.Lock()
		c.orders[instance.Key()] = &orderState{version: wantedVersion, sentAt: now}
		c.mu.Unlock()
		order := Order{Model: model, Version: wantedVersion, Holder: c.Name, Fence: term}
		calls.Go(func() { _ = supervise.Call(c.Log, "order to an engine", func() { c.sendOrder(ctx, instance, order) }) })
	}
}

// currentOrder returns a copy of the state of an order for a version, nil if there is none.
func (c *Controller) currentOrder(instance *upstreams.Instance, wantedVersion uint64) *orderState {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.orders[instance.Key()]
	if o == nil || o.version != wantedVersion {
		return nil
	}
	copied := *o
	return &copied
}

// sendOrder reads the engine's state and sends one order that is valid for exactly this state.
func (c *Controller) sendOrder(ctx context.Context, instance *upstreams.Instance, order Order) {
	c.Directory.SetUpdating(instance.Key(), true)
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	report, err := c.Client.Report(ctx, instance)
	if err == nil {
		c.applyReport(instance, order.Model, order.Version, report)
		if report.Versions[order.Model] >= order.Version || report.Busy {
			return
		}
		order.Sequence = report.Sequence
		if !c.Leads() || c.Term() != order.Fence {
			c.Directory.SetUpdating(instance.Key(), false)
			return
		}
		err = c.Client.Order(ctx, instance, order)
	}
	c.mu.Lock()
	o := c.orders[instance.Key()]
	if o != nil {
		o.answered, o.unreachable = err == nil, err != nil
	}
	if failure.Is(err, failure.Fenced) {
		c.rejectedTerm = order.Fence
	}
	c.mu.Unlock()
	if err != nil {
		c.Directory.SetUpdating(instance.Key(), false)
	}
	c.Log.Info("order to an engine", zap.String("instance", instance.ID), zap.String("model", order.Model), zap.Uint64("weight_version", order.Version),
		zap.Uint64("fence", order.Fence), zap.Int64("sequence", order.Sequence), zap.Error(err))
}

// pollReport reads and applies one report of the engine after reportInterval.
func (c *Controller) pollReport(ctx context.Context, calls *sync.WaitGroup, instance *upstreams.Instance, model string, wantedVersion uint64) {
	c.setPolling(instance, true)
	calls.Go(func() {
		defer c.setPolling(instance, false)
		timer := time.NewTimer(reportInterval)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = supervise.Call(c.Log, "report of an engine", func() {
			report, err := c.Client.Report(ctx, instance)
			if err != nil {
				return
			}
			c.applyReport(instance, model, wantedVersion, report)
		})
	})
}

func (c *Controller) setPolling(instance *upstreams.Instance, polling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.orders[instance.Key()]; o != nil {
		o.polling = polling
	}
}

// applyReport applies the state that an engine reports.
func (c *Controller) applyReport(instance *upstreams.Instance, model string, wantedVersion uint64, report Report) {
	c.mu.Lock()
	if o := c.orders[instance.Key()]; o != nil {
		o.busy = report.Busy
	}
	c.mu.Unlock()
	if version := report.Versions[model]; version >= wantedVersion {
		c.Directory.SetLoadedVersion(instance.Key(), model, version)
		c.Directory.SetUpdating(instance.Key(), false)
		c.Log.Info("an engine has new weights", zap.String("instance", instance.ID), zap.String("model", model), zap.Uint64("weight_version", version))
	}
}
