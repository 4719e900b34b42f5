// Package admission decides whether a request may queue at an upstream. It estimates the time to first token and refuses
// requests that cannot meet their deadline before they run. Its functions are pure; the time is passed in.
package admission

import (
	"fmt"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/sched"
)

// Settings of admission.
type Settings struct {
	// Margin multiplies the estimate before it is compared with the deadline; default 1.
	Margin float64
	// MinRetry is the shortest retry advice; default 200 ms.
	MinRetry time.Duration
	// MaxRetry is the longest retry advice; default 30 s.
	MaxRetry time.Duration
	// Off admits everything that fits the queue, for comparison runs only; default false.
	Off bool
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Margin: 1, MinRetry: 200 * time.Millisecond, MaxRetry: 30 * time.Second}
}

// Request describes a request to be admitted.
type Request struct {
	Account string
	Rank    string
	// Deadline is the latest useful time of the first token; zero means none.
	Deadline time.Time
	// PromptTokens is the number of prompt tokens to compute on this upstream, without cached and fetched ones.
	PromptTokens int64
	// Fetch is the time until fetched pieces have arrived; the prefill waits for them.
	Fetch time.Duration
	// Draining is true when the upstream accepts no new work.
	Draining bool
	// VersionWait is the time until the request's weight version is loaded.
	VersionWait time.Duration
}

// State is the upstream's load at the time of the decision.
type State struct {
	Now time.Time
	// Ahead is the work that will be served before the request.
	Ahead sched.Ahead
	// PrefillRate is the measured prefill rate in tokens per second.
	PrefillRate float64
	// RunTime is the measured mean time that a run occupies its slot.
	RunTime time.Duration
}

// Decision is the outcome for one request.
type Decision struct {
	// FirstToken is the estimated time to first token.
	FirstToken time.Duration
	// Refusal is nil if the request may queue. A refused request has not run.
	Refusal *failure.Error
	reasons []string
}

// Reasons returns the explanation of the decision for `wasabishunt explain`.
func (d Decision) Reasons() []string { return d.reasons }

// Decide estimates the time to first token and refuses a request that cannot meet its deadline.
func Decide(settings Settings, request Request, state State) Decision {
	if request.Draining {
		return refuse(failure.Draining, "upstream is draining", 0)
	}
	d := Decision{FirstToken: Estimate(request, state)}
	if settings.Off || request.Deadline.IsZero() {
		d.reasons = []string{"admission: admitted, no deadline check"}
		return d
	}
	left := request.Deadline.Sub(state.Now)
	need := time.Duration(float64(d.FirstToken) * settings.Margin)
	if need <= left {
		d.reasons = []string{fmt.Sprintf("admission: first token in %v of %v", need.Round(time.Millisecond), left.Round(time.Millisecond))}
		return d
	}
	message := fmt.Sprintf("first token needs %v, deadline in %v", need.Round(time.Millisecond), left.Round(time.Millisecond))
	refused := refuse(failure.DeadlineUnreachable, message, retryAfter(settings, need-left))
	refused.FirstToken = d.FirstToken
	return refused
}

func refuse(kind failure.Kind, message string, retry time.Duration) Decision {
	err := failure.New(kind, failure.NotRun, "%s", message)
	err.RetryAfter = retry
	return Decision{Refusal: err, reasons: []string{"admission: refused, " + message}}
}

// retryAfter returns the retry advice for a request that would miss its deadline by excess: in that time the queue shrinks
// enough for the request to be in time. The advice is at least MinRetry and at most MaxRetry.
func retryAfter(settings Settings, excess time.Duration) time.Duration {
	return min(max(excess, settings.MinRetry), settings.MaxRetry)
}
