package sched

import "time"

// Meter measures a rate in tokens per second as an exponential average over busy time.
type Meter struct {
	// Window is the busy time over which an observation fades; default 10 s.
	Window time.Duration
	rate   float64
	weight float64
}

// NewMeter returns a meter that starts from a configured estimate.
func NewMeter(estimate float64) *Meter {
	return &Meter{Window: 10 * time.Second, rate: estimate, weight: 0.5}
}

// Observe adds work done in a busy period.
func (m *Meter) Observe(tokens int64, busy time.Duration) {
	if tokens <= 0 || busy <= 0 {
		return
	}
	seconds := busy.Seconds()
	keep := max(0, 1-seconds/m.Window.Seconds())
	total := m.weight*keep + seconds
	m.rate = (m.rate*m.weight*keep + float64(tokens)) / total
	m.weight = total
}

// Rate returns the measured rate in tokens per second.
func (m *Meter) Rate() float64 { return m.rate }
