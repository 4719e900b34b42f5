package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/objectset"
)

// rankQueue holds the work of one rank.
type rankQueue struct {
	objectset.Rank
	accounts map[string]*account
	// active accounts have waiting or running requests.
	active []*account
	// clock is the rank's virtual time: the highest one of an account when it was served.
	clock float64
	// credit is the floor service in tokens that the rank is entitled to; negative if it has received more.
	credit float64
	// unmet is the recent demand in tokens that was refused or dropped.
	unmet        float64
	recent       usage
	queuedTokens int64
	waiting      int
	running      int
}

// Configure applies the ranks and weights of a new object set. Queued requests keep their positions.
func (q *Queue) Configure(config Config) {
	q.weights = config.Weights
	ranks := slices.Clone(config.Ranks)
	if len(ranks) == 0 || q.settings.Off.Ranks {
		ranks = []objectset.Rank{{Name: "default"}}
	}
	slices.SortStableFunc(ranks, func(a, b objectset.Rank) int { return cmp.Compare(a.Order, b.Order) })
	old := q.byName
	q.ranks, q.byName = nil, make(map[string]*rankQueue, len(ranks))
	for _, rank := range ranks {
		queue := old[rank.Name]
		if queue == nil {
			queue = &rankQueue{accounts: map[string]*account{}}
		}
		queue.Rank = rank
		q.ranks = append(q.ranks, queue)
		q.byName[rank.Name] = queue
	}
	q.retainRemovedRanks(old)
	q.pace = q.floorPace()
}

// retainRemovedRanks keeps ranks that are not in the new set as the least urgent ones until their requests have ended.
func (q *Queue) retainRemovedRanks(old map[string]*rankQueue) {
	for name, queue := range old {
		if q.byName[name] == nil && len(queue.active) > 0 {
			queue.Floor = 0
			q.byName[name] = queue
			q.ranks = append(q.ranks, queue)
		}
	}
}

func (q *Queue) rankOf(name string) *rankQueue {
	if rank, ok := q.byName[name]; ok {
		return rank
	}
	return q.ranks[len(q.ranks)-1]
}

func (r *rankQueue) backlogged() bool { return r.queuedTokens > 0 }

// choose returns the entry to serve next and the rule by which it was chosen.
func (q *Queue) choose(now time.Time) (*entry, string) {
	longAllowed := q.settings.Off.LongBudget || q.budget.allows()
	if e, rule := q.chooseRank(longAllowed, now); e != nil || longAllowed {
		return e, rule
	}
	// Only long prefixes are waiting. The budget must not leave the engine idle.
	e, rule := q.chooseRank(true, now)
	return e, rule
}

func (q *Queue) chooseRank(longAllowed bool, now time.Time) (*entry, string) {
	var first *entry
	for _, rank := range q.ranks {
		if first != nil && !q.earnedFloorChunk(rank) {
			continue
		}
		e := q.chooseAccount(rank, longAllowed, now)
		if e != nil && first != nil {
			return e, ruleFloor
		}
		if e != nil {
			first = e
		}
	}
	return first, q.orderRule(longAllowed)
}

// orderRule returns the reason for a grant by the order of ranks.
func (q *Queue) orderRule(longAllowed bool) string {
	if longAllowed {
		return ruleOrder
	}
	return ruleBudget
}
