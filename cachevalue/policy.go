// Package cachevalue decides what retained KV cache is worth: what to export before eviction, what to keep in memory,
// on disk and on a second store, and what to evict. Value is the recompute time that a hit saves times
// the probability of a return. It is pure; the time is passed in and callers serialize calls.
package cachevalue

import (
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// Entry is one kept piece as policies see it.
type Entry struct {
	Name    piece.Name
	Account string
	// Class groups prefixes that return alike, such as account and kind of work.
	Class string
	Bytes int64
	// Recompute is the prefill time that a hit saves.
	Recompute time.Duration
	LastUse   time.Time
}

// Policy values entries; the tier evicts the least valuable.
type Policy interface {
	// Value compares entries; only its order matters between entries of one tier.
	Value(entry Entry, now time.Time) float64
	// Used observes a use of a piece, hit or miss.
	Used(name piece.Name, class string, now time.Time)
}

// LRU is the baseline: the least recently used entry has the least value.
type LRU struct{}

// Value is the time of the last use.
func (LRU) Value(entry Entry, _ time.Time) float64 { return float64(entry.LastUse.UnixNano()) }

// Used does nothing; LRU looks at the entry's own last use.
func (LRU) Used(piece.Name, string, time.Time) {}

// Settings of Returns.
type Settings struct {
	// Horizon is how far ahead a return counts; default 10 min.
	Horizon time.Duration
	// MaxTracked bounds the pieces whose last use is remembered to observe gaps; default 65536.
	MaxTracked int
	// MaxClasses bounds the classes with their own estimate; further ones share one; default 1024.
	MaxClasses int
	// Memory is the number of observed gaps of a class after which older ones count half; default 2048.
	Memory float64
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Horizon: 10 * time.Minute, MaxTracked: 65536, MaxClasses: 1024, Memory: 2048}
}

// Returns is the policy that estimates returns from the gaps observed in each class.
type Returns struct {
	settings Settings
	classes  map[string]*gaps
	tracked  tracker
}

// New returns a policy without observations.
func New(settings Settings) *Returns {
	return &Returns{settings: settings, classes: map[string]*gaps{}, tracked: newTracker(settings.MaxTracked)}
}

// Used observes a use of a piece. Pieces forgotten without a return count as never returned.
func (r *Returns) Used(name piece.Name, class string, now time.Time) {
	if last, ok := r.tracked.use(name, class, now); ok {
		r.class(class).returned(now.Sub(last), r.settings.Memory)
	}
	for {
		class, ok := r.tracked.forget(now, maxGap)
		if !ok {
			return
		}
		r.class(class).neverReturned(r.settings.Memory)
	}
}

// Value is the recompute time saved times the probability of a return within the horizon, for each byte.
func (r *Returns) Value(entry Entry, now time.Time) float64 {
	return entry.Recompute.Seconds() * r.Probability(entry, now) / float64(max(1, entry.Bytes))
}

// Probability estimates that the entry is used within the horizon, given how long it has been idle.
func (r *Returns) Probability(entry Entry, now time.Time) float64 {
	idle := now.Sub(entry.LastUse)
	return r.class(entry.Class).probability(idle, r.settings.Horizon)
}

func (r *Returns) class(name string) *gaps {
	if g := r.classes[name]; g != nil {
		return g
	}
	if len(r.classes) >= r.settings.MaxClasses {
		name = ""
	}
	if r.classes[name] == nil {
		r.classes[name] = &gaps{}
	}
	return r.classes[name]
}
