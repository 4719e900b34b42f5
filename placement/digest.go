package placement

import (
	"slices"
	"strconv"
	"time"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/speed"
)

const (
	// minSlots is the number of digests within which all sums are sent again, so that a lost digest is made up for.
	minSlots = 16
	// sumsPerSlot is the number of sums of one slot that fit into a datagram besides the changes.
	sumsPerSlot = 200
	// maxChanges limits the other changes in one digest; the rest is sent with the next.
	maxChanges = 500
	// maxForwarded limits the reads in one digest: the nodes of a zone forward about 15 requests between two digests.
	maxForwarded = 96
)

// pendingForwards is what the nodes of the zone reported since the last digest.
type pendingForwards struct {
	reads    []promptRead
	replaced []uint32
}

func (f *pendingForwards) add(reads []promptRead, replaced []uint32) {
	f.reads = append(f.reads, reads[:min(len(reads), max(0, maxForwarded-len(f.reads)))]...)
	f.replaced = append(f.replaced, replaced[:min(len(replaced), max(0, maxForwarded-len(f.replaced)))]...)
}

// digestState is what the digests of this node contained so far.
type digestState struct {
	count     uint64
	instances map[uint32]usage
	transfers map[uint32]time.Duration
}

// Digest merges what this node and the others of its zone have in progress. The relay of the zone calls it; the first
// digest contains everything.
func (t *Tracker) Digest(now time.Time) *nodepb.ZoneDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	sums := t.zoneSums()
	d := &nodepb.ZoneDigest{Nodes: uint32(t.peers.nodeCount() + 1), Slots: uint32(max(minSlots, len(sums)/sumsPerSlot+1))}
	d.Slot = uint32(t.lastDigest.count % uint64(d.Slots))
	full := t.lastDigest.count%minSlots == 0
	t.lastDigest.count++
	for key, sum := range sums {
		inSlot := key%d.GetSlots() == d.GetSlot()
		if inSlot || sum != t.lastDigest.instances[key] && len(d.GetKeys()) < maxChanges {
			appendUsage(d, key, sum)
			t.lastDigest.instances[key] = sum
		}
	}
	for key := range t.lastDigest.instances {
		if _, busy := sums[key]; !busy {
			appendUsage(d, key, usage{})
			delete(t.lastDigest.instances, key)
		}
	}
	for key, total := range t.links.zoneTransfers {
		if full || total != t.lastDigest.transfers[key] {
			d.StoreKeys = append(d.StoreKeys, key)
			d.TransferMs = append(d.TransferMs, uint32(total.Milliseconds()))
			t.lastDigest.transfers[key] = total
		}
	}
	if full {
		for key, total := range t.links.zoneLateness {
			d.LateKeys = append(d.LateKeys, key)
			d.LateSums = append(d.LateSums, int64(latenessScale*total.sum))
			d.LateCounts = append(d.LateCounts, total.count)
		}
	}
	t.appendUnresponsive(d)
	if len(t.pending.reads) > 0 {
		d.Reads = &nodepb.PromptReads{}
		for _, read := range t.pending.reads {
			appendRead(d.Reads, read, now)
		}
	}
	for name, source := range t.peers.byName {
		d.MergedNodes = append(d.MergedNodes, hashKey(name))
		d.MergedSequences = append(d.MergedSequences, uint32(source.sequence))
	}
	d.Replaced = t.pending.replaced
	d.Speeds = encodeSpeeds(t.speeds.Digest(now))
	d.Leaving = current(t.leaving.zone, now)
	t.pending = pendingForwards{}
	return d
}

// zoneSums adds what this node has in progress to what the others of its zone reported.
func (t *Tracker) zoneSums() map[uint32]usage {
	sums := make(map[uint32]usage, len(t.peers.instances))
	for key, u := range t.peers.instances {
		sums[key] = u
	}
	for key, s := range t.instances {
		if s.requests > 0 {
			hash := hashKey(key.ID)
			sums[hash] = sums[hash].plus(s.usage(), 1)
		}
	}
	return sums
}

func appendUsage(d *nodepb.ZoneDigest, key uint32, u usage) {
	d.Keys = append(d.Keys, key)
	d.Requests = append(d.Requests, uint32(max(0, u.requests)))
	d.PrefillTokens = append(d.PrefillTokens, uint32(max(0, u.prefillTokens)))
	d.LongTokens = append(d.LongTokens, uint32(max(0, u.longTokens)))
	d.HeldTokens = append(d.HeldTokens, uint32(max(0, u.heldTokens)))
}

func (t *Tracker) appendUnresponsive(d *nodepb.ZoneDigest) {
	nodes := map[uint32]int{}
	for _, source := range t.peers.byName {
		for key, n := range source.unresponsive {
			nodes[key] += n
		}
	}
	for key, s := range t.instances {
		if s.unresponsive && s.foundHere {
			nodes[hashKey(key.ID)]++
		}
	}
	for key, n := range nodes {
		d.Silent = append(d.Silent, key)
		d.SilentNodes = append(d.SilentNodes, uint32(n))
	}
}

