package upstreamlimit

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owners returns the two nodes that hand out the permits of an instance, by rendezvous hashing: all nodes with the same list agree, and a change
// of the list moves few instances. second is "" if there is one node only.
func Owners(hash uint32, nodes []string) (first, second string) {
	var best, next uint64
	for _, node := range nodes {
		score := ownerScore(hash, node)
		switch {
		case first == "" || score > best:
			second, next = first, best
			first, best = node, score
		case second == "" || score > next:
			second, next = node, score
		}
	}
	return first, second
}

func ownerScore(hash uint32, node string) uint64 {
	key := binary.LittleEndian.AppendUint32(make([]byte, 0, 4+len(node)), hash)
	return xxhash.Sum64(append(key, node...))
}

// owners is the list of nodes as one of them knows it.
type owners struct {
	self  string
	nodes []string
	// before is the list of settleTime ago, and changedAt the time of the newest change since.
	before    []string
	changedAt time.Time
	// confirmedAt is when this node last heard from the leader, who keeps the list, and contactSince the begin of the contact.
	confirmedAt  time.Time
	contactSince time.Time
}

// confirm records a word of the leader.
func (o *owners) confirm(now time.Time) {
	if now.Sub(o.confirmedAt) > confirmTimeout {
		o.contactSince = now
	}
	o.confirmedAt = now
}

// set replaces the list of nodes. A node that is not listed is no first owner: the others do not know of it.
func (o *owners) set(nodes []string, now time.Time) {
	nodes = slices.Sorted(slices.Values(nodes))
	if slices.Equal(nodes, o.nodes) {
		return
	}
	if now.Sub(o.changedAt) >= settleTime {
		o.before = o.nodes
	}
	o.nodes, o.changedAt = nodes, now
}

// share returns the share of an instance's limit that this node hands out: the whole only if it is the first owner, was so before the list
// changed, and is in contact with the leader for settleTime. Of two sides that hold each other for dead, one has no leader. Once they meet again, nodes
// still ask the owner of before, whose list may have changed unlike that of this node.
func (o *owners) share(hash uint32, now time.Time) float64 {
	if now.Sub(o.confirmedAt) > confirmTimeout || now.Sub(o.contactSince) < settleTime {
		return doubtShare
	}
	if first, _ := Owners(hash, o.nodes); first != o.self {
		return doubtShare
	}
	if now.Sub(o.changedAt) < settleTime {
		if earlier, _ := Owners(hash, o.before); earlier != o.self {
			return doubtShare
		}
	}
	return 1
}
