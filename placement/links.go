package placement

import (
	"math"
	"slices"
	"time"
)

// links models the transfer queues of the stores' links. Each transfer that a node starts, or that another node
// reports, is added, and the link works the queue off in real time. Reports carry running totals, so that the next
// report makes up for a lost one.
type links struct {
	// ownTransfers are this node's totals by address, reportedTransfers the ones last sent to the other nodes, and
	// peerTransfers the totals received, by source.
	ownTransfers      map[string]time.Duration
	reportedTransfers map[string]time.Duration
	peerTransfers     map[string]map[uint32]time.Duration
	busyUntil         map[uint32]time.Time
	// lateness compares actual with expected times to the first event, by store; the key of "" holds the requests
	// that wait for no store.
	lateness map[uint32]*lateness
	// ownLateness are totals of this node, peerLateness those received from other nodes.
	ownLateness  map[uint32]latenessTotal
	peerLateness map[string]map[uint32]latenessTotal
	// zoneTransfers and zoneLateness are the totals of all nodes of the zone that this node received, for its
	// digests.
	zoneTransfers map[uint32]time.Duration
	zoneLateness  map[uint32]latenessTotal
}

// latenessTotal is a running total of logarithms of lateness ratios.
type latenessTotal struct {
	sum   float64
	count uint64
}

func (t latenessTotal) plus(sum float64, count uint64) latenessTotal {
	return latenessTotal{t.sum + sum, t.count + count}
}

func newLinks() *links {
	return &links{
		ownTransfers: map[string]time.Duration{}, reportedTransfers: map[string]time.Duration{}, peerTransfers: map[string]map[uint32]time.Duration{}, busyUntil: map[uint32]time.Time{}, lateness: map[uint32]*lateness{},
		ownLateness: map[uint32]latenessTotal{}, peerLateness: map[string]map[uint32]latenessTotal{},
		zoneTransfers: map[uint32]time.Duration{}, zoneLateness: map[uint32]latenessTotal{},
	}
}

// addTransfer queues a transfer of this node.
func (l *links) addTransfer(address string, transfer time.Duration, now time.Time) {
	l.ownTransfers[address] += transfer
	l.zoneTransfers[hashKey(address)] += transfer
	l.enqueue(hashKey(address), transfer, now)
}

func (l *links) enqueue(key uint32, transfer time.Duration, now time.Time) {
	busy := l.busyUntil[key]
	if busy.Before(now) {
		busy = now
	}
	l.busyUntil[key] = busy.Add(transfer)
}

// applyTransferTotals applies the changed totals of another node of the zone, or of another zone. The first total of
// a store is only a baseline: it does not show what is in the queue.
func (l *links) applyTransferTotals(node string, sameZone bool, totals map[uint32]time.Duration, now time.Time) {
	known := l.peerTransfers[node]
	if known == nil {
		known = map[uint32]time.Duration{}
		l.peerTransfers[node] = known
	}
	for key, total := range totals {
		if before, found := known[key]; found && total > before {
			l.enqueue(key, total-before, now)
			if sameZone {
				l.zoneTransfers[key] += total - before
			}
		}
		known[key] = total
	}
}

// dropSource drops a source that no longer reports; it may return with totals from 0.
func (l *links) dropSource(node string) {
	delete(l.peerTransfers, node)
	delete(l.peerLateness, node)
}

// backlog returns the time until a new transfer would begin.
func (l *links) backlog(address string, now time.Time) time.Duration {
	return max(0, l.busyUntil[hashKey(address)].Sub(now))
}

// lateness describes the first events of requests that wait for one store.
type lateness struct {
	// ratio of the actual to the expected time to the first event, as a moving mean of logarithms.
	ratio   float64
	samples uint64
	// slowness is the learned time of a transfer relative to the time at the link's published bandwidth.
	slowness float64
	// updated is when slowness was last learned; it decays from then on.
	updated time.Time
}

// slownessAt returns the slowness after decay.
func (l *lateness) slownessAt(now time.Time) float64 {
	age := float64(now.Sub(l.updated)) / float64(slownessHalfLife)
	return 1 + (l.slowness-1)*math.Exp2(-age)
}

const (
	// latenessWeight is the weight of one request in a store's ratio.
	latenessWeight = 0.1
	// slownessGain is the part of a store's excess lateness that one request adds to its slowness.
	slownessGain = 0.08
	// minSamples is the number of requests from which a ratio counts.
	minSamples = 10
	// maxSlowness bounds the learned slowness.
	maxSlowness = 10
	// slownessHalfLife lets a slow store be used again although the few requests that it gets teach little about it.
	slownessHalfLife = 3 * time.Second
)

// observe learns from the first event of a request that waited for transfers from one store, or from none. A store
// whose requests are later than expected by more than those of the other stores has a slow link: the engines are the
// same for all.
func (l *links) observe(address string, took, expected time.Duration, now time.Time) {
	if took <= 0 || expected <= 0 {
		return
	}
	key, ratio := hashKey(address), math.Log(float64(took)/float64(expected))
	total := l.ownLateness[key]
	l.ownLateness[key] = latenessTotal{total.sum + ratio, total.count + 1}
	l.zoneLateness[key] = l.zoneLateness[key].plus(ratio, 1)
	l.updateSlowness(key, ratio, 1, now)
}

// applyLatenessTotals applies the totals of another node or zone; a report without totals changes nothing.
func (l *links) applyLatenessTotals(node string, sameZone bool, totals map[uint32]latenessTotal, now time.Time) {
	if len(totals) == 0 {
		return
	}
	if old, known := l.peerLateness[node]; known {
		for key, total := range totals {
			if total.count > old[key].count {
				count := total.count - old[key].count
				l.updateSlowness(key, (total.sum-old[key].sum)/float64(count), count, now)
				if sameZone {
					l.zoneLateness[key] = l.zoneLateness[key].plus(total.sum-old[key].sum, count)
				}
			}
		}
	}
	l.peerLateness[node] = totals
}

// updateSlowness applies the mean of count ratios.
func (l *links) updateSlowness(key uint32, ratio float64, count uint64, now time.Time) {
	store := l.lateness[key]
	if store == nil {
		store = &lateness{slowness: 1, updated: now}
		l.lateness[key] = store
	}
	store.samples += count
	store.ratio += (1 - math.Pow(1-latenessWeight, float64(count))) * (ratio - store.ratio)
	if key == hashKey("") || store.samples < minSamples {
		return
	}
	excess := store.ratio - l.medianRatio(key)
	store.slowness = max(1, min(maxSlowness, store.slownessAt(now)*math.Exp(slownessGain*float64(count)*excess)))
	store.updated = now
}

// medianRatio returns the median ratio of the other stores.
func (l *links) medianRatio(key uint32) float64 {
	var ratios []float64
	for other, late := range l.lateness {
		if other != key && late.samples >= minSamples {
			ratios = append(ratios, late.ratio)
		}
	}
	if len(ratios) == 0 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[(len(ratios)-1)/2]
}

func (l *links) slowness(address string, now time.Time) float64 {
	if late := l.lateness[hashKey(address)]; late != nil {
		return late.slownessAt(now)
	}
	return 1
}
