package cachevalue

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// PlaceSettings are the settings of Place.
type PlaceSettings struct {
	// MinGain is the least ratio of expected saved prefill time to transfer time for an export; default 0.3. Exports
	// use idle link time only, so a ratio below 1 pays off: with a MinGain of 1, more tokens are recomputed, and 0 does
	// worse on slow links.
	MinGain float64
	// LossProbability is the probability that a store is lost within the horizon of returns; default
	// DefaultLossProbability. A second copy saves prefill time only in that case, so its expected gain is smaller by
	// this factor.
	LossProbability float64
	// MemoryProbability is the least probability of a return within the horizon for the memory tier; default 0.3.
	MemoryProbability float64
}

// DefaultLossProbability is the probability that one store is lost within 10 min: 32 of about 3,000 VMs fail on an
// ordinary day, and one of 8 availability zones every other month (section 1.4 of the design page), together 1.3% a day.
const DefaultLossProbability = 0.0001

// PlaceDefaults returns the default settings.
func PlaceDefaults() PlaceSettings {
	return PlaceSettings{MinGain: 0.3, LossProbability: DefaultLossProbability, MemoryProbability: 0.3}
}

// Placement is the decision where a piece is stored.
type Placement struct {
	// Export is true if the expected gain justifies the transfer to a store.
	Export bool
	// Copies is the number of stores, 1 or 2.
	Copies int
	// Memory is true for the memory tier, false for disk.
	Memory bool
	// Reason explains the decision.
	Reason string
}

// Reasons returns the explanation for `wasabishunt explain`.
func (p Placement) Reasons() []string { return []string{"cachevalue: " + p.Reason} }

// Place decides on the export of a piece before its eviction. transfer is the time of its transfer including the
// link's queue.
func (r *ReturnPolicy) Place(settings PlaceSettings, entry Entry, transfer time.Duration, now time.Time) Placement {
	probability := r.Probability(entry, now)
	gain := entry.Recompute.Seconds() * probability / max(1e-9, transfer.Seconds())
	p := Placement{Export: gain >= settings.MinGain, Copies: 1, Memory: probability >= settings.MemoryProbability}
	if gain*settings.LossProbability >= settings.MinGain {
		p.Copies = 2
	}
	p.Reason = fmt.Sprintf("return %.2f, gain %.1f of transfer time, export %t, copies %d, memory %t", probability, gain, p.Export, p.Copies, p.Memory)
	return p
}

// ByValue sorts entries for refill after the loss of a store, most valuable first.
func ByValue(policy Policy, entries []Entry, now time.Time) {
	slices.SortStableFunc(entries, func(a, b Entry) int {
		return cmp.Compare(policy.Value(b, now), policy.Value(a, now))
	})
}
