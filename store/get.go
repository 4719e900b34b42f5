package store

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
)

// Lease keeps one generation of a piece readable for one reader. Body may be read until Release.
type Lease struct {
	Header piece.Header
	Body   []byte

	store *Store
	entry *entry
	block *block
}

// Release ends the lease; it must be called exactly once.
func (l *Lease) Release() {
	l.Body = nil
	l.block.release()
	l.store.releaseLease(l.entry)
}

// Get returns a lease on a verified piece, or a NotFound failure.
func (s *Store) Get(ctx context.Context, want piece.Want) (*Lease, error) {
	e, b := s.acquireLease(want)
	if e == nil {
		s.counters.misses.Inc(1)
		return nil, notHeldError()
	}
	b, err := s.load(ctx, e, b)
	if err != nil {
		s.releaseLease(e)
		s.counters.misses.Inc(1)
		return nil, err
	}
	s.counters.hits.Inc(1)
	return &Lease{Header: e.header, Body: b.data, store: s, entry: e, block: b}, nil
}

func notHeldError() error { return failure.New(failure.NotFound, failure.NotRun, "piece is not held") }

// acquireLease returns the entry of a piece with one more lease, or nil if the piece is not held. The block is nil if
// the body must be read from the disk.
func (s *Store) acquireLease(want piece.Want) (*entry, *block) {
	now := s.settings.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[want.Name]
	// A piece of another account or generation is treated as not held.
	if e == nil || want.Check(e.header) != nil {
		s.settings.Policy.RecordUse(want.Name, s.intern(want.Account), now)
		return nil, nil
	}
	e.leases++
	s.touchLocked(e, now)
	if e.block != nil {
		e.block.retain()
	}
	return e, e.block
}

func (s *Store) touchLocked(e *entry, now time.Time) {
	s.memory.Touch(e.header.Name, now)
	s.onDisk.Touch(e.header.Name, now)
	s.settings.Policy.RecordUse(e.header.Name, e.header.Account, now)
}

// releaseLease releases one lease of an entry. The last one removes the file of an entry that is no longer in the
// index.
func (s *Store) releaseLease(e *entry) {
	s.mu.Lock()
	e.leases--
	remove := e.removed && e.leases == 0
	s.mu.Unlock()
	if remove {
		s.removeFiles([]*entry{e})
	}
}

// load returns a verified body. It removes the entry from the index if the piece is damaged.
func (s *Store) load(ctx context.Context, e *entry, b *block) (*block, error) {
	if b != nil {
		if err := piece.CheckBody(e.header, b.data); err != nil {
			b.release()
			return nil, s.handleReadFailure(e, err)
		}
		return b, nil
	}
	select {
	case s.diskReads <- struct{}{}:
		defer func() { <-s.diskReads }()
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.NotRun, "wait for a disk read")
	}
	b, err := s.disk.read(e.header, s.blocks)
	if err != nil {
		return nil, s.handleReadFailure(e, err)
	}
	s.promote(e, b)
	return b, nil
}

func (s *Store) promote(e *entry, b *block) {
	now := s.settings.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addToMemoryLocked(e, b, now, now)
}

// handleReadFailure handles a failed read and returns it as a miss. A damaged piece is removed from the index; its file
// is removed with the caller's lease. After other disk errors the piece stays in the index, as its file may be intact.
func (s *Store) handleReadFailure(e *entry, err error) error {
	_, damaged := errors.AsType[*piece.FormatError](err)
	damaged = damaged || errors.Is(err, fs.ErrNotExist)
	s.settings.Log.Error("piece read failed", zap.Stringer("piece", e.header.Name), zap.Bool("dropped", damaged), zap.Error(err))
	if !damaged {
		s.counters.diskErrors.Inc(1)
		return failure.Wrap(err, failure.NotFound, failure.NotRun, "piece cannot be read")
	}
	s.counters.corrupt.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unpublishLocked(e)
	return failure.Wrap(err, failure.NotFound, failure.NotRun, "piece is damaged")
}

// length returns the length of a held piece without a lease, for admission only.
func (s *Store) length(want piece.Want) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[want.Name]; e != nil {
		return e.header.Length, want.Check(e.header) == nil
	}
	return 0, false
}

// Has reports which pieces of an account are held.
func (s *Store) Has(account string, names []piece.Name) []bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make([]bool, len(names))
	for i, name := range names {
		e := s.entries[name]
		held[i] = e != nil && e.header.Account == account
	}
	return held
}
