// Package retrybudget limits how many requests a node sends to a second upstream.
//
// The limit applies to all nodes together: each may retry a share of its own first sends, plus an equal part of a
// fixed allowance. A node that has just started has no allowance, since the process before it may have spent it.
package retrybudget

import (
	"sync"
	"time"
)

// Limits are the limits of a deployment.
type Limits struct {
	// Ratio is the ratio of repeats to requests within a window.
	Ratio float64
	// Allowance is the number of repeats that all nodes may add to the ratio within a window.
	Allowance float64
	Window    time.Duration
}

const (
	// buckets is the number of buckets into which a sliding window is divided.
	buckets = 20
	// ratioShare and allowanceShare leave a margin because the windows of different nodes end at different times.
	ratioShare     = 0.8
	allowanceShare = 0.5
)

// Budget is the budget of one node. Its mu is a leaf lock: no other lock is acquired while it is held.
type Budget struct {
	limits Limits
	now    func() time.Time

	mu       sync.Mutex
	started  time.Time
	nodes    int
	services map[string]*window
}

// window holds the counts of one service as a ring of buckets.
type window struct {
	slots [buckets]count
	// current is the number of the newest bucket since the start.
	current int64
}

type count struct{ requests, repeats float64 }

// New returns a Budget for one node until SetNodes is called.
func New(limits Limits, now func() time.Time) *Budget {
	return &Budget{limits: limits, now: now, started: now(), nodes: 1, services: map[string]*window{}}
}

// SetNodes sets the number of nodes that share the allowance.
func (b *Budget) SetNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, nodes)
}

// RecordRequest records the first send of a request to a service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.slots[w.current%buckets].requests++
}

// TakeRepeat takes one repeat from the budget, and reports false if the budget is exhausted.
func (b *Budget) TakeRepeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	var sum count
	for _, c := range w.slots {
		sum.requests += c.requests
		sum.repeats += c.repeats
	}
	limit := ratioShare * b.limits.Ratio * sum.requests
	if b.now().Sub(b.started) >= b.limits.Window {
		limit += allowanceShare * b.limits.Allowance / float64(b.nodes)
	}
	if sum.repeats+1 > limit {
		return false
	}
	w.slots[w.current%buckets].repeats++
	return true
}

// window returns the window of a service, advanced to the present.
func (b *Budget) window(service string) *window {
	newest := int64(b.now().Sub(b.started) / (b.limits.Window / buckets))
	w := b.services[service]
	if w == nil {
		w = &window{current: newest}
		b.services[service] = w
	}
	if newest-w.current >= buckets {
		w.slots = [buckets]count{}
		w.current = newest
	}
	for w.current < newest {
		w.current++
		w.slots[w.current%buckets] = count{}
	}
	return w
}
