package admission

import (
	"math"
	"time"
)

// maxEstimate bounds estimates, so that a rate near zero cannot overflow a duration.
const maxEstimate = 24 * time.Hour

// Estimate returns the expected time to first token: the wait for a slot, for the queued work ahead, for fetched pieces and
// for the weight version, followed by the prefill of the request.
func Estimate(request Request, state State) time.Duration {
	if state.PrefillRate <= 0 {
		return maxEstimate
	}
	ready := max(slotWait(state), request.Fetch, request.VersionWait)
	tokens := float64(request.PromptTokens)
	byOrder := max(ready, seconds(state.Ahead.Tokens/state.PrefillRate)) + seconds(tokens/state.PrefillRate) +
		seconds(state.Ahead.Contention(state.Ahead.FloorTokens+tokens, state.PrefillRate)/state.PrefillRate)
	return min(maxEstimate, byOrder, estimateAtFloor(ready, tokens, state))
}

// estimateAtFloor returns the estimate for the case that more urgent ranks leave the request's rank only its floor.
func estimateAtFloor(ready time.Duration, tokens float64, state State) time.Duration {
	rate := state.PrefillRate * state.Ahead.FloorShare
	if rate <= 0 {
		return maxEstimate
	}
	return max(ready, seconds(state.Ahead.FloorTokens/rate)) + seconds(tokens/rate)
}

// slotWait returns the expected wait until enough of the running requests have ended.
func slotWait(state State) time.Duration {
	ahead := state.Ahead
	if ahead.Slots == 0 || ahead.Running == 0 {
		return 0
	}
	return seconds(state.RunTime.Seconds() * float64(ahead.Slots) / float64(ahead.Running))
}

func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s >= maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(s * float64(time.Second))
}
