package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// weights keeps the engine on the weight version in force. Its run loop is the only sender of weight commands to
// the engine, so commands are serialized also for engines that ignore fencing tokens; nothing counts as loaded
// until the engine's own list, read back, says so.
type weights struct {
	agent *Agent

	mu       sync.Mutex
	inForce  string
	loaded   []string
	reached  bool
	lastFail error
}

func newWeights(a *Agent) *weights { return &weights{agent: a} }

// ready reports whether the version that the set names now is loaded.
func (w *weights) ready() bool {
	view := w.agent.deps.Source.Current()
	_, deployment, ok := w.agent.upstream(view.Set)
	if !ok {
		return false
	}
	return w.has(weightVersion(view.Set, deployment.Model))
}

// has reports whether the engine listed the version when it was last asked.
func (w *weights) has(version string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reached && slices.Contains(w.loaded, version)
}

// expectedWait is the time until the version in force is loaded, as far as loads take their usual time.
func (w *weights) expectedWait() time.Duration {
	if w.ready() {
		return 0
	}
	return usualLoadTime
}

// usualLoadTime of new weights on an idle engine.
const usualLoadTime = 800 * time.Millisecond

// available refuses new work while the engine does not answer. While it loads, work may wait in the queue.
func (w *weights) available() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reached {
		return nil
	}
	e := retryable(failure.UpstreamFailed, "the engine does not answer")
	e.Cause = w.lastFail
	return e
}

func (w *weights) loadedVersions() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.loaded)
}

// run follows the set and the engine until ctx ends. A poll follows each change of the set and each WeightPoll.
func (w *weights) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := w.agent.deps.Source.Changed()
		w.step(ctx, w.agent.deps.Source.Current())
		timer := time.NewTimer(w.agent.options.WeightPoll)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step reads the engine's versions back and, when the version in force is missing, has it loaded.
func (w *weights) step(ctx context.Context, view controlclient.View) {
	upstream, deployment, ok := w.agent.upstream(view.Set)
	if !ok {
		return
	}
	target := weightVersion(view.Set, deployment.Model)
	if w.readBack(ctx, target) {
		return
	}
	if !view.Fresh(w.agent.deps.Clock.Now()) || view.Epoch == 0 {
		return
	}
	order := engine.WeightCommand{Model: deployment.Model, WeightVersion: target, FencingToken: view.Epoch}
	slot := &controlpb.LoadSlotRequest{Deployment: deployment.Name, Upstream: upstream.Name, Epoch: view.Epoch}
	if err := w.load(ctx, order, slot); err != nil {
		w.agent.deps.Log.Warn("weights not loaded", zap.String("weight_version", target), zap.Error(err))
	}
}

// readBack asks the engine for its versions and reports whether the target is among them.
func (w *weights) readBack(ctx context.Context, target string) bool {
	state, err := w.agent.deps.Engine.Weights(ctx)
	w.mu.Lock()
	w.inForce = target
	w.reached = err == nil
	w.lastFail = err
	if err == nil {
		w.loaded = state.Loaded
	}
	loaded := w.reached && slices.Contains(w.loaded, target)
	w.mu.Unlock()
	if loaded {
		w.agent.wakeWorker()
	}
	return loaded
}

// load takes a load slot, orders the version and waits until the engine lists it.
func (w *weights) load(ctx context.Context, order engine.WeightCommand, slot *controlpb.LoadSlotRequest) error {
	if !w.isReached() {
		return failure.New(failure.UpstreamFailed, failure.NotRun, "the engine does not answer")
	}
	ctx, cancel := context.WithTimeout(ctx, w.agent.options.LoadTimeout)
	defer cancel()
	renew, err := w.acquire(ctx, slot)
	if err != nil {
		return err
	}
	defer w.release(ctx, slot)
	if err := w.agent.deps.Engine.LoadWeights(ctx, order); err != nil {
		return err
	}
	w.agent.deps.Log.Info("weight load ordered", zap.String("weight_version", order.WeightVersion), zap.Uint64("epoch", order.FencingToken))
	return w.await(ctx, order.WeightVersion, slot, renew)
}

func (w *weights) isReached() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reached
}

// acquire asks for a load slot until it is granted; it returns the time between renewals.
func (w *weights) acquire(ctx context.Context, slot *controlpb.LoadSlotRequest) (time.Duration, error) {
	for {
		response, err := w.request(ctx, slot)
		if err == nil && response.GetGranted() {
			return time.Duration(response.GetLeaseMs()) * time.Millisecond / 3, nil
		}
		if !sleep(ctx, w.agent.options.SlotPoll) {
			return 0, failure.New(failure.Overloaded, failure.NotRun, "no load slot within the load timeout")
		}
		if w.superseded(slot) {
			return 0, failure.New(failure.Fenced, failure.NotRun, "the set or the epoch changed while waiting for a load slot")
		}
	}
}

func (w *weights) request(ctx context.Context, slot *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, w.agent.options.CallTimeout)
	defer cancel()
	return w.agent.deps.Control.AcquireLoadSlot(ctx, slot)
}

// superseded reports whether the order that waits for a slot is no longer the one in force.
func (w *weights) superseded(slot *controlpb.LoadSlotRequest) bool {
	view := w.agent.deps.Source.Current()
	_, deployment, ok := w.agent.upstream(view.Set)
	if !ok || view.Epoch != slot.GetEpoch() {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return weightVersion(view.Set, deployment.Model) != w.inForce
}

// await polls the engine until the version is loaded, and renews the slot meanwhile.
func (w *weights) await(ctx context.Context, version string, slot *controlpb.LoadSlotRequest, renew time.Duration) error {
	lastRenewal := w.agent.deps.Clock.Now()
	for {
		if w.readBack(ctx, version) {
			return nil
		}
		if !sleep(ctx, w.agent.options.SlotPoll) {
			return failure.New(failure.UpstreamFailed, failure.Unknown, "version %q not loaded within the load timeout", version)
		}
		if renew > 0 && w.agent.deps.Clock.Now().Sub(lastRenewal) > renew {
			lastRenewal = w.agent.deps.Clock.Now()
			_, _ = w.request(ctx, slot) // A lost renewal frees the slot early; the load itself goes on.
		}
	}
}

func (w *weights) release(ctx context.Context, slot *controlpb.LoadSlotRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.agent.options.CallTimeout)
	defer cancel()
	if _, err := w.agent.deps.Control.ReleaseLoadSlot(ctx, slot); err != nil {
		w.agent.deps.Log.Info("load slot not released", zap.Error(err))
	}
}

// sleep waits; it reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
