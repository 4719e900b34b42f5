// Package controlclient is the client of control: it keeps the current object set and memberships of a process and
// makes the calls for bookings, load slots and operators.
package controlclient

import (
	"time"

	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
)

// ProcessState is the state of a process in control.
type ProcessState string

// States of a process. Leaving takes precedence over live; a leaving process gets no new requests.
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
	// Serves is the name of the upstream, store or service of the process.
	Serves     string
	Epoch      uint64
	State      ProcessState
	SetVersion uint64
	Reason     string
}

// View is the current set and memberships of a process. A view is immutable.
type View struct {
	// Set is nil until the first set was received.
	Set     *objectset.Set
	Version uint64
	// Processes holds the registered processes by id.
	Processes map[string]Process
	Revision  uint64
	// Evacuations are the availability zones whose upstreams get no new work.
	Evacuations *evacuation.List
	// Epoch is the epoch that control assigned to this process.
	Epoch uint64
	// FreshUntil is the time from which the process must not accept new requests unless control confirms the set again.
	FreshUntil time.Time
	// Behind is true from the time when a higher version is observed on the data path until that version is received.
	Behind bool
}

// Fresh reports whether new requests may be accepted under this view.
func (v View) Fresh(now time.Time) bool {
	return v.Set != nil && !v.Behind && now.Before(v.FreshUntil)
}

// Source provides the current view.
type Source interface {
	Current() View
	// Changed returns a channel that is closed at the next change of the set, memberships or epoch.
	Changed() <-chan struct{}
	// Observe records a set version observed on the data path.
	Observe(version uint64)
}
