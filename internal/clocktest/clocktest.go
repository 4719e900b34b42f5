// Package clocktest provides a clock that tests set.
package clocktest

import (
	"sync"
	"time"
)

// Manual is a clock.Clock whose time a test sets. Manual.mu is a leaf lock: no other lock is acquired while it is held.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock set to a time.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now implements clock.Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
