// Package upstreamlimit keeps the number of requests a second that an instance takes from all nodes together.
//
// An instance in need names its limit in its answers. For each such instance one node, its first owner, hands out permits to send, and the
// others ask it before each request. If the first owner does not answer, the second one hands out a share of the limit. Core and the types that
// it is made of have no clock, no sockets and no goroutines; Limiter joins them with those.
package upstreamlimit

import (
	"math"
	"time"
)

// Notice is what an instance last said of its limit.
type Notice struct {
	// PerSecond is the number of requests a second that the instance takes; it is only set if Limited is.
	PerSecond float64
	Limited   bool
	// At is the time of the newest answer that says so: for a limit when the answer arrived, for the end of a limit when its request was sent.
	// An answer to a request that was sent before a limit was named may be older than the limit.
	At time.Time
	// ChangedAt is when this node learned of the newest change.
	ChangedAt time.Time
}

// Change is how an answer or the word of another node changed what is known of an instance.
type Change int

// Changes of a notice.
const (
	Unchanged Change = iota
	Began
	Changed
	Ended
)

const (
	// maxNotices bounds the memory for instances with limits.
	maxNotices = 4096
	// endedMemory is how long the end of a limit is kept: an older notice of a limit may arrive as late.
	endedMemory = time.Minute
)

// Notices holds the notices of instances by the hash of their keys. An incarnation of an instance has a key of its own.
type Notices struct{ byHash map[uint32]Notice }

// Name records that an answer named a limit.
func (n *Notices) Name(hash uint32, perSecond float64, receivedAt, now time.Time) Change {
	return n.merge(hash, Notice{PerSecond: perSecond, Limited: true, At: receivedAt}, now)
}

// Clear records that an answer to a request that was sent at sentAt named no limit.
func (n *Notices) Clear(hash uint32, sentAt, now time.Time) Change {
	if known, ok := n.byHash[hash]; !ok || !known.Limited {
		return Unchanged
	}
	return n.merge(hash, Notice{At: sentAt}, now)
}

// merge takes a notice that is newer than the known one.
func (n *Notices) merge(hash uint32, notice Notice, now time.Time) Change {
	known, ok := n.byHash[hash]
	if ok && !notice.At.After(known.At) || !ok && !notice.Limited {
		return Unchanged
	}
	change := Changed
	switch {
	case !notice.Limited && !known.Limited, notice.Limited && known.Limited && notice.PerSecond == known.PerSecond:
		change = Unchanged
	case !notice.Limited:
		change = Ended
	case !known.Limited:
		change = Began
	}
	notice.ChangedAt = known.ChangedAt
	if change != Unchanged {
		notice.ChangedAt = now
	}
	if n.byHash == nil {
		n.byHash = map[uint32]Notice{}
	}
	if !ok && len(n.byHash) >= maxNotices {
		n.dropOldest()
	}
	n.byHash[hash] = notice
	return change
}

func (n *Notices) dropOldest() {
	var oldest uint32
	var at time.Time
	for hash, notice := range n.byHash {
		if at.IsZero() || notice.At.Before(at) {
			oldest, at = hash, notice.At
		}
	}
	delete(n.byHash, oldest)
}

// Of returns the limit of an instance, and false if it has none.
func (n *Notices) Of(hash uint32) (perSecond float64, limited bool) {
	notice := n.byHash[hash]
	return notice.PerSecond, notice.Limited
}

// Known returns the notice of an instance.
func (n *Notices) Known(hash uint32) (Notice, bool) {
	notice, ok := n.byHash[hash]
	return notice, ok
}

// Retain drops what is known of instances that are not listed, and limits that have ended long ago.
func (n *Notices) Retain(listed func(hash uint32) bool, now time.Time) {
	for hash, notice := range n.byHash {
		if now.Sub(notice.At) > endedMemory && (!notice.Limited || !listed(hash)) {
			delete(n.byHash, hash)
		}
	}
}

// Usable reports whether a number can be a limit.
func Usable(perSecond float64) bool {
	return !math.IsNaN(perSecond) && !math.IsInf(perSecond, 0) && perSecond >= 0
}
