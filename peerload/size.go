package peerload

import (
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// maxDatagram limits a datagram in bytes: larger ones are sent in many fragments, and losing one fragment loses them
// all.
const maxDatagram = 16 << 10

// split distributes digests that don't fit into one datagram over several.
func split(d *nodepb.LoadDatagram) []*nodepb.LoadDatagram {
	if len(d.GetDigests()) < 2 || proto.Size(d) <= maxDatagram {
		return []*nodepb.LoadDatagram{d}
	}
	var out []*nodepb.LoadDatagram
	size := maxDatagram
	for _, digest := range d.GetDigests() {
		if size += proto.Size(digest); size > maxDatagram {
			out = append(out, &nodepb.LoadDatagram{PassedOn: d.GetPassedOn()})
			size = proto.Size(digest)
		}
		last := out[len(out)-1]
		last.Digests = append(last.Digests, digest)
	}
	return out
}

// shrink drops the least important contents of a report that does not fit into one datagram: they are sent again, or
// other nodes report them.
func shrink(r *nodepb.LoadReport) bool {
	if proto.Size(r) <= maxDatagram {
		return false
	}
	r.LateKeys, r.LateSums, r.LateCounts, r.Speeds = nil, nil, nil, nil
	if proto.Size(r) > maxDatagram {
		r.Reads = nil
	}
	if excess := proto.Size(r) - maxDatagram; excess > 0 {
		// Entries take about ten bytes; instances that are left out count as idle.
		n := max(1, len(r.GetKeys())-excess/8)
		r.Keys, r.Requests, r.HeldTokens = r.Keys[:n], r.Requests[:n], r.HeldTokens[:n]
		r.PrefillTokens, r.LongTokens = r.PrefillTokens[:n], r.LongTokens[:n]
	}
	return true
}
