package sched

// slotsFor returns the number of free run slots that a rank may use: all free ones except those reserved for the floors of
// other ranks. For a rank without work no more than the headroom is reserved, so that idle slots are used.
func (q *Queue) slotsFor(r *rankQueue) int {
	free := q.settings.MaxRunning - q.running
	if q.settings.Off.Headroom {
		return free
	}
	for _, other := range q.ranks {
		if other != r {
			free -= max(0, q.slotsReserved(other)-other.running)
		}
	}
	return free
}

// slotsReserved returns the number of run slots reserved for a rank.
func (q *Queue) slotsReserved(r *rankQueue) int {
	reserved := int(r.Floor * float64(q.settings.MaxRunning))
	if r.waiting == 0 && r.running == 0 {
		return min(reserved, q.headroom())
	}
	return reserved
}

func (q *Queue) headroom() int {
	return max(1, int(q.settings.Headroom*float64(q.settings.MaxRunning)))
}

// mayStart reports whether an account may take one more slot. The last free slots go only to accounts that hold less than an
// equal share, because a run occupies its slot for seconds and a small caller would have to wait for one to be freed.
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
