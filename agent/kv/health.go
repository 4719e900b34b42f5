package kv

import (
	"sync"
	"time"
)

const (
	// firstPause and maxPause limit how long a store is not used after failures; the pause doubles with each one.
	firstPause = 500 * time.Millisecond
	maxPause   = 15 * time.Second
	// rateWeight is the weight of the newest transfer in a store's measured bandwidth.
	rateWeight = 0.3
	// rateMemory is the time without a transfer after which a measured bandwidth is doubled, so that a link that was
	// slow is tried again.
	rateMemory = 5 * time.Second
)

// health remembers the failures and the measured bandwidth of each store, by address.
type health struct {
	mu     sync.Mutex
	stores map[string]*condition
}

type condition struct {
	failures int
	// retryAt is when the store is used again after a failure.
	retryAt time.Time
	// rate is the measured bandwidth in bytes per second; 0 means unknown.
	rate     float64
	measured time.Time
}

func newHealth() *health { return &health{stores: map[string]*condition{}} }

func (h *health) of(address string) *condition {
	if h.stores[address] == nil {
		h.stores[address] = &condition{}
	}
	return h.stores[address]
}

// usable reports whether a store may be called. After a pause only one caller tries it, until that call ends or the next
// pause is over: a frozen store must not delay all requests at once.
func (h *health) usable(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(address)
	if c.failures == 0 {
		return true
	}
	if now.Before(c.retryAt) {
		return false
	}
	c.retryAt = now.Add(pause(c.failures))
	return true
}

func pause(failures int) time.Duration {
	return min(maxPause, firstPause<<min(failures-1, 10))
}

func (h *health) failed(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(address)
	if c.failures > 0 && now.Before(c.retryAt.Add(-pause(c.failures)/2)) {
		return // Calls that were in progress at the same failure count once.
	}
	c.failures++
	c.retryAt = now.Add(pause(c.failures))
}

func (h *health) succeeded(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(address).failures = 0
}

// observe takes the time of one transfer. For a transfer that was cut short, bytes is what the link could not carry.
func (h *health) observe(address string, bytes int64, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(address)
	rate := float64(bytes) / took.Seconds()
	if c.rate == 0 {
		c.rate = rate
	}
	c.rate += rateWeight * (rate - c.rate)
	c.measured = now
}

// tooSlow takes a transfer that was given up: the link carries at most so much.
func (h *health) tooSlow(address string, bytes int64, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(address)
	if rate := float64(bytes) / took.Seconds() / 2; c.rate == 0 || rate < c.rate {
		c.rate = rate
	}
	c.measured = now
}

// bandwidth returns the bandwidth that a plan counts on, at most the given one.
func (h *health) bandwidth(address string, limit float64, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(address)
	if c.rate == 0 {
		return limit
	}
	rate := c.rate
	for age := now.Sub(c.measured); age >= rateMemory && rate < limit; age -= rateMemory {
		rate *= 2
	}
	return min(rate, limit)
}

// keep forgets stores that are no longer in the set.
func (h *health) keep(addresses map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address := range h.stores {
		if !addresses[address] {
			delete(h.stores, address)
		}
	}
}
