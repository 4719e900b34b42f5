package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// peerMemory is how long the last report of a node counts.
const peerMemory = 600 * time.Millisecond

// use is what is in progress at one instance.
type use struct{ requests, prefillTokens, heldTokens int }

// peer is the last report of another node.
type peer struct {
	sequence  uint64
	heard     time.Time
	instances map[uint32]use
	// silent are the instances that did not answer the node.
	silent []uint32
}

// peers sums the reports of all nodes.
type peers struct {
	byNode    map[string]*peer
	instances map[uint32]use
}

func newPeers() *peers {
	return &peers{byNode: map[string]*peer{}, instances: map[uint32]use{}}
}

func hashKey(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

// add counts a report in, or out with sign -1.
func (p *peers) add(q *peer, sign int) {
	for key, u := range q.instances {
		sum := p.instances[key]
		sum.requests += sign * u.requests
		sum.prefillTokens += sign * u.prefillTokens
		sum.heldTokens += sign * u.heldTokens
		p.instances[key] = sum
		if sum == (use{}) {
			delete(p.instances, key)
		}
	}
}

// tellSilent returns the number of nodes that an instance does not answer.
func (p *peers) tellSilent(key uint32) (nodes int) {
	for _, q := range p.byNode {
		if slices.Contains(q.silent, key) {
			nodes++
		}
	}
	return nodes
}

// expire counts out the nodes that have fallen silent and returns them.
func (p *peers) expire(now time.Time) (silent []string) {
	for node, q := range p.byNode {
		if now.Sub(q.heard) > peerMemory {
			p.add(q, -1)
			delete(p.byNode, node)
			silent = append(silent, node)
		}
	}
	return silent
}

// Peer takes the report of another node. It returns the instances that are taken for silent from now on.
func (t *Tracker) Peer(report *nodepb.LoadReport, now time.Time) (silenced []string) {
	keys, stores := report.GetKeys(), report.GetStoreKeys()
	if len(report.GetRequests()) != len(keys) || len(report.GetPrefillTokens()) != len(keys) || len(report.GetHeldTokens()) != len(keys) ||
		len(report.GetTransferMs()) != len(stores) {
		return nil
	}
	q := &peer{sequence: report.GetSequence(), heard: now, silent: report.GetSilent(), instances: make(map[uint32]use, len(keys))}
	totals := make(map[uint32]time.Duration, len(stores))
	for i, key := range keys {
		q.instances[key] = use{int(report.GetRequests()[i]), int(report.GetPrefillTokens()[i]), int(report.GetHeldTokens()[i])}
	}
	for i, key := range stores {
		totals[key] = time.Duration(report.GetTransferMs()[i]) * time.Millisecond
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.peers.byNode[report.GetNode()]
	if old != nil {
		if old.sequence >= q.sequence {
			return nil
		}
		t.peers.add(old, -1)
	}
	t.peers.byNode[report.GetNode()] = q
	t.peers.add(q, 1)
	silenced = t.adoptSilent(old, q, now)
	t.links.report(report.GetNode(), totals, now)
	t.links.reportLate(report.GetNode(), lateTotals(report), now)
	t.adoptReads(report.GetReads())
	return silenced
}

// witnesses is the number of nodes at whose word an instance is taken for silent: a single one may be busy or cut off.
const witnesses = 2

// adoptSilent ejects instances that enough nodes tell to be silent, unless they answered this node a moment ago: each
// node would else wait once for each of them. This node tries to reach them itself. The caller holds the lock.
func (t *Tracker) adoptSilent(old, told *peer, now time.Time) (silenced []string) {
	for _, key := range told.silent {
		if old != nil && slices.Contains(old.silent, key) {
			continue
		}
		if t.peers.tellSilent(key) < min(witnesses, len(t.peers.byNode)) {
			continue
		}
		if s := t.byHash[key]; s != nil && !s.silent && now.Sub(s.heard) > heardMemory {
			s.silence(now)
			silenced = append(silenced, s.id)
		}
	}
	return silenced
}

// wholeEvery is the number of reports of which one has all totals: half a second at 28 nodes. The others have those that
// changed, and no lateness.
const wholeEvery = 8

// Report describes what this node has in progress, and which prompts it sent since the last report.
func (t *Tracker) Report() *nodepb.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := &nodepb.LoadReport{}
	for key, s := range t.instances {
		if s.silent && s.found {
			report.Silent = append(report.Silent, hashKey(key.ID))
		}
		if s.requests == 0 {
			continue
		}
		report.Keys = append(report.Keys, hashKey(key.ID))
		report.Requests = append(report.Requests, uint32(s.requests))
		report.PrefillTokens = append(report.PrefillTokens, uint32(max(0, s.prefillTokens)))
		report.HeldTokens = append(report.HeldTokens, uint32(max(0, s.heldTokens)))
	}
	whole := t.reports%wholeEvery == 0
	t.reports++
	for address, total := range t.links.own {
		if !whole && total == t.links.reported[address] {
			continue
		}
		t.links.reported[address] = total
		report.StoreKeys = append(report.StoreKeys, hashKey(address))
		report.TransferMs = append(report.TransferMs, uint32(total.Milliseconds()))
	}
	if whole {
		for key, total := range t.links.ownLate {
			report.LateKeys = append(report.LateKeys, key)
			report.LateSums = append(report.LateSums, int64(lateScale*total.sum))
			report.LateCounts = append(report.LateCounts, total.count)
		}
	}
	t.encodeReads(report)
	return report
}

// lateScale is the factor of lateness in reports.
const lateScale = 1000

func lateTotals(report *nodepb.LoadReport) map[uint32]lateTotal {
	keys := report.GetLateKeys()
	if len(report.GetLateSums()) != len(keys) || len(report.GetLateCounts()) != len(keys) {
		return nil
	}
	totals := make(map[uint32]lateTotal, len(keys))
	for i, key := range keys {
		totals[key] = lateTotal{float64(report.GetLateSums()[i]) / lateScale, report.GetLateCounts()[i]}
	}
	return totals
}

// Backlog returns the time until a new transfer over a store's link would begin.
func (t *Tracker) Backlog(address string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links.backlog(address, time.Now())
}

// Slowness returns the learned time of a transfer over the one by the published speed of a store's link.
func (t *Tracker) Slowness(address string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links.slowness(address, time.Now())
}

// Transfer notes a transfer over a store's link.
func (t *Tracker) Transfer(address string, transfer time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.links.start(address, transfer, time.Now())
}

// expire forgets silent nodes. The caller holds the lock.
func (t *Tracker) expire(now time.Time) {
	for _, node := range t.peers.expire(now) {
		t.links.forget(node)
	}
}
