// Package cachevalue estimates the value of retained KV cache. It decides what to export before eviction, what to
// keep in memory, on disk and on a second store, and what to evict. The value is the recompute time that a hit saves
// times the probability of a return. The package is pure: callers pass in the time and serialize calls.
package cachevalue

import (
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// Entry describes one cached piece to policies.
type Entry struct {
	Name    piece.Name
	Account string
	// Class groups prefixes with similar return times, for example by account and kind of work.
	Class string
	Bytes int64
	// Recompute is the prefill time that a hit saves.
	Recompute time.Duration
	LastUse   time.Time
}

// Policy values entries; the tier evicts the least valuable.
type Policy interface {
	// Value returns a score that is comparable between the entries of one tier only.
	Value(entry Entry, now time.Time) float64
	// RecordUse records a use of a piece, hit or miss.
	RecordUse(name piece.Name, class string, now time.Time)
}

// LRU is the baseline policy: the least recently used entry has the least value.
type LRU struct{}

// Value returns the time of the last use.
func (LRU) Value(entry Entry, _ time.Time) float64 { return float64(entry.LastUse.UnixNano()) }

// RecordUse does nothing; LRU uses Entry.LastUse.
func (LRU) RecordUse(piece.Name, string, time.Time) {}

// Settings are the settings of a ReturnPolicy.
type Settings struct {
	// Horizon is the time within which a return counts; default 10 min.
	Horizon time.Duration
	// MaxTracked bounds the pieces whose last use is tracked to measure gaps; default 65536.
	MaxTracked int
	// MaxClasses bounds the classes with an estimate of their own; further ones share one; default 1024.
	MaxClasses int
	// Memory is the number of observations of a class at which all its counts are halved; default 2048.
	Memory float64
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Horizon: 10 * time.Minute, MaxTracked: 65536, MaxClasses: 1024, Memory: 2048}
}

// ReturnPolicy is the policy that estimates returns from the gaps between uses in each class.
type ReturnPolicy struct {
	settings Settings
	classes  map[string]*gaps
	tracked  tracker
}

// New returns a policy without observations.
func New(settings Settings) *ReturnPolicy {
	return &ReturnPolicy{settings: settings, classes: map[string]*gaps{}, tracked: newTracker(settings.MaxTracked)}
}

// RecordUse records a use of a piece. Tracked pieces that expire without a return count as never returned.
func (r *ReturnPolicy) RecordUse(name piece.Name, class string, now time.Time) {
	if last, ok := r.tracked.record(name, class, now); ok {
		r.class(class).recordReturn(now.Sub(last), r.settings.Memory)
	}
	for {
		class, ok := r.tracked.expire(now, maxGap)
		if !ok {
			return
		}
		r.class(class).recordNoReturn(r.settings.Memory)
	}
}

// Value returns the recompute time saved times the probability of a return within the horizon, per byte.
func (r *ReturnPolicy) Value(entry Entry, now time.Time) float64 {
	return entry.Recompute.Seconds() * r.Probability(entry, now) / float64(max(1, entry.Bytes))
}

// Probability estimates the probability that the entry is used within the horizon, given how long it has been idle.
func (r *ReturnPolicy) Probability(entry Entry, now time.Time) float64 {
	idle := now.Sub(entry.LastUse)
	return r.class(entry.Class).probability(idle, r.settings.Horizon)
}

func (r *ReturnPolicy) class(name string) *gaps {
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
