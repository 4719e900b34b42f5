package rollout

import (
	"context"
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
	Mode    Mode
	// Holder and Fence identify the sender of the order: a higher fence overrides a lower one.
	Holder string
	Fence  uint64
	// Sequence is the number of accepted orders for which the order is valid.
	Sequence int64
}

// Client calls engines.
type Client interface {
	Report(ctx context.Context, instance *upstreams.Instance) (Report, error)
	// Order returns failure.Fenced if another holder has a higher fence.
	Order(ctx context.Context, instance *upstreams.Instance, order Order) error
}

// Holder sends the orders of a deployment while its node leads.
type Holder struct {
	Name   string
	Client Client
	// Leads reports whether this node leads and its lease is valid now; Term is its fence.
	Leads func() bool
	Term  func() uint64
	// Lease is the time that must pass without orders of an earlier holder before this one sends its first.
	Lease time.Duration
	// Within is the time after which requests must not start on older weights.
	Within    time.Duration
	Set       func() *trafficset.Set
	Wanted    func() map[string]uint64
	Directory *upstreams.Directory
	// Requests returns the requests in progress at an instance.
	Requests func(instance *upstreams.Instance) int
	Log      *zap.Logger

	mu sync.Mutex
	// engines holds the state of orders, by incarnation.
	engines map[upstreams.Key]*orderState
	// named is the newest version of each model and when it was first seen.
	named map[string]namedVersion
	// overruled is the term in which an engine rejected this holder's fence.
	overruled uint64
}

type namedVersion struct {
	version uint64
	at      time.Time
}

type orderState struct {
	version                     uint64
	at                          time.Time
	answered, busy, unreachable bool
	reporting                   bool
}

const (
	stepInterval   = 100 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	callTimeout    = 500 * time.Millisecond
	// leaseMargin is added to the lease for orders that are still in transit.
	leaseMargin = 300 * time.Millisecond
)

// Run sends orders until the context ends.
func (h *Holder) Run(ctx context.Context) {
	h.engines, h.named = map[upstreams.Key]*orderState{}, map[string]namedVersion{}
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
		h.recordVersions(now)
		if !h.Leads() {
			term = 0
			continue
		}
		if current := h.Term(); current != term {
			term, since = current, now
			h.clearOrders()
		}
		if now.Sub(since) < h.Lease+leaseMargin || h.isOverruled(term) {
			continue
		}
		h.step(ctx, &calls, term, now)
	}
}

// recordVersions records when versions were named, also on nodes that do not lead.
func (h *Holder) recordVersions(now time.Time) {
	for model, version := range h.Wanted() {
		if h.named[model].version != version {
			h.named[model] = namedVersion{version, now}
		}
	}
}

func (h *Holder) clearOrders() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.engines)
}

func (h *Holder) isOverruled(term uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overruled == term
}

// step sends the orders that are due.
func (h *Holder) step(ctx context.Context, calls *sync.WaitGroup, term uint64, now time.Time) {
	set := h.Set()
	if set == nil {
		return
	}
	view := h.Directory.View()
	for i := range set.Services {
		service := &set.Services[i]
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			if wanted := h.Wanted()[model]; wanted > 0 {
				h.stepModel(ctx, calls, view.Of(service.Name), model, wanted, term, now)
			}
		}
	}
}

func (h *Holder) stepModel(ctx context.Context, calls *sync.WaitGroup, list []*upstreams.Instance, model string, wanted, term uint64, now time.Time) {
	byID := map[string]*upstreams.Instance{}
	var engines []Engine
	for _, instance := range list {
		version, known := instance.Versions[model]
		if !known {
			continue
		}
		byID[instance.ID] = instance
		e := Engine{ID: instance.ID, Version: version, Leaving: instance.Draining, Requests: h.Requests(instance)}
		if o := h.current(instance, wanted); o != nil {
			e.Ordered, e.Answered, e.Busy, e.Unreachable = o.at, o.answered, o.busy, o.unreachable
			if version < wanted && !o.reporting {
				h.follow(ctx, calls, instance, model, wanted)
			}
		}
		engines = append(engines, e)
	}
	for _, step := range Next(engines, wanted, now.Sub(h.named[model].at), now, Limits{Within: h.Within}) {
		instance := byID[step.Engine]
		h.mu.Lock()
		h.engines[instance.Key()] = &orderState{version: wanted, at: now}
		h.mu.Unlock()
		order := Order{Model: model, Version: wanted, Mode: step.Mode, Holder: h.Name, Fence: term}
		calls.Go(func() { _ = supervise.Call(h.Log, "order to an engine", func() { h.order(ctx, instance, order) }) })
	}
}

// current returns a copy of the state of an order for a version, nil if there is none.
func (h *Holder) current(instance *upstreams.Instance, wanted uint64) *orderState {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.engines[instance.Key()]
	if o == nil || o.version != wanted {
		return nil
	}
	copied := *o
	return &copied
}

// order reads the engine's state and sends one order that is valid for exactly this state.
func (h *Holder) order(ctx context.Context, instance *upstreams.Instance, order Order) {
	h.Directory.Updating(instance.Key(), true)
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	report, err := h.Client.Report(ctx, instance)
	if err == nil {
		h.applyReport(instance, order.Model, order.Version, report)
		if report.Versions[order.Model] >= order.Version || report.Busy {
			return
		}
		order.Sequence = report.Sequence
		if !h.Leads() || h.Term() != order.Fence {
			return
		}
		err = h.Client.Order(ctx, instance, order)
	}
	h.mu.Lock()
	o := h.engines[instance.Key()]
	if o != nil {
		o.answered, o.unreachable = err == nil, err != nil
	}
	if failure.Is(err, failure.Fenced) {
		h.overruled = order.Fence
	}
	h.mu.Unlock()
	if err != nil {
		h.Directory.Updating(instance.Key(), false)
	}
	h.Log.Info("order to an engine", zap.String("instance", instance.ID), zap.String("model", order.Model), zap.Uint64("weight_version", order.Version),
		zap.String("mode", string(order.Mode)), zap.Uint64("fence", order.Fence), zap.Int64("sequence", order.Sequence), zap.Error(err))
}

// follow reads the engine's reports until it has the version.
func (h *Holder) follow(ctx context.Context, calls *sync.WaitGroup, instance *upstreams.Instance, model string, wanted uint64) {
	h.setReporting(instance, true)
	calls.Go(func() {
		defer h.setReporting(instance, false)
		timer := time.NewTimer(reportInterval)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = supervise.Call(h.Log, "report of an engine", func() {
			report, err := h.Client.Report(ctx, instance)
			if err != nil {
				return
			}
			h.applyReport(instance, model, wanted, report)
		})
	})
}

func (h *Holder) setReporting(instance *upstreams.Instance, reporting bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o := h.engines[instance.Key()]; o != nil {
		o.reporting = reporting
	}
}

// applyReport applies the state that an engine reports.
func (h *Holder) applyReport(instance *upstreams.Instance, model string, wanted uint64, report Report) {
	h.mu.Lock()
	if o := h.engines[instance.Key()]; o != nil {
		o.busy = report.Busy
	}
	h.mu.Unlock()
	if version := report.Versions[model]; version >= wanted {
		h.Directory.Loaded(instance.Key(), model, version)
		h.Directory.Updating(instance.Key(), false)
		h.Log.Info("an engine has new weights", zap.String("instance", instance.ID), zap.String("model", model), zap.Uint64("weight_version", version))
	}
}
