package sched

import (
	"time"

	"github.com/wasabishunt/wasabishunt/ratemeter"
)

const (
	// configuredWeight is the weight of the configured rate in a meter, as a time of measurement.
	configuredWeight = 500 * time.Millisecond
	// rateWindow is the busy time over which older measurements lose their weight.
	rateWindow = 10 * time.Second
)

// NewMeter returns a meter of an upstream's rate in tokens per second that starts with the configured rate.
func NewMeter(configured float64) *ratemeter.Meter {
	return ratemeter.New(configured, configuredWeight, rateWindow)
}
