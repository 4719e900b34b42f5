package sched

import "time"

// Bounds of a rescue, in chunks.
const (
	// rescueSize bounds the prompt left of a rescued request.
	rescueSize = 2
	// fairSlack is the least time that the fair choice must have to spare.
	fairSlack = 3
	// rescueSlack is the time before its latest start at which a request is rescued.
	rescueSlack = 5
)

// rescue lets a nearly late short request of another account go before the fair choice if that one can wait for a
// chunk. Strict turns would lose the deadline of one caller to gain nothing for the other. Two rescues never follow
// each other, so that a small caller is delayed by at most one chunk.
func (q *Queue) rescue(r *rankQueue, fair *entry, slots int, longAllowed bool, now time.Time) *entry {
	q.rescued = nil
	if q.lastRescue || q.prefillRate <= 0 || q.settings.Off.Rescue || q.slack(fair, now) < fairSlack*q.chunkTime() {
		return fair
	}
	best := fair
	for _, a := range r.active {
		if a == fair.account {
			continue
		}
		e := a.next(longAllowed, q.mayStart(slots, r, a), q.settings.Off.Deadlines)
		if e != nil && q.rescuable(e, now) && (best == fair || q.slack(e, now) < q.slack(best, now)) {
			best = e
		}
	}
	if best != fair {
		q.rescued = best
	}
	return best
}

func (q *Queue) rescuable(e *entry, now time.Time) bool {
	if e.remaining > rescueSize*q.settings.ChunkTokens {
		return false
	}
	slack := q.slack(e, now)
	return slack >= 0 && slack < rescueSlack*q.chunkTime()
}

// slack is the time until the latest start at which the request could still be on time.
func (q *Queue) slack(e *entry, now time.Time) time.Duration {
	if e.item.Deadline.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return e.item.Deadline.Sub(now) - q.prefillTime(e.remaining)
}

func (q *Queue) chunkTime() time.Duration { return q.prefillTime(q.settings.ChunkTokens) }

// prefillTime is the time that the tokens take at the measured rate.
func (q *Queue) prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / q.prefillRate * float64(time.Second))
}
