package sched

import (
	"time"

	"github.com/wasabishunt/wasabishunt/ratemeter"
)

// The configured rate of an upstream counts like half a second of measurements, and these fade over ten.
const (
	configuredCounts = 500 * time.Millisecond
	rateWindow       = 10 * time.Second
)

// NewMeter returns a meter of an upstream's tokens per second that starts from the configured rate.
func NewMeter(configured float64) *ratemeter.Meter {
	return ratemeter.New(configured, configuredCounts, rateWindow)
}
