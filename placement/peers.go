package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/speed"
)

// sourceTimeout is how long the last report of a source counts.
const sourceTimeout = 600 * time.Millisecond

// usage is what is in progress at one instance.
type usage struct{ requests, prefillTokens, longTokens, heldTokens int }

// usage returns what this node has in progress at an instance.
func (s *instanceState) usage() usage {
	return usage{s.requests, max(0, s.prefillTokens), max(0, s.longTokens), max(0, s.heldTokens)}
}

func (u usage) plus(other usage, sign int) usage {
	return usage{
		u.requests + sign*other.requests, u.prefillTokens + sign*other.prefillTokens, u.longTokens + sign*other.longTokens,
		u.heldTokens + sign*other.heldTokens,
	}
}

// loadSource is the last state reported by another node of the zone, or by the relay of another zone.
type loadSource struct {
	sequence   uint64
	receivedAt time.Time
	instances  map[uint32]usage
	// unresponsive are the instances that did not answer, with the number of nodes that found so.
	unresponsive map[uint32]int
	// nodes is the number of nodes that the report covers.
	nodes int
	// relay is the node that merged the digests of another zone.
	relay uint32
	// totalsName names the source of the running totals: the node, or the zone with its relay.
	totalsName string
}

// loadSources sums the states of sources of one kind: the other nodes of the zone, or the other zones.
type loadSources struct {
	byName    map[string]*loadSource
	instances map[uint32]usage
	// changed is called with the keys of instances whose sum has changed.
	changed func(key uint32)
}

func newLoadSources(changed func(key uint32)) *loadSources {
	return &loadSources{byName: map[string]*loadSource{}, instances: map[uint32]usage{}, changed: changed}
}

// NodeHash returns the hash of a node's name in ZoneDigest.merged_nodes.
func NodeHash(name string) uint32 { return hashKey(name) }

