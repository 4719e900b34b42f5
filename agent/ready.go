package agent

import "github.com/wasabishunt/wasabishunt/failure"

// Ready returns nil while the agent accepts new work: it is not draining, control has confirmed its object set, and its
// engine or service answered when it was last called.
func (a *Agent) Ready() error {
	view := a.deps.Source.Current()
	if a.Draining() || a.isLeaving(view) {
		return retryable(failure.Draining, "this agent is stopping or leaving")
	}
	if !view.Fresh(a.deps.Clock.Now()) {
		return retryable(failure.StaleSet, "control has not confirmed the object set")
	}
	if a.deps.Engine != nil {
		return a.weights.checkEngine()
	}
	if a.serviceUnreachable.Load() {
		return retryable(failure.UpstreamFailed, "the service could not be reached when it was last called")
	}
	return nil
}
