// Package rollout brings engines to the newest named weights, a few at a time.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Mode says what happens to requests that run when the weights change.
type Mode string

// Modes of an order.
const (
	// AfterRuns lets them finish first.
	AfterRuns Mode = "after_runs"
	// BesideRuns lets them go on under the new weights, which callers value less.
	BesideRuns Mode = "beside_runs"
)

// Engine is one engine as the holder of orders knows it.
type Engine struct {
	ID      string
	Version uint64
	// Ordered is when the last order for the wanted version was sent, zero if none was.
	Ordered time.Time
	// Answered is set if the engine accepted that order.
	Answered bool
	// Busy is set while the engine carries out an order.
	Busy bool
	// Requests in progress from all nodes.
	Requests int
	// Leaving engines get no orders.
	Leaving bool
	// Unreachable engines are tried after the others.
	Unreachable bool
}

// Limits of a rollout.
type Limits struct {
	// Within is the time after which requests must not start on older weights.
	Within time.Duration
}

const (
	// enginesPerLoad is the number of engines for each that may load at the same time: more load slower.
	enginesPerLoad = 5
	fewestLoads    = 2
	// overlap is the number of ordered engines for each that loads: the others still finish their runs.
	overlap = 1.5
	// hurryShare of the time is left to finish runs; engines ordered later load beside them.
	hurryShare = 0.45
	// silentOrder is the time after which an order without an answer is given again. The engine checks that nothing
	// else was carried out in between.
	silentOrder = 1200 * time.Millisecond
	// stuckOrder is the time after which an engine that accepted an order no longer counts as loading.
	stuckOrder = 6 * time.Second
)

// Step is one order to give.
type Step struct {
	Engine string
	Mode   Mode
}

// Next returns the orders to give now. Elapsed is the time since the version was named.
func Next(engines []Engine, wanted uint64, elapsed time.Duration, now time.Time, limits Limits) []Step {
	loading := 0
	var waiting []Engine
	for _, e := range engines {
		if e.Leaving || e.Version >= wanted {
			continue
		}
		age := now.Sub(e.Ordered)
		switch {
		case e.Ordered.IsZero():
			waiting = append(waiting, e)
		case e.Busy && age < stuckOrder, e.Answered && age < stuckOrder, age < silentOrder:
			loading++
		default:
			waiting = append(waiting, e)
		}
	}
	slices.SortStableFunc(waiting, func(a, b Engine) int {
		if a.Unreachable != b.Unreachable {
			if a.Unreachable {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Requests, b.Requests)
	})
	room := AtOnce(len(engines)) - loading
	mode := AfterRuns
	if float64(elapsed) > hurryShare*float64(limits.Within) {
		mode = BesideRuns
	}
	var steps []Step
	for _, e := range waiting[:max(0, min(room, len(waiting)))] {
		steps = append(steps, Step{Engine: e.ID, Mode: mode})
	}
	return steps
}

// AtOnce returns the number of engines that may be under order at the same time.
func AtOnce(engines int) int {
	return int(overlap * float64(max(fewestLoads, engines/enginesPerLoad)))
}
