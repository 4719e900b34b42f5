// Package upstreamlimit keeps the number of requests a second that an instance takes from all nodes together.
//
// An instance in need names its limit in its answers. For each such instance one node, its first owner, hands out permits to send, and the
// others ask it before each request. If the first owner does not answer, the second one hands out a share of the limit. Spare requests, which are less
// urgent than others of their service, leave a reserve. Core and the types that
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
	// At is since when it is known to hold: for the begin of a limit and for a lower one when the answer arrived, for a higher one and for the end
	// when the request of the answer was sent. An answer may be older than those that arrived since its request was sent.
	At time.Time
	// ArrivedAt is when the newest answer that says so arrived. Only the answer to a later request raises or ends the limit.
	ArrivedAt time.Time
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

// Name records that the answer to a request that was sent at sentAt and arrived at receivedAt named a limit.
func (n *Notices) Name(hash uint32, perSecond float64, sentAt, receivedAt, now time.Time) Change {
	known := n.byHash[hash]
	notice := Notice{PerSecond: perSecond, Limited: true, At: receivedAt, ArrivedAt: receivedAt}
	switch {
	case known.Limited && perSecond == known.PerSecond:
		known.At, known.ArrivedAt = later(known.At, sentAt), later(known.ArrivedAt, receivedAt)
		n.byHash[hash] = known
		return Unchanged
	case known.Limited && perSecond > known.PerSecond:
		if !sentAt.After(known.ArrivedAt) {
			return Unchanged
		}
		notice.At = sentAt
	case !receivedAt.After(known.At):
		return Unchanged
	}
	n.set(hash, notice, now)
	if known.Limited {
		return Changed
	}
	return Began
}

// Clear records that an answer to a request that was sent at sentAt named no limit.
func (n *Notices) Clear(hash uint32, sentAt, now time.Time) Change {
	if known := n.byHash[hash]; !known.Limited || !sentAt.After(known.ArrivedAt) {
		return Unchanged
	}
	n.set(hash, Notice{At: sentAt, ArrivedAt: sentAt}, now)
	return Ended
}

// set records a change.
func (n *Notices) set(hash uint32, notice Notice, now time.Time) {
	if n.byHash == nil {
		n.byHash = map[uint32]Notice{}
	}
	if _, ok := n.byHash[hash]; !ok && len(n.byHash) >= maxNotices {
		n.dropOldest()
	}
	notice.ChangedAt = now
	n.byHash[hash] = notice
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
