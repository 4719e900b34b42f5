package agent

import "github.com/wasabishunt/wasabishunt/failure"

// Ready returns nil while the agent takes new work: it does not drain, control has confirmed its object set, and its
// engine or service answered when it was last used.
func (a *Agent) Ready() error {
	view := a.deps.Source.Current()
	if a.Draining() || a.leaving(view) {
		return retryable(failure.Draining, "this agent is stopping or leaving")
	}
	if !view.Fresh(a.deps.Clock.Now()) {
		return retryable(failure.StaleSet, "control has not confirmed the object set")
	}
	if a.deps.Engine != nil {
		return a.weights.available()
	}
	if a.serviceBroken.Load() {
		return retryable(failure.UpstreamFailed, "the service could not be reached when it was last called")
	}
	return nil
}
