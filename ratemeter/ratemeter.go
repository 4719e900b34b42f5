// Package ratemeter measures a rate, such as tokens or bytes per second, as an exponential average over busy time.
package ratemeter

import "time"

// Meter measures one rate.
type Meter struct {
	window time.Duration
	rate   float64
	weight float64 // Busy seconds behind the rate.
}

// New returns a meter that starts from an estimated rate per second, weighted like the given busy time. Observations
// decay over the window of busy time.
func New(estimate float64, counts, window time.Duration) *Meter {
	return &Meter{window: window, rate: estimate, weight: counts.Seconds()}
}

// Observe adds work done in a busy period.
func (m *Meter) Observe(amount int64, busy time.Duration) {
	if amount <= 0 || busy <= 0 {
		return
	}
	seconds := busy.Seconds()
	keep := max(0, 1-seconds/m.window.Seconds())
	total := m.weight*keep + seconds
	m.rate = (m.rate*m.weight*keep + float64(amount)) / total
	m.weight = total
}

// Rate returns the measured rate per second.
func (m *Meter) Rate() float64 { return m.rate }
