package store

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
)

// Outcome is the result of a put: Stored, or the reason why the piece was refused.
type Outcome string

// Outcomes of a put.
const (
	Stored              Outcome = "stored"
	RefusedFull         Outcome = "full"
	RefusedChecksum     Outcome = "checksum"
	RefusedTorn         Outcome = "torn"
	RefusedOversize     Outcome = "oversized"
	RefusedOtherAccount Outcome = "foreign"
	RefusedInvalid      Outcome = "invalid"
	// RefusedBusy means that the same piece is being written for another caller.
	RefusedBusy       Outcome = "in_progress"
	RefusedDraining   Outcome = "draining"
	RefusedOverloaded Outcome = "overloaded"
	RefusedStorage    Outcome = "storage_failed"
)

// Put stores a piece. It returns Stored only after the piece is durable and visible to readers. The generation in the
// header is ignored; the store assigns its own. idle is the time since the piece was last used.
func (s *Store) Put(h piece.Header, body []byte, idle time.Duration) (Outcome, error) {
	if h.Length < 0 || h.Length > s.settings.MaxPieceBytes {
		return s.countRefusal(RefusedOversize, failure.New(failure.BodyTooLarge, failure.NotRun, "a body of %d bytes exceeds the limit", h.Length))
	}
	if int64(len(body)) != h.Length {
		return s.countRefusal(RefusedTorn, failure.New(failure.InvalidRequest, failure.NotRun, "body of %d bytes, want %d", len(body), h.Length))
	}
	b := s.blocks.get(h.Length)
	defer b.release()
	copy(b.data, body)
	return s.putBlock(h, b, idle)
}

// putBlock is like Put for a body that is already in a block. The caller keeps its reference to the block.
func (s *Store) putBlock(h piece.Header, b *block, idle time.Duration) (Outcome, error) {
	if outcome, err := s.checkPut(h, b.data); err != nil {
		return s.countRefusal(outcome, err)
	}
	return s.put(h, b, s.settings.Clock.Now().Add(-max(idle, 0)))
}

func (s *Store) checkPut(h piece.Header, body []byte) (Outcome, error) {
	if h.Account == "" || h.Name == (piece.Name{}) {
		return RefusedInvalid, failure.New(failure.InvalidRequest, failure.NotRun, "piece without name or account")
	}
	if err := h.Validate(); err != nil {
		return RefusedInvalid, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "put piece")
	}
	if err := piece.CheckBody(h, body); err != nil {
		return bodyOutcome(err), failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "put piece")
	}
	return Stored, nil
}

func bodyOutcome(err error) Outcome {
	if e, ok := errors.AsType[*piece.FormatError](err); ok && e.Reason == piece.Corrupt {
		return RefusedChecksum
	}
	return RefusedTorn
}

// put stores a verified body.
func (s *Store) put(h piece.Header, b *block, lastUse time.Time) (Outcome, error) {
	reserved, files, outcome, err := s.reserve(h, lastUse)
	s.removeFiles(files)
	if err != nil {
		return s.countRefusal(outcome, err)
	}
	if outcome == Stored {
		return Stored, nil // The same body is already held.
	}
	if err := s.disk.write(reserved, b.data); err != nil {
		s.cancelReservation(reserved, err)
		return s.countRefusal(storageOutcome(err), err)
	}
	s.publish(reserved, b, lastUse)
	s.counters.puts.Inc(1)
	return Stored, nil
}

func storageOutcome(err error) Outcome {
	if _, full := errors.AsType[*diskFullError](err); full {
		return RefusedFull
	}
	return RefusedStorage
}

func (s *Store) countRefusal(outcome Outcome, err error) (Outcome, error) {
	s.counters.refused.Inc(1)
	return outcome, err
}

// reserve evicts pieces to make room for a new one and marks it as pending. It returns the header with its generation
// and the entries whose files must be removed. The outcome is Stored if the same body is already held.
func (s *Store) reserve(h piece.Header, lastUse time.Time) (piece.Header, []*entry, Outcome, error) {
	now := s.settings.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if outcome, err := s.admitLocked(h); err != nil {
		return h, nil, outcome, err
	}
	var files []*entry
	if old := s.entries[h.Name]; old != nil {
		if old.header.Checksum == h.Checksum && old.header.Length == h.Length {
			s.touchLocked(old, now)
			return h, nil, Stored, nil
		}
		if s.unpublishLocked(old) {
			files = append(files, old)
		}
	}
	// The tier calls evictable during Put, so the new piece must be pending before.
	s.pending[h.Name] = struct{}{}
	evicted, stored := s.onDisk.Put(s.policyEntry(h, lastUse), now)
	files = append(files, s.unpublishEvictedLocked(evicted)...)
	if !stored {
		delete(s.pending, h.Name)
		return h, files, RefusedFull, failure.New(failure.Overloaded, failure.NotRun, "no space within the account's share")
	}
	s.generation++
	h.Generation = s.generation
	return h, files, "", nil
}

func (s *Store) admitLocked(h piece.Header) (Outcome, error) {
	if s.draining {
		return RefusedDraining, failure.New(failure.Draining, failure.NotRun, "store is draining")
	}
	if s.syncFailed {
		return RefusedStorage, failure.New(failure.StorageFailed, failure.NotRun, "an earlier sync failed")
	}
	if _, writing := s.pending[h.Name]; writing {
		return RefusedBusy, failure.New(failure.InProgress, failure.NotRun, "piece is being written")
	}
	if old := s.entries[h.Name]; old != nil && old.header.Account != h.Account {
		return RefusedOtherAccount, failure.New(failure.Forbidden, failure.NotRun, "piece belongs to another account")
	}
	return Stored, nil
}

// publish makes a written piece visible.
func (s *Store) publish(h piece.Header, b *block, lastUse time.Time) {
	now := s.settings.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, h.Name)
	s.writeFailed = false
	s.settings.Policy.RecordUse(h.Name, s.intern(h.Account), lastUse)
	s.addToMemoryLocked(s.publishLocked(h), b, lastUse, now)
}

// cancelReservation releases the reserved space of a piece that could not be written.
func (s *Store) cancelReservation(h piece.Header, err error) {
	s.counters.diskErrors.Inc(1)
	s.settings.Log.Error("piece write failed", zap.Stringer("piece", h.Name), zap.Error(err))
	_, syncFailed := errors.AsType[*syncFailedError](err)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, h.Name)
	s.onDisk.Remove(h.Name)
	s.syncFailed = s.syncFailed || syncFailed
	s.writeFailed = true
}
