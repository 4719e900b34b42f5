package store

import "github.com/wasabishunt/wasabishunt/failure"

// Ready returns nil while the store accepts pieces: it is not draining and the last write to its disk succeeded.
func (s *Store) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		return failure.New(failure.Draining, failure.NotRun, "this store is stopping")
	case s.syncFailed:
		return failure.New(failure.StorageFailed, failure.NotRun, "a sync failed; the disk tier accepts no writes until a restart")
	case s.writeFailed:
		return failure.New(failure.StorageFailed, failure.NotRun, "the last write of a piece failed")
	}
	return nil
}
