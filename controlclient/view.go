// Package controlclient is the client side of control: the object set and memberships that a process
// has in force, bookings, and the operators' calls.
package controlclient

import (
	"time"

	"github.com/wasabishunt/wasabishunt/objectset"
)

// ProcessState is a process's state as control sees it.
type ProcessState string

// States of a process. Leaving wins over live; a leaving process gets no new work.
const (
	Live    ProcessState = "live"
	Leaving ProcessState = "leaving"
	Dead    ProcessState = "dead"
)

// Process is one registered process.
type Process struct {
	ID      string
	Role    string
	Address string
	Zone    string
	// Serves names the upstream, store or service of the process.
	Serves     string
	Epoch      uint64
	State      ProcessState
	SetVersion uint64
	Reason     string
}

// View is what a process has in force. It is never changed after it was handed out.
type View struct {
	// Set is nil until the first set has arrived.
	Set     *objectset.Set
	Version uint64
	// Processes by id.
	Processes map[string]Process
	Revision  uint64
	// Epoch of the process that watches, as assigned by control.
	Epoch uint64
	// FreshUntil is when the process must stop taking new work unless control confirms the set again.
	FreshUntil time.Time
	// Behind is true after a higher version was seen on the data path and until that version has arrived.
	Behind bool
}

// Fresh reports whether new work may be taken under this view.
func (v View) Fresh(now time.Time) bool {
	return v.Set != nil && !v.Behind && now.Before(v.FreshUntil)
}

// Source gives the view in force.
type Source interface {
	Current() View
	// Changed returns a channel that is closed at the next change of the set, memberships or epoch.
	Changed() <-chan struct{}
	// Observe reports a set version seen on the data path.
	Observe(version uint64)
}
