package kv

import (
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// export is one piece queued for export.
type export struct {
	name          piece.Name
	scope         piece.Scope
	bytes         int64
	recomputeTime time.Duration
	lastUse       time.Time
	value         float64
	// copies is the number of stores that should hold the piece, 1 or 2.
	copies int
}

// exportQueue holds the pieces queued for export. It is bounded: the least valuable piece is dropped.
type exportQueue struct {
	limit int

	mu      sync.Mutex
	waiting map[string]*export
	// wake has a buffer of one; a value in it means that an exporter may find work.
	wake chan struct{}
}

func newExportQueue(limit int) *exportQueue {
	return &exportQueue{limit: limit, waiting: map[string]*export{}, wake: make(chan struct{}, 1)}
}

// push queues a piece, or replaces its queued entry. It reports whether a piece was dropped because the queue is full.
func (q *exportQueue) push(e *export) (dropped bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := e.name.String()
	if _, ok := q.waiting[key]; !ok && len(q.waiting) >= q.limit {
		least := q.first(func(a, b *export) bool { return a.value < b.value })
		if least.value >= e.value {
			return true
		}
		delete(q.waiting, least.name.String())
		dropped = true
	}
	q.waiting[key] = e
	q.signal()
	return dropped
}

func (q *exportQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// first returns the piece that sorts before all others. The caller holds mu.
func (q *exportQueue) first(before func(a, b *export) bool) *export {
	var best *export
	for _, e := range q.waiting {
		if best == nil || before(e, best) {
			best = e
		}
	}
	return best
}

// pop returns the next piece: first those last used before the given time, which are close to eviction; then the most
// valuable one; then the least recently used one.
func (q *exportQueue) pop(riskyBefore time.Time) *export {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := q.first(func(a, b *export) bool {
		riskyA, riskyB := a.lastUse.Before(riskyBefore), b.lastUse.Before(riskyBefore)
		switch {
		case riskyA != riskyB:
			return riskyA
		case a.value != b.value:
			return a.value > b.value
		default:
			return a.lastUse.Before(b.lastUse)
		}
	})
	if next == nil {
		return nil
	}
	delete(q.waiting, next.name.String())
	q.signal()
	return next
}

func (q *exportQueue) remove(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, name)
}
