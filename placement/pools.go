package placement

import (
	"github.com/wasabishunt/wasabishunt/serving/prefillpool"
)

const (
	// overflowShare is the share of a request's target that it waits longer in its own pool before it goes to the other one.
	overflowShare = 0.6
	// stallWeight is the cost of a pause in a stream relative to the same time before its first event.
	stallWeight = 0.3
)

// poolCost is the cost of an engine of the pool for prompts of the other length, and, for a short prompt, of the pause that the long prompts at the
// engine cause in its stream.
func poolCost(q *Request, c *Candidate) float64 {
	if !q.Uneven {
		return 0
	}
	cost := 0.0
	if c.OtherPool {
		cost += overflowShare * toMs(q.Target)
	}
	if !q.Urgency.isLong() && q.GapTarget > 0 {
		cost += float64(c.LongTokens) / max(1, c.ReadRate) * stallWeight
	}
	return cost
}

// markPool marks the engines that read prompts of the other length. The caller holds the lock.
func (d *decision) markPool() {
	if len(d.fleet.list) == 0 {
		return
	}
	t, service := d.tracker, d.fleet.list[0].Service
	demand := t.longDemand[service]
	if demand == nil {
		demand = &prefillpool.Demand{}
		t.longDemand[service] = demand
	}
	tokens, requests := 0, 0
	for _, s := range d.fleet.states {
		tokens += s.longTokens + s.others.longTokens
		requests += s.requests + s.others.requests
	}
	demand.Observe(tokens, requests, d.fleet.list[0].Slots, d.now)
	share := demand.Share()
	if share == 0 {
		return
	}
	available, isLong := false, d.q.Urgency.isLong()
	for i, position := range d.fleet.poolOrder() {
		d.marks[i].set(isInOtherPool, (position < share) != isLong)
		available = available || d.marks[i]&unavailable == 0
	}
	if available {
		return
	}
	// A small share may contain no engine. Without an engine of its pool the request would have no home and only a small sample.
	for i := range d.marks {
		d.marks[i] &^= isInOtherPool
	}
}
