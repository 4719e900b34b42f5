package sched

// displaceFor makes room for an item in a full queue. It reports false if the item itself is the one to refuse.
func (q *Queue) displaceFor(rank *rankQueue, item Item) bool {
	victimRank := q.rankOverPlaces(rank)
	if victimRank == nil {
		return false
	}
	victim := victimRank.largest()
	if victim == nil {
		return false
	}
	if victimRank == rank {
		own := rank.account(q.accountKey(item), q.weightOf(item.Account))
		// Within a rank only a caller that stays smaller than the largest one may displace it.
		if own.load()+float64(item.PromptTokens)/own.weight >= victim.load() {
			rank.deactivate(own)
			return false
		}
	}
	q.drop(victim.newest(), RemovedDisplaced)
	return true
}

// rankOverPlaces returns the least urgent rank that has more waiting requests than its floor of places, counting the
// newcomer as one of its rank.
func (q *Queue) rankOverPlaces(newcomer *rankQueue) *rankQueue {
	for i := len(q.ranks) - 1; i >= 0; i-- {
		rank := q.ranks[i]
		waiting := rank.waiting
		if rank == newcomer {
			waiting++
		}
		floor := int(rank.Floor * float64(q.settings.MaxQueued))
		if waiting > floor && waiting > 0 {
			return rank
		}
	}
	return nil
}

func (a *account) load() float64 { return float64(a.queuedTokens) / a.weight }

// largest returns the account with the most queued tokens for its weight that has a waiting request.
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
