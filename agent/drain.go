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
	case <-a.idle:
		return nil
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Ran, "calls still run at the end of the drain time")
	}
}

// Draining reports whether the agent refuses new work because it stops or leaves.
func (a *Agent) Draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// DrainStarted returns a channel that is closed once the agent refuses new work for good.
func (a *Agent) DrainStarted() <-chan struct{} { return a.drainStarted }

// beginDrain reports whether this call started the drain.
func (a *Agent) beginDrain() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if started := a.draining; started {
		return false
	}
	a.draining = true
	close(a.drainStarted)
	if a.active == 0 {
		close(a.idle)
	}
	return true
}

// enter counts a call as active; it refuses when the agent drains. The check and the count are one step,
// so Drain cannot miss a call that was let in.
func (a *Agent) enter() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		e := failure.New(failure.Draining, failure.NotRun, "the upstream takes no new work")
		e.RetryAfter = time.Second
		return e
	}
	a.active++
	return nil
}

// hold counts background work of a call as active. It is used within a call, so the drain cannot have ended.
func (a *Agent) hold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active++
}

func (a *Agent) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	if a.draining && a.active == 0 {
		close(a.idle)
	}
}
