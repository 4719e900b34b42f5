// Package clock lets daemons and tests share one notion of time.
package clock

import "time"

// Clock tells the time. Implementations used by daemons carry a monotonic reading.
type Clock interface {
	Now() time.Time
}

// System is the machine's clock.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }
