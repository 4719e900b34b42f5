package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// leavingReportTime is how long reports and digests name an instance that was found leaving: a lost one is made up for.
	leavingReportTime = time.Second
	// maxLeaving limits the instances in one report; the list of instances shows the others.
	maxLeaving = 96
)

// leavingNews holds the instances that were found leaving, by the hash of their keys, with the time until which they are
// reported to other nodes.
type leavingNews struct {
	// own were found by this node, zone by this node and the others of its zone.
	own, zone map[uint32]time.Time
	// heard are those reported by other nodes since the last call of notify.
	heard  []uint32
	notify func(hashes []uint32)
}

func newLeavingNews() leavingNews {
	return leavingNews{own: map[uint32]time.Time{}, zone: map[uint32]time.Time{}}
}

// NotifyLeaving makes the tracker call notify with the hashes of the instances that other nodes report as leaving. The
// tracker is not locked then.
func (t *Tracker) NotifyLeaving(notify func(hashes []uint32)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving.notify = notify
}

// ReportLeaving makes the next reports to other nodes name an instance that this node found leaving.
func (t *Tracker) ReportLeaving(key upstreams.Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addNews(t.leaving.own, key.Hash(), now)
	addNews(t.leaving.zone, key.Hash(), now)
}

func addNews(news map[uint32]time.Time, hash uint32, now time.Time) {
	maps.DeleteFunc(news, func(_ uint32, until time.Time) bool { return now.After(until) })
	if _, known := news[hash]; !known {
		news[hash] = now.Add(leavingReportTime)
	}
}

// hear records what another node reports. zone is set for a node of the own zone, whose reports are not known to other
// zones. The caller holds the tracker's lock.
func (n *leavingNews) hear(hashes []uint32, zone bool, now time.Time) {
	n.heard = append(n.heard, hashes...)
	for _, hash := range hashes {
		if zone {
			addNews(n.zone, hash, now)
		}
	}
}

// current returns the news that are still to be reported, maxLeaving at most.
func current(news map[uint32]time.Time, now time.Time) []uint32 {
	maps.DeleteFunc(news, func(_ uint32, until time.Time) bool { return now.After(until) })
	hashes := slices.Collect(maps.Keys(news))
	return hashes[:min(len(hashes), maxLeaving)]
}

// notifyLeaving passes on what was heard. The caller does not hold the lock.
func (t *Tracker) notifyLeaving() {
	t.mu.Lock()
	heard, notify := t.leaving.heard, t.leaving.notify
	t.leaving.heard = nil
	t.mu.Unlock()
	if len(heard) > 0 && notify != nil {
		notify(heard)
	}
}
