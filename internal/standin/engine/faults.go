package engine

import (
	"context"
	"sync"
)

// FaultSettings are set by POST /standin/faults; each call replaces all of them.
type FaultSettings struct {
	// Freeze stops the model and blocks every call until it is cleared.
	Freeze bool `json:"freeze"`
	// Refuse answers every call with a refusal.
	Refuse bool `json:"refuse"`
	// SlowFactor divides the token rates; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// BreakNextAfter closes the next stream, without its final event, after so many tokens; nil means none.
	BreakNextAfter *int64 `json:"break_next_after,omitempty"`
	// LoseNextAnswer closes the connection of the next call that changes state after the call took effect.
	LoseNextAnswer bool `json:"lose_next_answer"`
	// IgnoreNextWeightOrder accepts the next weight order without loading anything.
	IgnoreNextWeightOrder bool `json:"ignore_next_weight_order"`
}

// faults holds the fault settings. faults.mu may be acquired while Server.mu is held.
type faults struct {
	mu      sync.Mutex
	current FaultSettings
	// thawed is closed when the engine is not frozen.
	thawed chan struct{}
}

func newFaults() *faults {
	thawed := make(chan struct{})
	close(thawed)
	return &faults{thawed: thawed}
}

func (f *faults) set(settings FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if settings.Freeze && !f.current.Freeze {
		f.thawed = make(chan struct{})
	}
	if !settings.Freeze && f.current.Freeze {
		close(f.thawed)
	}
	f.current = settings
}

func (f *faults) get() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// wait blocks while the engine is frozen.
func (f *faults) wait(ctx context.Context) error {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *faults) slowFactor() float64 {
	return max(f.get().SlowFactor, 1)
}

// consumeBreak returns the token count after which the next stream breaks, or -1, and clears it.
func (f *faults) consumeBreak() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.BreakNextAfter == nil {
		return -1
	}
	after := *f.current.BreakNextAfter
	f.current.BreakNextAfter = nil
	return after
}

func (f *faults) consumeLoseAnswer() bool  { return f.consume(&f.current.LoseNextAnswer) }
func (f *faults) consumeIgnoreOrder() bool { return f.consume(&f.current.IgnoreNextWeightOrder) }

func (f *faults) consume(flag *bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	wasSet := *flag
	*flag = false
	return wasSet
}
