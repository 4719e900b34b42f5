package placement

import "time"

// links models the queues of the links of stores: each transfer that a node starts, or that another node reports, is
// added, and the link works them off in real time. Reports carry running totals, so that a lost one is made up for by
// the next.
type links struct {
	// own totals by address, and the totals that other nodes told by node.
	own   map[string]time.Duration
	told  map[string]map[uint32]time.Duration
	queue map[uint32]time.Time
}

func newLinks() *links {
	return &links{own: map[string]time.Duration{}, told: map[string]map[uint32]time.Duration{}, queue: map[uint32]time.Time{}}
}

// start adds a transfer of this node.
func (l *links) start(address string, transfer time.Duration, now time.Time) {
	l.own[address] += transfer
	l.enqueue(hashKey(address), transfer, now)
}

func (l *links) enqueue(key uint32, transfer time.Duration, now time.Time) {
	busy := l.queue[key]
	if busy.Before(now) {
		busy = now
	}
	l.queue[key] = busy.Add(transfer)
}

// report takes the totals of another node. The first report of a node tells nothing about what is in the queue.
func (l *links) report(node string, totals map[uint32]time.Duration, now time.Time) {
	old, known := l.told[node]
	if known {
		for key, total := range totals {
			if added := total - old[key]; added > 0 {
				l.enqueue(key, added, now)
			}
		}
	}
	l.told[node] = totals
}

// forget drops a node that has fallen silent; it may come back with totals from 0.
func (l *links) forget(node string) { delete(l.told, node) }

// backlog returns the time until a new transfer would begin.
func (l *links) backlog(address string, now time.Time) time.Duration {
	return max(0, l.queue[hashKey(address)].Sub(now))
}
