package sched

import "time"

// StepSettings limit the prefill in one engine step while requests decode.
type StepSettings struct {
	// GapTarget is the target for the time between two tokens of an answer, which a step should not exceed; default 40 ms,
	// 0 means no limit.
	GapTarget time.Duration
	// MinTokens is the minimum prefill granted in a step in tokens, so that prompts make progress even if decoding alone
	// exceeds the target; default 64.
	MinTokens int64
	// Reserve is the share, 0 to 1, of the time to a deadline that limited prefill must leave unused for work that arrives
	// later; default 0.7.
	Reserve float64
}

// StepDefaults returns the default settings.
func StepDefaults() StepSettings {
	return StepSettings{GapTarget: 40 * time.Millisecond, MinTokens: 64, Reserve: 0.7}
}

// gapMargin is the share of the gap target that the estimated time of a step may use, to allow for estimation errors.
const gapMargin = 0.95

// Limit returns the number of prefill tokens to grant in the next step, at most chunk. Steps without decoding requests are
// not limited, nor are steps while a queued request would miss its deadline at the limited rate, as reported by late.
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

// Parameters of StepCost. The scales bring its features close to 1.
const (
	runsScale   = 16.0
	tokensScale = 512.0
	// learningRate is the share of the estimation error that one observation corrects.
	learningRate = 0.25
	// minTokenSeconds is the lower bound of the estimated time for one prompt token.
	minTokenSeconds = 1e-6
)

// StepCost estimates the time of an engine step as the sum of a fixed part, a part for each decoding request and a part for
// each prompt token. It is fitted by normalized least mean squares.
type StepCost struct {
	fixed, runs, tokens float64 // Seconds per scaled feature.
}

// NewStepCost returns a StepCost that starts with configured rates in tokens per second: of prefill, and of one decoding
// request.
func NewStepCost(prefillRate, decodeRate float64) *StepCost {
	return &StepCost{fixed: 1 / decodeRate, tokens: tokensScale / prefillRate}
}

// Observe updates the estimate with the measured time of one step.
func (c *StepCost) Observe(tokens int64, decoding int, took time.Duration) {
	fixed, runs, scaled := features(tokens, decoding)
	norm := fixed*fixed + runs*runs + scaled*scaled
	if norm == 0 || took <= 0 {
		return
	}
	correction := learningRate * (took.Seconds() - c.stepSeconds(tokens, decoding)) / norm
	c.fixed = max(0, c.fixed+correction*fixed)
	c.runs = max(0, c.runs+correction*runs)
	c.tokens = max(minTokenSeconds*tokensScale, c.tokens+correction*scaled)
}

func features(tokens int64, decoding int) (fixed, runs, scaled float64) {
	if decoding > 0 {
		fixed = 1
	}
	return fixed, float64(decoding) / runsScale, float64(tokens) / tokensScale
}

// stepSeconds returns the estimated time of a step in seconds.
func (c *StepCost) stepSeconds(tokens int64, decoding int) float64 {
	fixed, runs, scaled := features(tokens, decoding)
	return fixed*c.fixed + runs*c.runs + scaled*c.tokens
}

// Decode returns the estimated time in seconds of a step without prefill.
func (c *StepCost) Decode(decoding int) float64 { return c.stepSeconds(0, decoding) }

// Token returns the estimated time in seconds that one prompt token adds to a step.
func (c *StepCost) Token() float64 { return c.tokens / tokensScale }

// Rate returns the estimated prefill rate in tokens per second of steps with the given prefill tokens and decoding requests.
func (c *StepCost) Rate(tokens int64, decoding int) float64 {
	return float64(tokens) / c.stepSeconds(tokens, decoding)
}

// LateAt reports whether some request would miss its deadline if all prefill ran at the rate, in tokens per second, and the
// share reserve of the time to each deadline stayed unused. It checks the earliest deadline of each rank against all queued
// tokens of this rank and of more urgent ones, so it may report true too early.
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

// earliest returns the entry of the rank with the earliest deadline that has prompt tokens to grant.
func (r *rankQueue) earliest(fifo bool) *entry {
	var first *entry
	for _, a := range r.active {
		if e := a.next(true, true, fifo); e != nil && (first == nil || e.before(first, fifo)) {
			first = e
		}
	}
	return first
}

// SetStepLimit bounds the chunk size and the outstanding tokens until the next call; 0 means the limits of the settings.
func (q *Queue) SetStepLimit(tokens int64) { q.stepLimit = tokens }

// limited returns the lower of a limit of the settings and the step limit.
func (q *Queue) limited(tokens int64) int64 {
	if q.stepLimit <= 0 {
		return tokens
	}
	return min(tokens, q.stepLimit)
}
