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

// weights keeps the weight version in force loaded on the engine. Its run loop is the only sender of weight commands, so
// commands are serialized even for engines that ignore fencing tokens. A version counts as loaded only when the engine
// lists it.
type weights struct {
	agent *Agent

	mu sync.Mutex
	// inForce is the version that was in force when the current reconcile started.
	inForce         string
	loaded          []string
	engineReachable bool
	lastError       error
}

func newWeights(a *Agent) *weights { return &weights{agent: a} }

// ready reports whether the version in force is loaded.
func (w *weights) ready() bool {
	view := w.agent.deps.Source.Current()
	_, deployment, ok := w.agent.upstream(view.Set)
	if !ok {
		return false
	}
	return w.isLoaded(weightVersion(view.Set, deployment.Model))
}

// isLoaded reports whether the engine listed the version in the last poll.
func (w *weights) isLoaded(version string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engineReachable && slices.Contains(w.loaded, version)
}

// expectedWait estimates the time until the version in force is loaded.
func (w *weights) expectedWait() time.Duration {
	if w.ready() {
		return 0
	}
	return typicalLoadTime
}

// typicalLoadTime is the time to load new weights on an idle engine.
const typicalLoadTime = 800 * time.Millisecond

// checkEngine refuses new work while the engine is unreachable. While it loads weights, work may wait in the queue.
func (w *weights) checkEngine() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.engineReachable {
		return nil
	}
	e := retryable(failure.UpstreamFailed, "the engine does not answer")
	e.Cause = w.lastError
	return e
}

func (w *weights) loadedVersions() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.loaded)
}

// run reconciles the engine with the set after each change of the set and each WeightPollInterval, until ctx ends.
func (w *weights) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := w.agent.deps.Source.Changed()
		w.reconcile(ctx, w.agent.deps.Source.Current())
		timer := time.NewTimer(w.agent.options.WeightPollInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// reconcile polls the engine's versions and loads the version in force if it is missing.
func (w *weights) reconcile(ctx context.Context, view controlclient.View) {
	upstream, deployment, ok := w.agent.upstream(view.Set)
	if !ok {
		return
	}
	target := weightVersion(view.Set, deployment.Model)
	if w.refreshLoaded(ctx, target) {
		return
	}
	if !view.Fresh(w.agent.deps.Clock.Now()) || view.Epoch == 0 {
		return
	}
	command := engine.WeightCommand{Model: deployment.Model, WeightVersion: target, FencingToken: view.Epoch}
	slot := &controlpb.LoadSlotRequest{Deployment: deployment.Name, Upstream: upstream.Name, Epoch: view.Epoch}
	if err := w.load(ctx, command, slot); err != nil {
		w.agent.deps.Log.Warn("weights not loaded", zap.String("weight_version", target), zap.Error(err))
	}
}

// refreshLoaded polls the engine's versions and reports whether the target is among them.
func (w *weights) refreshLoaded(ctx context.Context, target string) bool {
	state, err := w.agent.deps.Engine.Weights(ctx)
	w.mu.Lock()
	w.inForce = target
	w.engineReachable = err == nil
	w.lastError = err
	if err == nil {
		w.loaded = state.Loaded
	}
	loaded := w.engineReachable && slices.Contains(w.loaded, target)
	w.mu.Unlock()
	if loaded {
		w.agent.wakeWorker()
	}
	return loaded
}

// load acquires a load slot, sends the load command and waits until the engine lists the version.
func (w *weights) load(ctx context.Context, command engine.WeightCommand, slot *controlpb.LoadSlotRequest) error {
	if !w.isEngineReachable() {
		return failure.New(failure.UpstreamFailed, failure.NotRun, "the engine does not answer")
	}
	ctx, cancel := context.WithTimeout(ctx, w.agent.options.LoadTimeout)
	defer cancel()
	renew, err := w.acquireSlot(ctx, slot)
	if err != nil {
		return err
	}
	defer w.releaseSlot(ctx, slot)
	if err := w.agent.deps.Engine.LoadWeights(ctx, command); err != nil {
		return err
	}
	w.agent.deps.Log.Info("weight load ordered", zap.String("weight_version", command.WeightVersion), zap.Uint64("epoch", command.FencingToken))
	return w.awaitLoaded(ctx, command.WeightVersion, slot, renew)
}

func (w *weights) isEngineReachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engineReachable
}

// acquireSlot requests a load slot until it is granted; it returns the time between renewals.
func (w *weights) acquireSlot(ctx context.Context, slot *controlpb.LoadSlotRequest) (time.Duration, error) {
	for {
		response, err := w.requestSlot(ctx, slot)
		if err == nil && response.GetGranted() {
			return time.Duration(response.GetLeaseMs()) * time.Millisecond / 3, nil
		}
		if !sleep(ctx, w.agent.options.SlotPollInterval) {
			return 0, failure.New(failure.Overloaded, failure.NotRun, "no load slot within the load timeout")
		}
		if w.superseded(slot) {
			return 0, failure.New(failure.Fenced, failure.NotRun, "the set or the epoch changed while waiting for a load slot")
		}
	}
}

func (w *weights) requestSlot(ctx context.Context, slot *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, w.agent.options.CallTimeout)
	defer cancel()
	return w.agent.deps.Control.AcquireLoadSlot(ctx, slot)
}

// superseded reports whether a load is out of date, because the version in force or the agent's epoch has changed.
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

// awaitLoaded polls the engine until the version is loaded, and renews the slot meanwhile.
func (w *weights) awaitLoaded(ctx context.Context, version string, slot *controlpb.LoadSlotRequest, renew time.Duration) error {
	lastRenewal := w.agent.deps.Clock.Now()
	for {
		if w.refreshLoaded(ctx, version) {
			return nil
		}
		if !sleep(ctx, w.agent.options.SlotPollInterval) {
			return failure.New(failure.UpstreamFailed, failure.Unknown, "version %q not loaded within the load timeout", version)
		}
		if renew > 0 && w.agent.deps.Clock.Now().Sub(lastRenewal) > renew {
			lastRenewal = w.agent.deps.Clock.Now()
			_, _ = w.requestSlot(ctx, slot) // A lost renewal frees the slot early; the load itself continues.
		}
	}
}

func (w *weights) releaseSlot(ctx context.Context, slot *controlpb.LoadSlotRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.agent.options.CallTimeout)
	defer cancel()
	if _, err := w.agent.deps.Control.ReleaseLoadSlot(ctx, slot); err != nil {
		w.agent.deps.Log.Info("load slot not released", zap.Error(err))
	}
}

// sleep pauses for a duration; it returns false if ctx ends first.
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
