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
	wait := max(seconds(waitTokens(state)/state.PrefillRate), slotWait(state))
	wait = max(wait, request.Fetch, request.VersionWait)
	return min(maxEstimate, wait+seconds(float64(request.PromptTokens)/state.PrefillRate))
}

// waitTokens is the work ahead, bounded by what the rank's floor lets through under a flood of other ranks.
func waitTokens(state State) float64 {
	ahead := state.Ahead
	if ahead.FloorShare <= 0 {
		return ahead.Tokens
	}
	return min(ahead.Tokens, ahead.FloorTokens/ahead.FloorShare)
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
