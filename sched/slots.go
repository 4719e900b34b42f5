package sched

// slotsFor returns the free run slots that a rank may use: all free ones without those kept for the floors of other
// ranks. A rank without work keeps only the headroom of its floor, so that idle slots are used.
func (q *Queue) slotsFor(r *rankQueue) int {
	free := q.settings.MaxRunning - q.running
	if q.settings.Off.Headroom {
		return free
	}
	for _, other := range q.ranks {
		if other != r {
			free -= max(0, q.slotsKept(other)-other.running)
		}
	}
	return free
}

func (q *Queue) slotsKept(r *rankQueue) int {
	kept := int(r.Floor * float64(q.settings.MaxRunning))
	if r.waiting == 0 && r.running == 0 {
		return min(kept, q.headroom())
	}
	return kept
}

func (q *Queue) headroom() int {
	return max(1, int(q.settings.Headroom*float64(q.settings.MaxRunning)))
}

// mayStart decides whether an account may take one more slot. The last free slots go only to accounts that hold less
// than an equal part, because a run keeps its slot for seconds and a small caller would wait for all of them.
func (q *Queue) mayStart(slots int, r *rankQueue, a *account) bool {
	if slots <= 0 {
		return false
	}
	if slots > q.headroom() || q.settings.Off.Headroom || q.settings.Off.FairShare {
		return true
	}
	equal := q.settings.MaxRunning / (len(r.active) + 1)
	return a.running < max(1, equal)
}
