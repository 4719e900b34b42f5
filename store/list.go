package store

import (
	"cmp"
	"slices"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/wasabishunt/wasabishunt/piece"
)

// Listed is one piece of a list ordered by value.
type Listed struct {
	Header piece.Header
	Value  float64
	// Idle is the time since the last use.
	Idle time.Duration
}

// listBatch is the number of pieces that are evaluated while the lock is held once, so that a list does not block
// readers for long.
const listBatch = 512

// List returns at most limit pieces by descending value, starting at an offset.
func (s *Store) List(offset, limit int) []Listed {
	names := s.names()
	// All pieces are evaluated at the same time, because values that decay during the listing would change the order.
	now := s.settings.Clock.Now()
	listed := make([]Listed, 0, len(names))
	for batch := range slices.Chunk(names, listBatch) {
		listed = s.appendListed(listed, batch, now)
	}
	slices.SortFunc(listed, func(a, b Listed) int {
		return cmp.Or(cmp.Compare(b.Value, a.Value), slices.Compare(a.Header.Name[:], b.Header.Name[:]))
	})
	offset = min(max(offset, 0), len(listed))
	return listed[offset:min(offset+limit, len(listed))]
}

func (s *Store) names() []piece.Name {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]piece.Name, 0, len(s.entries))
	for name := range s.entries {
		names = append(names, name)
	}
	return names
}

func (s *Store) appendListed(listed []Listed, names []piece.Name, now time.Time) []Listed {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		e := s.entries[name]
		cached, ok := s.onDisk.Get(name)
		if e == nil || !ok {
			continue
		}
		listed = append(listed, Listed{e.header, s.settings.Policy.Value(cached, now), max(now.Sub(cached.LastUse), 0)})
	}
	return listed
}

// Stats holds sizes, counters and states of a store.
type Stats struct {
	MemoryBytes, DiskBytes, Pieces, Hits, Misses int64
	Draining, SyncFailed                         bool
}

// Stats returns the current sizes, counters and states.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	memory, _ := s.memory.Used("")
	onDisk, _ := s.onDisk.Used("")
	return Stats{
		MemoryBytes: memory, DiskBytes: onDisk, Pieces: int64(len(s.entries)),
		Hits: s.counters.hits.Count(), Misses: s.counters.misses.Count(),
		Draining: s.draining, SyncFailed: s.syncFailed,
	}
}

type counters struct {
	hits, misses, puts, refused, evicted, corrupt, diskErrors gometrics.Counter
}

func newCounters(r gometrics.Registry) counters {
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter("store."+name, r) }
	return counters{
		hits: counter("hits"), misses: counter("misses"), puts: counter("puts"), refused: counter("refused"),
		evicted: counter("evicted"), corrupt: counter("corrupt"), diskErrors: counter("disk_errors"),
	}
}

func (s *Store) registerGauges(r gometrics.Registry) {
	gauge := func(name string, read func(Stats) int64) {
		_ = r.Register("store."+name, gometrics.NewFunctionalGauge(func() int64 { return read(s.Stats()) }))
	}
	gauge("memory_bytes", func(v Stats) int64 { return v.MemoryBytes })
	gauge("disk_bytes", func(v Stats) int64 { return v.DiskBytes })
	gauge("pieces", func(v Stats) int64 { return v.Pieces })
}
