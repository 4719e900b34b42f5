package sched

// outstanding counts the tokens granted and not yet computed, by the priority passed to the engine.
type outstanding map[int]int64

func (o outstanding) add(priority int, tokens int64) {
	if o[priority] += tokens; o[priority] == 0 {
		delete(o, priority)
	}
}

// outstandingBefore returns the granted tokens that the engine computes before a chunk of the given priority.
func (q *Queue) outstandingBefore(priority int) int64 {
	tokens := int64(0)
	for p, n := range q.outstanding {
		if p <= priority || !q.settings.EnginePriorities {
			tokens += n
		}
	}
	return tokens
}

// priority returns the priority of an entry's next chunk.
func (q *Queue) priority(e *entry, rule string) int {
	if rule == ruleFloor {
		return min(e.rank.Order, q.ranks[0].Order)
	}
	return e.rank.Order
}
