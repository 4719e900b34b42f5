package sched

import (
	"time"

	"github.com/wasabishunt/wasabishunt/ratemeter"
)

// The configured rate of an upstream has the weight of configuredWeight of measurements, which decay over rateWindow.
const (
	configuredWeight = 500 * time.Millisecond
	rateWindow       = 10 * time.Second
)

// NewMeter returns a meter of an upstream's rate in tokens per second that starts with the configured rate.
func NewMeter(configured float64) *ratemeter.Meter {
	return ratemeter.New(configured, configuredWeight, rateWindow)
}
