package bench

import (
	"time"

	"github.com/wasabishunt/wasabishunt/cachevalue"
	"github.com/wasabishunt/wasabishunt/piece"
)

const (
	// memoryPieces is the capacity of a store's memory tier: a tenth of the store.
	memoryPieces = storePieces / 10
	// diskBytesPerSecond is the read bandwidth of a store's disk tier in bytes per second, half of the link's.
	diskBytesPerSecond = linkBytesPerSecond / 2
)

// disk is the disk tier of a store, which holds all of its pieces, and the memory tier in front of it. Disk reads are
// serialized; a piece that was read is promoted to memory.
type disk struct {
	store  *store
	memory *cachevalue.Tier
	// idleAt is when the last queued read completes.
	idleAt time.Duration
}

func newDisk(s *store) *disk {
	settings := cachevalue.TierSettings{Capacity: memoryPieces * pieceBytes, NoShares: s.run.policy.NoShares}
	policy := s.policy
	if s.run.policy.MemoryLRU {
		policy, settings.NoShares, settings.Sample = cachevalue.LRU{}, true, memoryPieces
	}
	return &disk{store: s, memory: cachevalue.NewTier(settings, policy)}
}

// read calls done once the piece is in memory.
func (d *disk) read(name piece.Name, done func()) {
	run := d.store.run
	if d.memory.Touch(name, run.time()) {
		run.result.memoryHits++
		done()
		return
	}
	run.result.diskReads++
	d.idleAt = max(d.idleAt, run.now) + time.Duration(pieceBytes/diskBytesPerSecond*float64(time.Second))
	run.schedule(d.idleAt, func() {
		if entry, ok := d.store.tier.Get(name); ok && d.store.disk == d {
			entry.LastUse = run.time()
			d.memory.Put(entry, run.time())
		}
		done()
	})
}
