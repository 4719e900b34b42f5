package fetchplan

import (
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// maxFlights bounds remembered computations; beyond it new ones are not shared.
const maxFlights = 65536

// Flights are the computations of pieces in progress at one engine: one for each piece, others wait for it.
type Flights struct {
	byName map[piece.Name]flight
}

type flight struct {
	owner string
	until time.Time
	// limit ends the flight even if its owner never reports, so that nobody waits for ever.
	limit time.Time
}

// overrun is how much longer than estimated a computation may take before others stop waiting for it.
const overrun = 2

// NewFlights returns an empty table.
func NewFlights() *Flights { return &Flights{byName: map[piece.Name]flight{}} }

// Begin registers the pieces that the request computes under the plan. Pieces that another request computes already
// stay its own.
func (f *Flights) Begin(owner string, pieces []piece.Name, plan Plan, now time.Time) {
	for i, step := range plan.Steps {
		if step.Action != Recompute || len(f.byName) >= maxFlights {
			continue
		}
		if _, ok := f.until(pieces[i], now); ok {
			continue
		}
		f.byName[pieces[i]] = flight{owner: owner, until: now.Add(step.Ready), limit: now.Add(overrun*step.Ready + time.Second)}
	}
}

// End removes the owner's computations among the pieces, whether they succeeded or not.
func (f *Flights) End(owner string, pieces []piece.Name) {
	for _, name := range pieces {
		if f.byName[name].owner == owner {
			delete(f.byName, name)
		}
	}
}

// Owner returns the request that computes the piece.
func (f *Flights) Owner(name piece.Name, now time.Time) (string, bool) {
	_, ok := f.until(name, now)
	return f.byName[name].owner, ok
}

func (f *Flights) until(name piece.Name, now time.Time) (time.Time, bool) {
	one, ok := f.byName[name]
	if !ok || !now.Before(one.limit) {
		return time.Time{}, false
	}
	return one.until, true
}
