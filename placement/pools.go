package placement

import (
	"time"

	"github.com/wasabishunt/wasabishunt/serving/prefillpool"
)

const (
	// overflowShare is the share of a request's target that it waits longer in its own pool before it goes to the other one.
	overflowShare = 0.6
	// stallWeight is the cost of a pause in a stream relative to the same time before its first event.
	stallWeight = 0.3
)

// isAvailableInPool reports whether an engine belongs to the pool of the request and can be a home of its prompt.
func (c *Candidate) isAvailableInPool() bool {
	return !c.OtherPool && !c.Evacuated && !c.Ejected && !c.Instance.Draining
}

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

// markPool marks the engines that read long prompts. The caller holds the lock.
func (t *Tracker) markPool(q *Request, candidates []Candidate, now time.Time) {
	if len(candidates) == 0 {
		return
	}
	service := candidates[0].Instance.Service
	d := t.longDemand[service]
	if d == nil {
		d = &prefillpool.Demand{}
		t.longDemand[service] = d
	}
	tokens, requests := 0, 0
	for i := range candidates {
		tokens += candidates[i].LongTokens
		requests += candidates[i].Requests
	}
	d.Observe(tokens, requests, candidates[0].Instance.Slots, now)
	share := d.Share()
	if share == 0 {
		return
	}
	available := false
	for i := range candidates {
		c := &candidates[i]
		c.OtherPool = (prefillpool.Position(service, c.Instance.ID) < share) != q.Urgency.isLong()
		available = available || c.isAvailableInPool()
	}
	if available {
		return
	}
	// A small share may contain no engine. Without an engine of its pool the request would have no home and only a small sample.
	for i := range candidates {
		candidates[i].OtherPool = false
	}
}
