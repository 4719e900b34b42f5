package kv

import (
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// export is one piece that waits for its export.
type export struct {
	name  piece.Name
	scope piece.Scope
	bytes int64
	saves time.Duration
	used  time.Time
	value float64
	// copies is the number of stores that the piece is worth, 1 or 2.
	copies int
}

// exportQueue holds the pieces that wait for their export. It is bounded: the least valuable piece gives way.
type exportQueue struct {
	limit int

	mu      sync.Mutex
	waiting map[string]*export
	// wake has one slot; a value in it means that an exporter may find work.
	wake chan struct{}
}

func newExportQueue(limit int) *exportQueue {
	return &exportQueue{limit: limit, waiting: map[string]*export{}, wake: make(chan struct{}, 1)}
}

// push queues a piece, or refreshes the one that waits. It reports whether a piece was dropped for lack of room.
func (q *exportQueue) push(e *export) (dropped bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := e.name.String()
	if _, ok := q.waiting[key]; !ok && len(q.waiting) >= q.limit {
		least := q.best(func(a, b *export) bool { return a.value < b.value })
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

func (q *exportQueue) best(before func(a, b *export) bool) *export {
	var best *export
	for _, e := range q.waiting {
		if best == nil || before(e, best) {
			best = e
		}
	}
	return best
}

// pop takes the next piece: those last used before the given time are close to their eviction and go first; among
// equals the most valuable one, then the one used longest ago.
func (q *exportQueue) pop(riskyBefore time.Time) *export {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := q.best(func(a, b *export) bool {
		riskyA, riskyB := a.used.Before(riskyBefore), b.used.Before(riskyBefore)
		switch {
		case riskyA != riskyB:
			return riskyA
		case a.value != b.value:
			return a.value > b.value
		default:
			return a.used.Before(b.used)
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
