// Package rollout makes engines load the newest weights that operators have named, a few engines at a time.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Engine is the state of one engine.
type Engine struct {
	ID      string
	Version uint64
	// Ordered is when the last order for the wanted version was sent, zero if none was.
	Ordered time.Time
	// Answered is set if the engine accepted that order.
	Answered bool
	// Busy is set while the engine carries out an order.
	Busy bool
	// Requests is the number of requests in progress from all nodes.
	Requests int
	// Draining engines get no orders.
	Draining bool
	// Unreachable is set if the last order or its report failed; such engines get orders after the others.
	Unreachable bool
}

const (
	// enginesPerLoad is the number of engines per concurrent load: with more, each load is slower.
	enginesPerLoad = 5
	minLoads       = 2
	// ordersPerLoad is the number of engines with an order per loading one: the order to another one is still on its way.
	ordersPerLoad = 1.5
	// unansweredTimeout is the time after which an order without an answer is sent again. The engine checks that it
	// carried out no other order in between.
	unansweredTimeout = 1200 * time.Millisecond
	// loadTimeout is the time after which an engine that accepted an order no longer counts as loading.
	loadTimeout = 6 * time.Second
)

// NextOrders returns the engines that get an order now. Running requests continue under the new weights: an engine that
// let them finish first would serve nobody else for several seconds, until the longest has ended.
func NextOrders(engines []Engine, wantedVersion uint64, now time.Time) []string {
	loading := 0
	var waiting []Engine
	for _, e := range engines {
		if e.Draining || e.Version >= wantedVersion {
			continue
		}
		age := now.Sub(e.Ordered)
		switch {
		case e.Ordered.IsZero():
			waiting = append(waiting, e)
		case e.Busy && age < loadTimeout, e.Answered && age < loadTimeout, age < unansweredTimeout:
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
	available := MaxConcurrentOrders(len(engines)) - loading
	var ordered []string
	for _, e := range waiting[:max(0, min(available, len(waiting)))] {
		ordered = append(ordered, e.ID)
	}
	return ordered
}

// MaxConcurrentOrders returns the number of engines that may have an order in progress at the same time.
func MaxConcurrentOrders(engines int) int {
	return int(ordersPerLoad * float64(max(minLoads, engines/enginesPerLoad)))
}
