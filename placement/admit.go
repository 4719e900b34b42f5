package placement

import "time"

// Wish is what a caller's route asks for.
type Wish struct {
	// Target is the time to the first event within which an answer has its full value.
	Target time.Duration
	// Left is the time until the request must have its answer.
	Left time.Duration
	// MostUrgent is set for the most urgent routes of a service: engines let them pass all others.
	MostUrgent bool
}

const (
	// targetShare of the target may be used up by what is queued: estimates are too low when queues grow.
	targetShare = 0.9
	// leftShare of the time left may be used up for a request of the most urgent routes.
	leftShare = 0.8
	// shortestRetry and retryShare bound the advice to a refused caller: callers wait a third of their time at most.
	shortestRetry = 200 * time.Millisecond
	retryShare    = 0.3
)

// Admit decides whether a request may join the queue of the engine that was picked, the one with the shortest.
//
// A flood beyond what engines can read fills their queues until every answer is late, while they do the same work as
// with short queues. So a request that would get its first event after its target is refused at once, with the time
// after which the queue has room; those that are admitted are on time.
func Admit(wish Wish, firstEvent time.Duration) (admitted bool, retryAfter time.Duration) {
	limit := time.Duration(targetShare * float64(wish.Target))
	if wish.MostUrgent || wish.Target == 0 {
		limit = time.Duration(leftShare * float64(wish.Left))
	}
	if firstEvent <= limit {
		return true, 0
	}
	longest := time.Duration(retryShare * float64(wish.Left))
	return false, min(longest, max(shortestRetry, firstEvent-limit))
}
