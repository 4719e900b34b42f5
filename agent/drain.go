package agent

import (
	"context"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// Drain refuses new work at once and waits until the calls in progress have ended, or ctx ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.beginDrain()
	select {
	case <-a.drained:
		return nil
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Ran, "calls still run at the end of the drain time")
	}
}

// Draining reports whether the agent refuses new work because it is stopping or leaving.
func (a *Agent) Draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// DrainStarted returns a channel that is closed once the agent has started to drain.
func (a *Agent) DrainStarted() <-chan struct{} { return a.drainStarted }

// beginDrain starts the drain; it returns false if it had already started.
func (a *Agent) beginDrain() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if started := a.draining; started {
		return false
	}
	a.draining = true
	close(a.drainStarted)
	if a.activeCalls == 0 {
		close(a.drained)
	}
	return true
}

// beginCall counts a call as active, or refuses it while the agent drains. The check and the count happen under one lock,
// so Drain cannot miss an accepted call.
func (a *Agent) beginCall() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		e := failure.New(failure.Draining, failure.NotRun, "the upstream takes no new work")
		e.RetryAfter = time.Second
		return e
	}
	a.activeCalls++
	return nil
}

// addBackgroundCall counts background work of a call as active. The caller must be an active call, so that the drain
// cannot have ended.
func (a *Agent) addBackgroundCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.activeCalls++
}

func (a *Agent) endCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.activeCalls--
	if a.draining && a.activeCalls == 0 {
		close(a.drained)
	}
}
