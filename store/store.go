// Package store implements a store process, which keeps pieces of KV cache in a memory tier and a disk tier.
//
// A piece is published in the index only after its file was written under a temporary name, synced and renamed, and the
// directory was synced. Every read checks name, account, generation, length and checksum. A piece that fails a check is
// treated as a miss and removed. A reader holds a lease on one generation of a piece: leased pieces are not evicted,
// and a body stays in memory until its last reader has released it.
//
// Locks: Store.mu guards the index, the tiers and all entries; it is never held during file or network I/O. The locks
// of blockPool and Link are leaf locks: no other lock is acquired while they are held.
package store

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/cachevalue"
	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/piece"
)

// Policy computes the value of pieces; package cachevalue has the implementations.
type Policy = cachevalue.Policy

// Settings of a Store.
type Settings struct {
	// Name is the name of the store in the object set.
	Name string
	// MemoryBytes is the capacity of the memory tier; default 1 GiB.
	MemoryBytes int64
	// DiskBytes is the capacity of the disk tier; default 16 GiB.
	DiskBytes int64
	// MaxPieceBytes limits one body; default 128 MiB.
	MaxPieceBytes int64
	// Policy computes the value of pieces; default cachevalue.New with its defaults.
	Policy Policy
	Log    *zap.Logger
	Clock  clock.Clock
	// Metrics is the registry of the store's metrics; default a new one.
	Metrics gometrics.Registry

	// onFree is called with each freed block; only tests set it.
	onFree func([]byte)
}

func (s Settings) withDefaults() Settings {
	defaults.Set(&s.MemoryBytes, 1<<30)
	defaults.Set(&s.DiskBytes, 16<<30)
	defaults.Set(&s.MaxPieceBytes, 128<<20)
	defaults.Set[clock.Clock](&s.Clock, clock.System{})
	if s.Policy == nil {
		s.Policy = cachevalue.New(cachevalue.Defaults())
	}
	defaults.Set(&s.Log, zap.NewNop())
	defaults.Set(&s.Metrics, gometrics.NewRegistry())
	return s
}

// Store keeps pieces in memory and on disk.
type Store struct {
	settings Settings
	disk     disk
	blocks   *blockPool
	counters counters
	// diskReads limits concurrent disk reads; it holds one element for each read in progress.
	diskReads chan struct{}

	mu      sync.Mutex
	entries map[piece.Name]*entry
	// pending holds the names of pieces that are being written.
	pending map[piece.Name]struct{}
	memory  *cachevalue.Tier
	onDisk  *cachevalue.Tier
	// weights holds the weights of accounts; both tiers share this map.
	weights map[string]float64
	// interned holds the accounts and weight versions of the entries, one copy of each value.
	interned map[string]*internedField
	// generation is the highest generation assigned to a piece.
	generation uint64
	// syncFailed is set after a failed sync; the disk tier then accepts no writes until a restart.
	syncFailed bool
	// writeFailed is true if the last write of a piece failed, for example on a full disk.
	writeFailed bool
	draining    bool
}

// entry is one generation of a piece. Store.mu guards it.
type entry struct {
	header piece.Header
	// block holds the body while the piece is in the memory tier.
	block *block
	// leases is the number of readers.
	leases int32
	// removed is set when the entry is removed from the index. Its file is removed with the last lease.
	removed bool
}

// internedField is an interned value and the number of header fields that use it.
type internedField struct {
	value string
	count int
}

// maxDiskReads limits concurrent disk reads.
const maxDiskReads = 32

// New returns a store with the pieces found in the directory. Incomplete and damaged files are removed.
func New(fs FS, settings Settings) (*Store, error) {
	settings = settings.withDefaults()
	s := &Store{
		settings: settings, disk: disk{fs}, blocks: newBlockPool(settings.onFree),
		counters: newCounters(settings.Metrics), diskReads: make(chan struct{}, maxDiskReads),
		entries: map[piece.Name]*entry{}, pending: map[piece.Name]struct{}{},
		weights: map[string]float64{}, interned: map[string]*internedField{},
	}
	s.memory = cachevalue.NewTier(cachevalue.TierSettings{Capacity: settings.MemoryBytes, Weights: s.weights}, settings.Policy)
	s.onDisk = cachevalue.NewTier(cachevalue.TierSettings{
		Capacity: settings.DiskBytes, Weights: s.weights, Evictable: s.evictable,
	}, settings.Policy)
	if err := s.buildIndex(); err != nil {
		return nil, err
	}
	s.registerGauges(settings.Metrics)
	return s, nil
}

