// Package bench simulates the serving decisions in virtual time: seeded traces run through the same routing, admission,
// sched, fetchplan, linksched and cachevalue code as the live processes, with a simple time model of engines and links.
// One run is single-threaded and depends only on its configuration and seed.
package bench

import (
	"container/heap"
	"time"
)

// epoch is the wall time of virtual time zero.
var epoch = time.Unix(1_700_000_000, 0)

// sim is a discrete-event simulator: the virtual clock and the scheduled events.
type sim struct {
	now      time.Duration
	events   eventHeap
	sequence uint64
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

// schedule adds an event at a virtual time; a time in the past is replaced by the current time.
func (s *sim) schedule(at time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{max(at, s.now), s.sequence, run})
}

func (s *sim) after(d time.Duration, run func()) { s.schedule(s.now+d, run) }

// run executes all events up to the end time.
func (s *sim) run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// eventHeap orders events by time, then by order of creation.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
