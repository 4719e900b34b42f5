package sched

import "time"

// Bounds of a rescue, in chunks.
const (
	// rescueMaxChunks bounds the remaining prompt of a rescued request.
	rescueMaxChunks = 2
	// fairSlack is the slack that the request chosen by fair sharing must have at least.
	fairSlack = 3
	// rescueSlack is the slack below which a request is rescued.
	rescueSlack = 5
)

// rescue returns a short request of another account that is about to miss its deadline instead of the one chosen by fair
// sharing, if that one can wait for a chunk. Strict fair sharing would lose the first deadline without benefit to the other
// account. A rescue never follows another one, so that a small caller is delayed by at most one chunk.
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
	if e.remaining > rescueMaxChunks*q.settings.ChunkTokens {
		return false
	}
	slack := q.slack(e, now)
	return slack >= 0 && slack < rescueSlack*q.chunkTime()
}

// slack returns the time until the latest start at which the request can still meet its deadline.
func (q *Queue) slack(e *entry, now time.Time) time.Duration {
	if e.item.Deadline.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return e.item.Deadline.Sub(now) - q.prefillTime(e.remaining)
}

func (q *Queue) chunkTime() time.Duration { return q.prefillTime(q.settings.ChunkTokens) }

// prefillTime returns the time to compute the tokens at the measured rate.
func (q *Queue) prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / q.prefillRate * float64(time.Second))
}
