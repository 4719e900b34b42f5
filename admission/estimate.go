package admission

import (
	"math"
	"time"
)

// maxEstimate bounds estimates, so that a rate near zero cannot overflow a duration.
const maxEstimate = 24 * time.Hour

// Estimate returns the expected time to first token: the wait for a slot, for the work ahead, for fetched pieces and
// for the weight version, then the request's own prefill.
func Estimate(request Request, state State) time.Duration {
	if state.PrefillRate <= 0 {
		return maxEstimate
	}
	first := max(slotWait(state), request.Fetch, request.VersionWait)
	own := float64(request.PromptTokens)
	byOrder := max(first, seconds(state.Ahead.Tokens/state.PrefillRate)) + seconds(own/state.PrefillRate) +
		seconds(state.Ahead.Contention(state.Ahead.FloorTokens+own, state.PrefillRate)/state.PrefillRate)
	return min(maxEstimate, byOrder, byFloor(first, own, state))
}

// byFloor is the estimate if more urgent ranks leave the request's rank only its floor.
func byFloor(first time.Duration, own float64, state State) time.Duration {
	rate := state.PrefillRate * state.Ahead.FloorShare
	if rate <= 0 {
		return maxEstimate
	}
	return max(first, seconds(state.Ahead.FloorTokens/rate)) + seconds(own/rate)
}

// slotWait is the expected wait until enough of the running requests have ended.
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
