package kv

import (
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/store"
)

// target is a store of the set.
type target struct {
	name    string
	address string
	// limit is the configured bandwidth of the store's link in bytes per second; 0 means none.
	limit float64
	// unavailable is true if all processes of the store are dead or leaving. Such a store still counts when the stores that
	// may hold a piece are chosen, but it is not called.
	unavailable bool
}

// targets returns all stores of the current set.
func (m *Mover) targets() []target {
	view := m.deps.Source.Current()
	if view.Set == nil {
		return nil
	}
	list := make([]target, 0, len(view.Set.Stores))
	for _, s := range view.Set.Stores {
		list = append(list, target{s.Name, s.Address, float64(s.LinkBytesPerSecond), isUnavailable(view, s.Name)})
	}
	return list
}

// isUnavailable reports whether every known process of a store is dead or leaving.
func isUnavailable(view controlclient.View, name string) bool {
	known, live := false, false
	for _, process := range view.Processes {
		if process.Role == store.Role && process.Serves == name {
			known = true
			live = live || process.State == controlclient.Live
		}
	}
	return known && !live
}

// candidates returns the available stores that may hold a piece, in order of preference.
func candidates(name piece.Name, targets []target) []target {
	names := make([]string, len(targets))
	for i, t := range targets {
		names[i] = t.name
	}
	var list []target
	for _, candidate := range store.Candidates(name, names) {
		i := slices.Index(names, candidate)
		if !targets[i].unavailable {
			list = append(list, targets[i])
		}
	}
	return list
}

// bandwidth returns the bandwidth to plan with for a store that has reported its own estimate.
func (m *Mover) bandwidth(t target, reported float64, now time.Time) float64 {
	limit := reported
	if limit <= 0 || (t.limit > 0 && t.limit < limit) {
		limit = t.limit
	}
	if limit <= 0 {
		limit = m.options.AssumedBytesPerSecond
	}
	return m.health.bandwidth(t.address, limit, now)
}
