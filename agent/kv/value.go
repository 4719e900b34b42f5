package kv

import (
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/cachevalue"
	"github.com/wasabishunt/wasabishunt/piece"
)

// values estimates the value of keeping pieces: the recompute time saved times the probability of another use.
type values struct {
	settings cachevalue.PlaceSettings

	mu     sync.Mutex
	policy *cachevalue.ReturnPolicy
}

func newValues(lossProbability float64) *values {
	settings := cachevalue.PlaceDefaults()
	settings.LossProbability = lossProbability
	return &values{settings: settings, policy: cachevalue.New(cachevalue.Defaults())}
}

// recordUse records a use of a piece. It returns the piece's value and the number of stores that should hold it, given the
// time to transfer the piece to one of them.
func (v *values) recordUse(e cachevalue.Entry, transfer time.Duration) (value float64, copies int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.policy.RecordUse(e.Name, e.Class, e.LastUse)
	return v.policy.Value(e, e.LastUse), v.policy.Place(v.settings, e, transfer, e.LastUse).Copies
}

// maxSentEntries limits the entries of sentPieces.
const maxSentEntries = 65536

// sentPieces tracks for a limited time which pieces a store holds, so that the store is not queried at each use of a
// prompt.
type sentPieces struct {
	retention time.Duration
	mu        sync.Mutex
	expiresAt map[sentKey]time.Time
}

type sentKey struct {
	store string
	name  piece.Name
}

func newSentPieces(retention time.Duration) *sentPieces {
	return &sentPieces{retention: retention, expiresAt: map[sentKey]time.Time{}}
}

func (s *sentPieces) add(store string, name piece.Name, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.expiresAt) >= maxSentEntries {
		for key := range s.expiresAt {
			delete(s.expiresAt, key)
			break
		}
	}
	s.expiresAt[sentKey{store, name}] = now.Add(s.retention)
}

// remove records that a store does not hold a piece.
func (s *sentPieces) remove(store string, name piece.Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.expiresAt, sentKey{store, name})
}

// removeStore removes all entries of a store.
func (s *sentPieces) removeStore(store string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.expiresAt {
		if key.store == store {
			delete(s.expiresAt, key)
		}
	}
}

func (s *sentPieces) has(store string, name piece.Name, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := sentKey{store, name}
	expiresAt, ok := s.expiresAt[key]
	if ok && !now.Before(expiresAt) {
		delete(s.expiresAt, key)
		return false
	}
	return ok
}
