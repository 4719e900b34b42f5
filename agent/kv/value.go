package kv

import (
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/cachevalue"
	"github.com/wasabishunt/wasabishunt/piece"
)

// values estimates what keeping pieces is worth: recompute time saved times the probability of a return.
type values struct {
	settings cachevalue.PlaceSettings

	mu     sync.Mutex
	policy *cachevalue.Returns
}

func newValues(lossProbability float64) *values {
	settings := cachevalue.PlaceDefaults()
	settings.LossProbability = lossProbability
	return &values{settings: settings, policy: cachevalue.New(cachevalue.Defaults())}
}

// used observes a use of a piece and returns its value and the number of stores that it is worth, given the time of its
// transfer to one of them.
func (v *values) used(e cachevalue.Entry, transfer time.Duration) (value float64, copies int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.policy.Used(e.Name, e.Class, e.LastUse)
	return v.policy.Value(e, e.LastUse), v.policy.Place(v.settings, e, transfer, e.LastUse).Copies
}

// maxSent bounds remembered pieces that a holder has.
const maxSent = 65536

// sentPieces remembers for a while which pieces a store has, so that each return of a prompt does not ask again.
type sentPieces struct {
	memory time.Duration
	mu     sync.Mutex
	until  map[sentKey]time.Time
}

type sentKey struct {
	store string
	name  piece.Name
}

func newSentPieces(memory time.Duration) *sentPieces {
	return &sentPieces{memory: memory, until: map[sentKey]time.Time{}}
}

func (s *sentPieces) add(store string, name piece.Name, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) >= maxSent {
		for key := range s.until {
			delete(s.until, key)
			break
		}
	}
	s.until[sentKey{store, name}] = now.Add(s.memory)
}

// lacks notes that a store does not hold a piece.
func (s *sentPieces) lacks(store string, name piece.Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, sentKey{store, name})
}

// forget drops what is known of a store.
func (s *sentPieces) forget(store string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.until {
		if key.store == store {
			delete(s.until, key)
		}
	}
}

func (s *sentPieces) has(store string, name piece.Name, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := sentKey{store, name}
	until, ok := s.until[key]
	if ok && !now.Before(until) {
		delete(s.until, key)
		return false
	}
	return ok
}
