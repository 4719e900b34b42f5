package placement

import "time"

const (
	// initialReadRate is the rate assumed for engines before any request was measured, in prompt tokens per ms.
	initialReadRate = 50
	// rateWeight is the weight of one request in the learned rate.
	rateWeight = 0.02
	// minLearnedTokens is the number of tokens from which reading dominates the time to the first event.
	minLearnedTokens = 4000
	// minReadRate and maxReadRate bound the learned rate, in tokens per ms.
	minReadRate, maxReadRate = 5, 500
)

// readRate is the learned rate at which engines read prompts.
type readRate struct{ tokensPerMs float64 }

func (r *readRate) observe(tokens int, took time.Duration) {
	if tokens < minLearnedTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / (float64(took) / float64(time.Millisecond))
	r.tokensPerMs += rateWeight * (max(minReadRate, min(maxReadRate, rate)) - r.tokensPerMs)
}