// buildIndex builds the index from the files on disk.
func (s *Store) buildIndex() error {
	list, generation, err := s.disk.scan(s.settings.MaxPieceBytes)
	if err != nil {
		return err
	}
	now := s.settings.Clock.Now()
	s.generation = generation
	for _, f := range list {
		s.removeFiles(s.indexFile(f, now))
	}
	return nil
}

// indexFile adds a piece file to the index. It returns the entries whose files must be removed: those that were evicted
// for it, or the entry of the file itself if the tier has no space for it.
func (s *Store) indexFile(f pieceFile, now time.Time) []*entry {
	lastUse := f.info.ModTime
	if lastUse.After(now) {
		lastUse = now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	evicted, stored := s.onDisk.Put(s.policyEntry(f.header, lastUse), now)
	files := s.unpublishEvictedLocked(evicted)
	if !stored {
		return append(files, &entry{header: f.header})
	}
	s.publishLocked(f.header)
	return files
}

// evictable reports whether a piece is neither being read nor being written. The caller holds mu.
func (s *Store) evictable(name piece.Name) bool {
	if _, writing := s.pending[name]; writing {
		return false
	}
	e := s.entries[name]
	return e == nil || e.leases == 0
}

// policyEntry returns the entry of a piece for the tiers and the policy.
func (s *Store) policyEntry(h piece.Header, lastUse time.Time) cachevalue.Entry {
	return cachevalue.Entry{
		Name: h.Name, Account: s.intern(h.Account), Class: s.intern(h.Account), Bytes: fileBytes(h),
		Recompute: time.Duration(h.RecomputeMs) * time.Millisecond, LastUse: lastUse,
	}
}

// intern returns the interned copy of a value if there is one, and the value otherwise.
func (s *Store) intern(value string) string {
	if f := s.interned[value]; f != nil {
		return f.value
	}
	return value
}

func (s *Store) retainField(value string) string {
	f := s.interned[value]
	if f == nil {
		f = &internedField{value: value}
		s.interned[value] = f
	}
	f.count++
	return f.value
}

func (s *Store) releaseField(value string) {
	if f := s.interned[value]; f != nil {
		if f.count--; f.count == 0 {
			delete(s.interned, value)
		}
	}
}

// publishLocked makes a durable piece visible to readers.
func (s *Store) publishLocked(h piece.Header) *entry {
	h.Account, h.WeightVersion = s.retainField(h.Account), s.retainField(h.WeightVersion)
	e := &entry{header: h}
	s.entries[h.Name] = e
	return e
}

// unpublishEvictedLocked removes evicted pieces from the index and returns the entries whose files must be removed now.
func (s *Store) unpublishEvictedLocked(evicted []cachevalue.Entry) []*entry {
	var files []*entry
	for _, v := range evicted {
		if e := s.entries[v.Name]; e != nil && s.unpublishLocked(e) {
			files = append(files, e)
		}
	}
	s.counters.evicted.Inc(int64(len(evicted)))
	return files
}

// unpublishLocked removes one entry from the index and both tiers. It reports whether the file must be removed now;
// otherwise the last lease removes it.
func (s *Store) unpublishLocked(e *entry) bool {
	if e.removed {
		return false
	}
	e.removed = true
	name := e.header.Name
	delete(s.entries, name)
	s.memory.Remove(name)
	s.onDisk.Remove(name)
	s.freeBlockLocked(e)
	s.releaseField(e.header.Account)
	s.releaseField(e.header.WeightVersion)
	return e.leases == 0
}

func (s *Store) freeBlockLocked(e *entry) {
	if e.block != nil {
		e.block.release()
		e.block = nil
	}
}

func (s *Store) removeFiles(entries []*entry) {
	for _, e := range entries {
		if err := s.disk.remove(e.header); err != nil {
			s.counters.diskErrors.Inc(1)
			s.settings.Log.Warn("piece remove failed", zap.Stringer("piece", e.header.Name), zap.Error(err))
		}
	}
}

// addToMemoryLocked puts a body into the memory tier. The caller holds mu.
func (s *Store) addToMemoryLocked(e *entry, b *block, lastUse, now time.Time) {
	if e.removed || e.block != nil {
		return
	}
	evicted, stored := s.memory.Put(s.policyEntry(e.header, lastUse), now)
	for _, v := range evicted {
		if other := s.entries[v.Name]; other != nil {
			s.freeBlockLocked(other)
		}
	}
	if stored {
		b.retain()
		e.block = b
	}
}

// SetWeights replaces the account weights, which determine the accounts' shares of the tiers.
func (s *Store) SetWeights(weights map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.weights)
	for account, weight := range weights {
		s.weights[account] = weight
	}
}

// SetDraining makes the store refuse new pieces. Reads are still served.
func (s *Store) SetDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Draining reports whether SetDraining was called.
func (s *Store) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
