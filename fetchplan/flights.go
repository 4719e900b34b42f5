package fetchplan

import (
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// maxFlights bounds the tracked computations; further ones are not shared.
const maxFlights = 65536

// Flights tracks the computations of pieces in progress at one engine: one per piece, for which other requests wait.
type Flights struct {
	byName map[piece.Name]flight
}

type flight struct {
	owner   string
	readyAt time.Time
	// expiresAt ends the flight even if its owner never reports, so that no request waits forever.
	expiresAt time.Time
}

// maxOverrun is the ratio of a computation's time to its estimate after which others stop waiting for it.
const maxOverrun = 2

// NewFlights returns an empty table.
func NewFlights() *Flights { return &Flights{byName: map[piece.Name]flight{}} }

// Begin registers the pieces that owner computes under the plan. Pieces that another request already computes keep
// their owner.
func (f *Flights) Begin(owner string, pieces []piece.Name, plan Plan, now time.Time) {
	for i, step := range plan.Steps {
		if step.Action != Recompute || len(f.byName) >= maxFlights {
			continue
		}
		if _, ok := f.readyAt(pieces[i], now); ok {
			continue
		}
		f.byName[pieces[i]] = flight{owner: owner, readyAt: now.Add(step.Ready), expiresAt: now.Add(maxOverrun*step.Ready + time.Second)}
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
	_, ok := f.readyAt(name, now)
	return f.byName[name].owner, ok
}

func (f *Flights) readyAt(name piece.Name, now time.Time) (time.Time, bool) {
	computation, ok := f.byName[name]
	if !ok || !now.Before(computation.expiresAt) {
		return time.Time{}, false
	}
	return computation.readyAt, true
}
