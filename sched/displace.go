package sched

// displaceFor drops a waiting request to make room for an item in a full queue. It reports false if the item itself must be
// refused.
func (q *Queue) displaceFor(rank *rankQueue, item Item) bool {
	victimRank := q.rankAboveFloor(rank)
	if victimRank == nil {
		return false
	}
	victim := victimRank.largest()
	if victim == nil {
		return false
	}
	if victimRank == rank {
		sender := rank.account(q.accountKey(item), q.weightOf(item.Account))
		// Within a rank, only an account whose load stays below the largest one may displace it.
		if sender.load()+float64(item.PromptTokens)/sender.weight >= victim.load() {
			rank.deactivate(sender)
			return false
		}
	}
	q.drop(victim.newest(), RemovedDisplaced)
	return true
}

// rankAboveFloor returns the least urgent rank that has more waiting requests than its floor's share of MaxQueued. The new
// request counts as a request of the rank itemRank.
func (q *Queue) rankAboveFloor(itemRank *rankQueue) *rankQueue {
	for i := len(q.ranks) - 1; i >= 0; i-- {
		rank := q.ranks[i]
		waiting := rank.waiting
		if rank == itemRank {
			waiting++
		}
		floor := int(rank.Floor * float64(q.settings.MaxQueued))
		if waiting > floor && waiting > 0 {
			return rank
		}
	}
	return nil
}

// load returns the queued tokens divided by the weight.
func (a *account) load() float64 { return float64(a.queuedTokens) / a.weight }

// largest returns the account with the highest load of those that have a waiting request.
func (r *rankQueue) largest() *account {
	var largest *account
	for _, a := range r.active {
		if len(a.short)+len(a.long) == 0 {
			continue
		}
		if largest == nil || a.load() > largest.load() {
			largest = a
		}
	}
	return largest
}

// newest returns the waiting request that arrived last.
func (a *account) newest() *entry {
	var newest *entry
	for _, h := range []waitHeap{a.short, a.long} {
		for _, w := range h {
			if newest == nil || w.sequence > newest.sequence {
				newest = w.entry
			}
		}
	}
	return newest
}
