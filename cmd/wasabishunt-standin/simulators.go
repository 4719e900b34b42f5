package main

import (
	"net/http"
	"os"
	"time"

	"github.com/wasabishunt/wasabishunt/internal/standin/service"
	"github.com/wasabishunt/wasabishunt/internal/standin/vmlist"
	"github.com/wasabishunt/wasabishunt/internal/standin/weights"
	"github.com/wasabishunt/wasabishunt/settings"
)

// exitCrash is the exit code of a crash injected as a fault.
const exitCrash = 3

// serviceOptions are the settings of a simulated plain service.
type serviceOptions struct {
	Name string `arg:"--name,env:NAME" default:"service" help:"name in the log"`
}

// Validate implements simulator.
func (o *serviceOptions) Validate(c *settings.Checker) { c.Required("--name", o.Name, "engine-1") }

// Build implements simulator.
func (o *serviceOptions) Build() (http.Handler, string, func()) {
	return service.New(func() { os.Exit(exitCrash) }), o.Name, func() {}
}

// vmlistOptions are the settings of a simulated VM list.
type vmlistOptions struct {
	Lag time.Duration `arg:"--lag,env:LAG" default:"2s" help:"age of the list that readers see"`
}

// Validate implements simulator.
func (o *vmlistOptions) Validate(c *settings.Checker) {
	if o.Lag < 0 {
		c.AddProblem("--lag", "must not be negative, is %v", o.Lag)
	}
}

// Build implements simulator.
func (o *vmlistOptions) Build() (http.Handler, string, func()) {
	return vmlist.New(o.Lag, time.Now), "vmlist", func() {}
}

// weightsOptions are the settings of a simulated weight store.
type weightsOptions struct {
	Bytes        int64         `arg:"--bytes,env:BYTES" default:"8000000" help:"size of a weight version"`
	StreamRate   float64       `arg:"--stream-rate,env:STREAM_RATE" default:"10000000" help:"bytes per second of one transfer"`
	TotalRate    float64       `arg:"--total-rate,env:TOTAL_RATE" default:"20000000" help:"bytes per second of all transfers"`
	MaxTransfers int           `arg:"--max-transfers,env:MAX_TRANSFERS" default:"4" help:"transfers at once"`
	RetryAfter   time.Duration `arg:"--retry-after,env:RETRY_AFTER" default:"500ms" help:"wait asked of refused readers"`
	TimeScale    float64       `arg:"--time-scale,env:TIME_SCALE" default:"1" help:"multiplies rates and divides times"`
}

// Validate implements simulator.
func (o *weightsOptions) Validate(c *settings.Checker) {
	settings.Positive(c, "--bytes", o.Bytes)
	settings.Positive(c, "--stream-rate", o.StreamRate)
	settings.Positive(c, "--total-rate", o.TotalRate)
	settings.Positive(c, "--max-transfers", o.MaxTransfers)
	settings.Positive(c, "--retry-after", o.RetryAfter)
	settings.Positive(c, "--time-scale", o.TimeScale)
}

// Build implements simulator.
func (o *weightsOptions) Build() (http.Handler, string, func()) {
	return weights.New(weights.Settings{
		Bytes: o.Bytes, StreamBytesPerSecond: o.StreamRate, TotalBytesPerSecond: o.TotalRate,
		MaxTransfers: o.MaxTransfers, RetryAfter: o.RetryAfter, TimeScale: o.TimeScale,
	}), "weights", func() {}
}