func hashKey(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

// set replaces what a source has in progress at one instance.
func (p *loadSources) set(source *loadSource, key uint32, u usage) {
	if u == source.instances[key] {
		return
	}
	p.instances[key] = p.instances[key].plus(source.instances[key], -1).plus(u, 1)
	if p.instances[key] == (usage{}) {
		delete(p.instances, key)
	}
	source.instances[key] = u
	if u == (usage{}) {
		delete(source.instances, key)
	}
	p.changed(key)
}

// replace replaces everything that a source has in progress.
func (p *loadSources) replace(source *loadSource, instances map[uint32]usage) {
	for key := range source.instances {
		if _, listed := instances[key]; !listed {
			p.set(source, key, usage{})
		}
	}
	for key, u := range instances {
		p.set(source, key, u)
	}
}

// unresponsiveNodes returns the number of nodes that report an instance as unresponsive.
func (p *loadSources) unresponsiveNodes(key uint32) (nodes int) {
	for _, source := range p.byName {
		nodes += source.unresponsive[key]
	}
	return nodes
}

// nodeCount returns the number of nodes that report.
func (p *loadSources) nodeCount() (nodes int) {
	for _, source := range p.byName {
		nodes += source.nodes
	}
	return nodes
}

// expire removes the sources that no longer report and returns the names of their totals.
func (p *loadSources) expire(now time.Time) (expired []string) {
	for name, source := range p.byName {
		if now.Sub(source.receivedAt) > sourceTimeout {
			p.replace(source, nil)
			delete(p.byName, name)
			expired = append(expired, source.totalsName)
		}
	}
	return expired
}

// decodeUsage decodes the parallel lists of a report.
func decodeUsage(keys, requests, prefillTokens, longTokens, heldTokens []uint32) (map[uint32]usage, bool) {
	if len(requests) != len(keys) || len(prefillTokens) != len(keys) || len(longTokens) != len(keys) || len(heldTokens) != len(keys) {
		return nil, false
	}
	out := make(map[uint32]usage, len(keys))
	for i, key := range keys {
		out[key] = usage{int(requests[i]), int(prefillTokens[i]), int(longTokens[i]), int(heldTokens[i])}
	}
	return out, true
}

func decodeTransfers(keys, ms []uint32) (map[uint32]time.Duration, bool) {
	if len(ms) != len(keys) {
		return nil, false
	}
	totals := make(map[uint32]time.Duration, len(keys))
	for i, key := range keys {
		totals[key] = time.Duration(ms[i]) * time.Millisecond
	}
	return totals, true
}

// ApplyReport applies the report of another node of this node's zone. It returns the instances that are ejected as
// unresponsive by this report, and whether the report is well-formed and the newest one.
func (t *Tracker) ApplyReport(report *nodepb.LoadReport, zone string, now time.Time) (ejected []string, applied bool) {
	instances, ok := decodeUsage(report.GetKeys(), report.GetRequests(), report.GetPrefillTokens(), report.GetLongTokens(), report.GetHeldTokens())
	totals, okTotals := decodeTransfers(report.GetStoreKeys(), report.GetTransferMs())
	if !ok || !okTotals {
		return nil, false
	}
	defer t.notifyLeaving()
	t.mu.Lock()
	defer t.mu.Unlock()
	source := t.peers.byName[report.GetNode()]
	switch {
	case source == nil:
		source = &loadSource{instances: map[uint32]usage{}, totalsName: report.GetNode()}
		t.peers.byName[report.GetNode()] = source
	case source.sequence >= report.GetSequence():
		return nil, false
	}
	source.sequence, source.receivedAt, source.nodes = report.GetSequence(), now, 1
	t.dropOwnZoneDigest(zone, now)
	t.peers.replace(source, instances)
	unresponsive := make(map[uint32]int, len(report.GetSilent()))
	for _, key := range report.GetSilent() {
		unresponsive[key] = 1
	}
	ejected = t.applyUnresponsive(source, unresponsive, now)
	t.links.applyTransferTotals(report.GetNode(), true, totals, now)
	t.links.applyLatenessTotals(report.GetNode(), true, decodeLateness(report.GetLateKeys(), report.GetLateSums(), report.GetLateCounts()), now)
	t.applyReplaced(report.GetReplaced())
	t.leaving.hear(report.GetLeaving(), true, now)
	reads := decodeReads(report.GetReads(), now)
	t.applyReads(reads)
	t.pending.add(reads, report.GetReplaced())
	t.speeds.Apply(report.GetNode(), true, decodeSpeeds(report.GetSpeeds()), speed.Sent{}, now)
	return ejected, true
}

// applyReplaced marks instances at whose address another node found a later incarnation.
func (t *Tracker) applyReplaced(keys []uint32) {
	for _, key := range keys {
		if s := t.byHash[key]; s != nil {
			s.replaced = true
			t.unusual[s] = struct{}{}
		}
	}
}

// fullReportInterval is the number of reports from one with all totals to the next: half a second at 28 nodes. The
// reports between have only the transfer totals that changed, and no lateness.
const fullReportInterval = 8

// Report describes what this node has in progress, and which prompts it sent since the last report.
func (t *Tracker) Report(sequence uint64) *nodepb.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := &nodepb.LoadReport{Sequence: sequence}
	sent := sentReport{sequence: uint32(sequence), instances: map[uint32]usage{}, transfers: make(map[uint32]time.Duration, len(t.links.ownTransfers))}
	defer func() { t.history.add(sent) }()
	for key, s := range t.instances {
		if s.unresponsive && s.foundHere {
			report.Silent = append(report.Silent, hashKey(key.ID))
		}
		if s.requests == 0 {
			continue
		}
		u := s.usage()
		sent.instances[hashKey(key.ID)] = u
		report.Keys = append(report.Keys, hashKey(key.ID))
		report.Requests = append(report.Requests, uint32(u.requests))
		report.PrefillTokens = append(report.PrefillTokens, uint32(u.prefillTokens))
		report.LongTokens = append(report.LongTokens, uint32(u.longTokens))
		report.HeldTokens = append(report.HeldTokens, uint32(u.heldTokens))
	}
	full := t.reports%fullReportInterval == 0
	t.reports++
	for address, total := range t.links.ownTransfers {
		sent.transfers[hashKey(address)] = total.Truncate(time.Millisecond)
		if !full && total == t.links.reportedTransfers[address] {
			continue
		}
		t.links.reportedTransfers[address] = total
		report.StoreKeys = append(report.StoreKeys, hashKey(address))
		report.TransferMs = append(report.TransferMs, uint32(total.Milliseconds()))
	}
	if full {
		for key, total := range t.links.ownLateness {
			report.LateKeys = append(report.LateKeys, key)
			report.LateSums = append(report.LateSums, int64(latenessScale*total.sum))
			report.LateCounts = append(report.LateCounts, total.count)
		}
	}
	report.Replaced = t.replaced
	t.replaced = nil
	report.Leaving = current(t.leaving.own, time.Now())
	t.pending.add(t.reads, report.GetReplaced())
	report.Reads = t.drainReads(time.Now())
	var readings []speed.Reading
	readings, sent.speeds = t.speeds.Report(time.Now())
	report.Speeds = encodeSpeeds(readings)
	return report
}

// latenessScale is the factor by which reports scale lateness sums to integers.
const latenessScale = 1000

func decodeLateness(keys []uint32, sums []int64, counts []uint64) map[uint32]latenessTotal {
	if len(sums) != len(keys) || len(counts) != len(keys) {
		return nil
	}
	totals := make(map[uint32]latenessTotal, len(keys))
	for i, key := range keys {
		totals[key] = latenessTotal{float64(sums[i]) / latenessScale, counts[i]}
	}
	return totals
}

// Backlog returns the time until a new transfer over a store's link would begin.
func (t *Tracker) Backlog(address string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links.backlog(address, time.Now())
}

// Slowness returns the learned time of a transfer over a store's link, relative to the time at its published
// bandwidth.
func (t *Tracker) Slowness(address string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links.slowness(address, time.Now())
}

// RecordTransfer records a transfer over a store's link.
func (t *Tracker) RecordTransfer(address string, transfer time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.links.addTransfer(address, transfer, time.Now())
}

// expire removes nodes and zones that no longer report. The caller holds the lock.
func (t *Tracker) expire(now time.Time) {
	for _, source := range append(t.peers.expire(now), t.zones.expire(now)...) {
		t.links.dropSource(source)
		t.speeds.Drop(source, now)
	}
	if t.zones.byName[t.ownZone] == nil {
		t.setMerged(sentReport{})
	}
}
