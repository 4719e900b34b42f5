package kv

import (
	"sync"
	"time"
)

const (
	// minBackoff and maxBackoff bound the time in which a failed store is not called; it doubles with each failure.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 15 * time.Second
	// rateWeight is the weight of the newest transfer in a store's measured bandwidth.
	rateWeight = 0.3
	// rateDoublingInterval is the time without a transfer after which the measured bandwidth is doubled, so that a link
	// that was slow is used again.
	rateDoublingInterval = 5 * time.Second
)

// health tracks the failures and the measured bandwidth of each store, by address.
type health struct {
	mu     sync.Mutex
	stores map[string]*storeState
}

type storeState struct {
	failures int
	// retryAt is when the store may be used again after a failure.
	retryAt time.Time
	// rate is the measured bandwidth in bytes per second; 0 means unknown.
	rate float64
	// measuredAt is the time of the last measurement of rate.
	measuredAt time.Time
}

func newHealth() *health { return &health{stores: map[string]*storeState{}} }

func (h *health) state(address string) *storeState {
	if h.stores[address] == nil {
		h.stores[address] = &storeState{}
	}
	return h.stores[address]
}

// allow reports whether a store may be called. When a backoff ends, it allows one call and refuses others until that one
// has ended or another backoff is over, so that a frozen store does not delay all requests at once.
func (h *health) allow(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.state(address)
	if state.failures == 0 {
		return true
	}
	if now.Before(state.retryAt) {
		return false
	}
	state.retryAt = now.Add(backoff(state.failures))
	return true
}

func backoff(failures int) time.Duration {
	return min(maxBackoff, minBackoff<<min(failures-1, 10))
}

func (h *health) recordFailure(address string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.state(address)
	if state.failures > 0 && now.Before(state.retryAt.Add(-backoff(state.failures)/2)) {
		return // Calls that were in progress during the same outage count as one failure.
	}
	state.failures++
	state.retryAt = now.Add(backoff(state.failures))
}

func (h *health) recordSuccess(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state(address).failures = 0
}

// recordTransfer records the size and the time of a completed transfer.
func (h *health) recordTransfer(address string, bytes int64, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.state(address)
	rate := float64(bytes) / took.Seconds()
	if state.rate == 0 {
		state.rate = rate
	}
	state.rate += rateWeight * (rate - state.rate)
	state.measuredAt = now
}

// recordTimeout records a transfer that was aborted before all bytes had arrived. It lowers the measured bandwidth to at
// most half of the bandwidth that would have sufficed to transfer them within the given time.
func (h *health) recordTimeout(address string, bytes int64, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.state(address)
	if rate := float64(bytes) / took.Seconds() / 2; state.rate == 0 || rate < state.rate {
		state.rate = rate
	}
	state.measuredAt = now
}

// bandwidth returns the bandwidth to plan with, at most the given limit.
func (h *health) bandwidth(address string, limit float64, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.state(address)
	if state.rate == 0 {
		return limit
	}
	rate := state.rate
	for age := now.Sub(state.measuredAt); age >= rateDoublingInterval && rate < limit; age -= rateDoublingInterval {
		rate *= 2
	}
	return min(rate, limit)
}

// retain removes the state of all stores but the given ones.
func (h *health) retain(addresses map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address := range h.stores {
		if !addresses[address] {
			delete(h.stores, address)
		}
	}
}