// ApplyDigest applies the digest of a zone. ownNode is the name of this node if the zone is its own: this node's part
// of the sums is then replaced by its own, newer state. It returns the instances that are ejected as unresponsive by
// this digest, and whether the digest was applied.
func (t *Tracker) ApplyDigest(d *nodepb.ZoneDigest, ownNode string, now time.Time) (ejected []string, applied bool) {
	instances, ok := decodeUsage(d.GetKeys(), d.GetRequests(), d.GetPrefillTokens(), d.GetLongTokens(), d.GetHeldTokens())
	totals, okTotals := decodeTransfers(d.GetStoreKeys(), d.GetTransferMs())
	if !ok || !okTotals || len(d.GetSilentNodes()) != len(d.GetSilent()) || d.GetSlots() == 0 {
		return nil, false
	}
	defer t.notifyLeaving()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	source := t.digestSource(d, now)
	if source == nil {
		return nil, false
	}
	for key := range source.instances {
		if _, listed := instances[key]; !listed && key%d.GetSlots() == d.GetSlot() {
			t.zones.set(source, key, usage{})
		}
	}
	for key, u := range instances {
		t.zones.set(source, key, u)
	}
	if ownNode != "" {
		t.dropReports(now)
		t.ownZone = d.GetZone()
		t.setMerged(t.history.find(mergedSequence(d, ownNode)))
		if t.merged.instances == nil {
			// The relay has no recent report of this node: the node's part of the totals is unknown and would count
			// as a queue.
			t.links.dropSource(source.totalsName)
			totals = nil
		}
		totals = t.merged.subtractFrom(totals)
	}
	unresponsive := make(map[uint32]int, len(d.GetSilent()))
	for i, key := range d.GetSilent() {
		unresponsive[key] = int(d.GetSilentNodes()[i])
	}
	ejected = t.applyUnresponsive(source, unresponsive, now)
	t.links.applyTransferTotals(source.totalsName, false, totals, now)
	t.links.applyLatenessTotals(source.totalsName, false, decodeLateness(d.GetLateKeys(), d.GetLateSums(), d.GetLateCounts()), now)
	t.applyReplaced(d.GetReplaced())
	t.leaving.hear(d.GetLeaving(), false, now)
	t.applyReads(decodeReads(d.GetReads(), now))
	t.applyZoneSpeeds(source, d, ownNode != "", now)
	return ejected, true
}

// digestSource returns the state of the digest's zone, nil if a newer digest was applied. A change of the relay
// starts new totals.
func (t *Tracker) digestSource(d *nodepb.ZoneDigest, now time.Time) *loadSource {
	source := t.zones.byName[d.GetZone()]
	switch {
	case source == nil:
		source = &loadSource{instances: map[uint32]usage{}}
		t.zones.byName[d.GetZone()] = source
	case source.relay == d.GetRelay() && source.sequence >= d.GetSequence():
		return nil
	}
	if source.relay != d.GetRelay() || source.totalsName == "" {
		t.links.dropSource(source.totalsName)
		t.speeds.Drop(source.totalsName, now)
		source.relay, source.totalsName = d.GetRelay(), d.GetZone()+"/"+strconv.FormatUint(uint64(d.GetRelay()), 16)
	}
	source.sequence, source.receivedAt, source.nodes = d.GetSequence(), now, int(d.GetNodes())
	return source
}

func mergedSequence(d *nodepb.ZoneDigest, node string) uint32 {
	if len(d.GetMergedSequences()) != len(d.GetMergedNodes()) {
		return 0
	}
	if i := slices.Index(d.GetMergedNodes(), hashKey(node)); i >= 0 {
		return d.GetMergedSequences()[i]
	}
	return 0
}

// dropReports drops the reports that the digest of the own zone contains too.
func (t *Tracker) dropReports(now time.Time) {
	for name, source := range t.peers.byName {
		t.peers.replace(source, nil)
		t.speeds.Drop(source.totalsName, now)
		t.links.dropSource(source.totalsName)
		delete(t.peers.byName, name)
	}
}

// dropOwnZoneDigest drops the digest of the own zone once its reports arrive directly.
func (t *Tracker) dropOwnZoneDigest(zone string, now time.Time) {
	if source := t.zones.byName[zone]; source != nil {
		t.speeds.Drop(source.totalsName, now)
		t.zones.replace(source, nil)
		t.links.dropSource(source.totalsName)
		delete(t.zones.byName, zone)
	}
	t.setMerged(sentReport{})
}

// setMerged records which report of this node the newest digest of its own zone contains.
func (t *Tracker) setMerged(r sentReport) {
	before := t.merged.instances
	t.merged = r
	for key := range before {
		t.updateOthers(key)
	}
	for key := range r.instances {
		t.updateOthers(key)
	}
}

// sentReport is what this node sent in one report.
type sentReport struct {
	sequence  uint32
	instances map[uint32]usage
	transfers map[uint32]time.Duration
	speeds    speed.Sent
}

// subtractFrom takes this node's part out of the totals of its zone.
func (r *sentReport) subtractFrom(totals map[uint32]time.Duration) map[uint32]time.Duration {
	out := make(map[uint32]time.Duration, len(totals))
	for key, total := range totals {
		out[key] = total - r.transfers[key]
	}
	return out
}

// reportHistorySize is the number of own reports kept: 1.6 s at the shortest interval.
const reportHistorySize = 64

// reportHistory holds the last reports of this node.
type reportHistory struct {
	last [reportHistorySize]sentReport
	next int
}

func (o *reportHistory) add(r sentReport) {
	o.last[o.next] = r
	o.next = (o.next + 1) % reportHistorySize
}

// find returns the report whose sequence number ends in sequence, an empty one if it is no longer kept.
func (o *reportHistory) find(sequence uint32) sentReport {
	for _, r := range o.last {
		if r.sequence == sequence && r.instances != nil {
			return r
		}
	}
	return sentReport{}
}
