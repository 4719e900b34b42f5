package sched

import (
	"container/heap"
	"time"
)

// deadlineHeap orders entries by deadline. Entries that were removed or have been fully granted stay in it until they reach
// the top or compact removes them.
type deadlineHeap []*entry

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].item.Deadline.Before(h[j].item.Deadline) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// fullyGranted reports whether all prompt tokens have been granted.
func (e *entry) fullyGranted() bool { return e.remaining == 0 }

// expire drops requests whose deadline passed before their prefill was fully granted, so that they do not delay work that can
// still be on time.
func (q *Queue) expire(now time.Time) {
	q.compact()
	for len(q.deadlines) > 0 {
		e := q.deadlines[0]
		if !e.removed && !e.fullyGranted() && now.Before(e.item.Deadline) {
			return
		}
		heap.Pop(&q.deadlines)
		if !e.removed && !e.fullyGranted() && !q.settings.Off.DropLate {
			q.drop(e, RemovedExpired)
		}
	}
}

// compact bounds the size of the heap by dropping removed entries, which would otherwise stay until their deadlines.
func (q *Queue) compact() {
	if len(q.deadlines) <= 2*(len(q.entries)+q.settings.MaxRunning) {
		return
	}
	kept := q.deadlines[:0]
	for _, e := range q.deadlines {
		if !e.removed && !e.fullyGranted() {
			kept = append(kept, e)
		}
	}
	clear(q.deadlines[len(kept):])
	q.deadlines = kept
	heap.Init(&q.deadlines)
}

// unreachable reports whether even an idle engine could not finish the prefill before the deadline.
func (q *Queue) unreachable(e *entry, now time.Time) bool {
	if q.prefillRate <= 0 || e.item.Deadline.IsZero() || q.settings.Off.DropLate {
		return false
	}
	return q.slack(e, now) < 0
}
