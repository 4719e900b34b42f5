// Package clock provides the source of time of daemons, which tests can replace.
package clock

import "time"

// Clock returns the current time. Implementations used by daemons include a monotonic clock reading.
type Clock interface {
	Now() time.Time
}

// System is the system clock.
type System struct{}

// Now returns the current time with a monotonic clock reading.
func (System) Now() time.Time { return time.Now() }
