// Package store is a store process: KV pieces in a memory and a disk tier.
//
// A piece is published in the index only after its file was written aside, synced and renamed, and the directory was
// synced. Every read checks name, account, generation, length and checksum; whatever fails a check reads as a miss and
// is dropped. A reader holds a lease on one generation of a piece: eviction passes over leased pieces, and a body
// stays in place until its last reader has released it.
//
// Lock order: Store.mu guards the index, the tiers and all entries; it is never held during file or network I/O. The
// locks of blockPool and Link are leaf locks.
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

// Policy values pieces; package cachevalue has the implementations.
type Policy = cachevalue.Policy

// Settings of a Store.
type Settings struct {
	// Name of the store in the object set.
	Name string
	// MemoryBytes is the capacity of the memory tier; default 1 GiB.
	MemoryBytes int64
	// DiskBytes is the capacity of the disk tier; default 16 GiB.
	DiskBytes int64
	// MaxPieceBytes limits one body; default 128 MiB.
	MaxPieceBytes int64
	// Policy values pieces; default cachevalue.New with its defaults.
	Policy Policy
	Log    *zap.Logger
	Clock  clock.Clock
	// Metrics receives the counters; default a registry of its own.
	Metrics gometrics.Registry

	// onFree is called with each freed block in tests.
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

// Store keeps pieces.
type Store struct {
	settings Settings
	disk     disk
	blocks   *blockPool
	counters counters
	// loads has one slot for each disk read in progress.
	loads chan struct{}

	mu      sync.Mutex
	entries map[piece.Name]*entry
	// pending names pieces that are being written.
	pending map[piece.Name]struct{}
	memory  *cachevalue.Tier
	onDisk  *cachevalue.Tier
	// weights of accounts; both tiers refer to this map.
	weights map[string]float64
	// fields interns accounts and weight versions, with their number of entries.
	fields map[string]*field
	// generation is the highest one given to a piece.
	generation uint64
	// syncFailed is set after a failed sync; the disk tier then takes no writes until a restart.
	syncFailed bool
	// writeFailed is true while the last write of a piece failed, for example on a full disk.
	writeFailed bool
	draining    bool
}

// entry is one generation of a piece. Store.mu guards it.
type entry struct {
	header piece.Header
	// block holds the body while the piece is in the memory tier.
	block *block
	// leases counts readers.
	leases int32
	// gone is set once the entry has left the index; its file is removed with the last lease.
	gone bool
}

type field struct {
	value string
	count int
}

// maxLoads limits disk reads at once.
const maxLoads = 32

// New returns a store over the pieces that the directory holds. Files that are not whole pieces are removed.
func New(fs FS, settings Settings) (*Store, error) {
	settings = settings.withDefaults()
	s := &Store{
		settings: settings, disk: disk{fs}, blocks: newBlockPool(settings.onFree),
		counters: newCounters(settings.Metrics), loads: make(chan struct{}, maxLoads),
		entries: map[piece.Name]*entry{}, pending: map[piece.Name]struct{}{},
		weights: map[string]float64{}, fields: map[string]*field{},
	}
	s.memory = cachevalue.NewTier(cachevalue.TierSettings{Capacity: settings.MemoryBytes, Weights: s.weights}, settings.Policy)
	s.onDisk = cachevalue.NewTier(cachevalue.TierSettings{
		Capacity: settings.DiskBytes, Weights: s.weights, Evictable: s.evictable,
	}, settings.Policy)
	if err := s.recover(); err != nil {
		return nil, err
	}
	s.registerGauges(settings.Metrics)
	return s, nil
}

// recover fills the index from the disk.
func (s *Store) recover() error {
	list, generation, err := s.disk.scan(s.settings.MaxPieceBytes)
	if err != nil {
		return err
	}
	now := s.settings.Clock.Now()
	s.generation = generation
	for _, f := range list {
		s.removeFiles(s.adopt(f, now))
	}
	return nil
}

// adopt indexes a found piece and returns the entries that it displaces, or itself if there is no room.
func (s *Store) adopt(f found, now time.Time) []*entry {
	lastUse := f.info.ModTime
	if lastUse.After(now) {
		lastUse = now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	evicted, stored := s.onDisk.Put(s.valued(f.header, lastUse), now)
	files := s.forgetLocked(evicted)
	if !stored {
		return append(files, &entry{header: f.header})
	}
	s.publishLocked(f.header)
	return files
}

// evictable keeps pieces that are read or written out of eviction. The caller holds mu.
func (s *Store) evictable(name piece.Name) bool {
	if _, writing := s.pending[name]; writing {
		return false
	}
	e := s.entries[name]
	return e == nil || e.leases == 0
}

// valued is a piece as the policy sees it.
func (s *Store) valued(h piece.Header, lastUse time.Time) cachevalue.Entry {
	return cachevalue.Entry{
		Name: h.Name, Account: s.intern(h.Account), Class: s.intern(h.Account), Bytes: fileBytes(h),
		Recompute: time.Duration(h.RecomputeMs) * time.Millisecond, LastUse: lastUse,
	}
}

// intern returns the shared copy of a value that entries already use.
func (s *Store) intern(value string) string {
	if f := s.fields[value]; f != nil {
		return f.value
	}
	return value
}

func (s *Store) hold(value string) string {
	f := s.fields[value]
	if f == nil {
		f = &field{value: value}
		s.fields[value] = f
	}
	f.count++
	return f.value
}

func (s *Store) drop(value string) {
	if f := s.fields[value]; f != nil {
		if f.count--; f.count == 0 {
			delete(s.fields, value)
		}
	}
}

// publishLocked makes a durable piece visible to readers.
func (s *Store) publishLocked(h piece.Header) *entry {
	h.Account, h.WeightVersion = s.hold(h.Account), s.hold(h.WeightVersion)
	e := &entry{header: h}
	s.entries[h.Name] = e
	return e
}

// forgetLocked takes evicted pieces out of the index and returns the entries whose files are to be removed now.
func (s *Store) forgetLocked(evicted []cachevalue.Entry) []*entry {
	var files []*entry
	for _, v := range evicted {
		if e := s.entries[v.Name]; e != nil && s.unpublishLocked(e) {
			files = append(files, e)
		}
	}
	s.counters.evicted.Inc(int64(len(evicted)))
	return files
}

// unpublishLocked takes one entry out of the index and both tiers. It reports whether its file is to be removed now;
// otherwise the last lease removes it.
func (s *Store) unpublishLocked(e *entry) bool {
	if e.gone {
		return false
	}
	e.gone = true
	name := e.header.Name
	delete(s.entries, name)
	s.memory.Remove(name)
	s.onDisk.Remove(name)
	s.freeBlockLocked(e)
	s.drop(e.header.Account)
	s.drop(e.header.WeightVersion)
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

// remember puts the body into the memory tier. The caller holds mu.
func (s *Store) remember(e *entry, b *block, lastUse, now time.Time) {
	if e.gone || e.block != nil {
		return
	}
	evicted, stored := s.memory.Put(s.valued(e.header, lastUse), now)
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

// SetWeights replaces the account weights that shares follow.
func (s *Store) SetWeights(weights map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.weights)
	for account, weight := range weights {
		s.weights[account] = weight
	}
}

// SetDraining makes the store refuse new pieces. Reads go on.
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
