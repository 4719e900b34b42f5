package sched

import "time"

// StepSettings limit the prefill in one engine step while requests decode.
type StepSettings struct {
	// GapTarget is the time between two tokens of an answer that a step should not exceed; default 40 ms, 0 means no limit.
	GapTarget time.Duration
	// MinTokens is the least prefill granted in a step in tokens, so that prompts go on when decoding alone exceeds the
	// target; default 64.
	MinTokens int64
	// Reserve is the part of the time to a deadline that limited prefill must leave unused, 0 to 1; default 0.7. Work that
	// arrives later uses it.
	Reserve float64
}

// StepDefaults returns the default settings.
func StepDefaults() StepSettings {
	return StepSettings{GapTarget: 40 * time.Millisecond, MinTokens: 64, Reserve: 0.7}
}

// gapMargin is the part of the gap target that a step may fill by estimate, because estimates err both ways.
const gapMargin = 0.95

// Limit returns the prefill tokens to grant in the next step, at most chunk. Steps in which nothing decodes are not
// limited, and neither are steps of a queue in which some request would miss its deadline at the limited rate.
func (s StepSettings) Limit(cost *StepCost, decoding int, chunk int64, late func(rate float64, reserve float64) bool) int64 {
	if decoding == 0 || s.GapTarget <= 0 {
		return chunk
	}
	left := gapMargin*s.GapTarget.Seconds() - cost.Decode(decoding)
	tokens := min(chunk, max(s.MinTokens, int64(left/cost.Token())))
	if tokens < chunk && late(cost.Rate(tokens, decoding), s.Reserve) {
		return chunk
	}
	return tokens
}

// Scales of the features of StepCost, so that all of them are near 1.
const (
	runsScale   = 16.0
	tokensScale = 512.0
	// stepRate is the part of an error that one observation corrects.
	stepRate = 0.25
	// leastTokenTime bounds the estimate of the time for one prompt token in seconds.
	leastTokenTime = 1e-6
)

// StepCost estimates the time of an engine step from its prompt tokens and the requests that decode, as a sum of a fixed
// part, a part for each request and a part for each token. It learns by normalized least mean squares.
type StepCost struct {
	fixed, runs, tokens float64 // Seconds per scaled feature.
}

// NewStepCost starts from configured rates in tokens per second: of prefill, and of one decoding request.
func NewStepCost(prefillRate, decodeRate float64) *StepCost {
	return &StepCost{fixed: 1 / decodeRate, tokens: tokensScale / prefillRate}
}

// Observe takes the time of one step.
func (c *StepCost) Observe(tokens int64, decoding int, took time.Duration) {
	fixed, runs, scaled := features(tokens, decoding)
	norm := fixed*fixed + runs*runs + scaled*scaled
	if norm == 0 || took <= 0 {
		return
	}
	correction := stepRate * (took.Seconds() - c.at(tokens, decoding)) / norm
	c.fixed = max(0, c.fixed+correction*fixed)
	c.runs = max(0, c.runs+correction*runs)
	c.tokens = max(leastTokenTime*tokensScale, c.tokens+correction*scaled)
}

func features(tokens int64, decoding int) (fixed, runs, scaled float64) {
	if decoding > 0 {
		fixed = 1
	}
	return fixed, float64(decoding) / runsScale, float64(tokens) / tokensScale
}

func (c *StepCost) at(tokens int64, decoding int) float64 {
	fixed, runs, scaled := features(tokens, decoding)
	return fixed*c.fixed + runs*c.runs + scaled*c.tokens
}

// Decode is the estimated time in seconds of a step without prefill.
func (c *StepCost) Decode(decoding int) float64 { return c.at(0, decoding) }

// Token is the estimated time in seconds that one prompt token adds to a step.
func (c *StepCost) Token() float64 { return c.tokens / tokensScale }

// Rate is the prefill rate in tokens per second of steps with the given prefill and decoding requests.
func (c *StepCost) Rate(tokens int64, decoding int) float64 {
	return float64(tokens) / c.at(tokens, decoding)
}

// LateAt tells whether some request would miss its deadline if all prefill from now on went at the rate, in tokens per
// second, with a part of the time to each deadline kept in reserve. Each rank is judged by its earliest deadline and all
// its queued tokens, behind all more urgent ones; this errs towards true.
func (q *Queue) LateAt(rate, reserve float64, now time.Time) bool {
	tokens := float64(q.outstandingBefore(q.ranks[len(q.ranks)-1].Order))
	for _, rank := range q.ranks {
		tokens += float64(rank.queuedTokens)
		first := rank.earliest(q.settings.Off.Deadlines)
		if first == nil || first.item.Deadline.IsZero() {
			continue
		}
		if left := first.item.Deadline.Sub(now).Seconds() * (1 - reserve); tokens/rate > left {
			return true
		}
	}
	return false
}

// earliest is the entry of the rank with the earliest deadline that has prompt tokens to grant.
func (r *rankQueue) earliest(fifo bool) *entry {
	var first *entry
	for _, a := range r.active {
		if e := a.next(true, true, fifo); e != nil && (first == nil || e.before(first, fifo)) {
			first = e
		}
	}
	return first
}

// SetStepLimit bounds the chunks and the outstanding tokens until the next call; 0 means the limits of the settings.
func (q *Queue) SetStepLimit(tokens int64) { q.stepLimit = tokens }

// limited applies the step limit to a limit of the settings.
func (q *Queue) limited(tokens int64) int64 {
	if q.stepLimit <= 0 {
		return tokens
	}
	return min(tokens, q.stepLimit)
}
