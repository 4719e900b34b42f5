package main

import (
	"net/http"
	"time"

	"github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/settings"
	"github.com/wasabishunt/wasabishunt/upstream/weightstore"
)

// engineOptions are the settings of a simulated engine. Durations and rates are scaled by TimeScale, see engine.Settings.
type engineOptions struct {
	Name            string        `arg:"--name,env:NAME" default:"engine" help:"name in the log"`
	Model           string        `arg:"--model,env:MODEL" default:"model" help:"model served"`
	WeightVersion   string        `arg:"--weight-version,env:WEIGHT_VERSION" help:"weight version loaded at start"`
	PrefillRate     float64       `arg:"--prefill-rate,env:PREFILL_RATE" default:"20000" help:"prompt tokens per second"`
	DecodeRate      float64       `arg:"--decode-rate,env:DECODE_RATE" default:"50" help:"tokens per second of one run"`
	MaxBatch        int           `arg:"--max-batch,env:MAX_BATCH" default:"16" help:"runs served at once"`
	CacheTokens     int64         `arg:"--cache-tokens,env:CACHE_TOKENS" default:"200000" help:"prefix cache capacity in tokens"`
	KVBytesPerToken int64         `arg:"--kv-bytes-per-token,env:KV_BYTES_PER_TOKEN" default:"64" help:"size of KV blocks"`
	TimeScale       float64       `arg:"--time-scale,env:TIME_SCALE" default:"1" help:"divides all times"`
	EventDelay      time.Duration `arg:"--event-delay,env:EVENT_DELAY" default:"300ms" help:"delay of cache events"`
	EventGapEvery   uint64        `arg:"--event-gap-every,env:EVENT_GAP_EVERY" default:"0" help:"drop each n-th cache event; 0 is none"`
	LoadLag         time.Duration `arg:"--load-lag,env:LOAD_LAG" default:"500ms" help:"age of load reports"`
	LoadTime        time.Duration `arg:"--load-time,env:LOAD_TIME" default:"800ms" help:"time to load weights without a weight store"`
	WeightStore     string        `arg:"--weight-store,env:WEIGHT_STORE" help:"IP address and port of the weight store; empty loads without one"`
	HonorFencing    bool          `arg:"--honor-fencing,env:HONOR_FENCING" help:"refuse weight orders with an old fencing token"`
}

// Validate implements simulator.
func (o *engineOptions) Validate(c *settings.Checker) {
	c.Required("--name", o.Name, "engine-1")
	c.Required("--model", o.Model, "advice")
	settings.Positive(c, "--prefill-rate", o.PrefillRate)
	settings.Positive(c, "--decode-rate", o.DecodeRate)
	settings.Positive(c, "--max-batch", o.MaxBatch)
	settings.Positive(c, "--cache-tokens", o.CacheTokens)
	settings.Positive(c, "--kv-bytes-per-token", o.KVBytesPerToken)
	settings.Positive(c, "--time-scale", o.TimeScale)
	settings.Positive(c, "--event-delay", o.EventDelay)
	settings.Positive(c, "--load-lag", o.LoadLag)
	settings.Positive(c, "--load-time", o.LoadTime)
	if o.WeightStore != "" {
		c.Address("--weight-store", o.WeightStore)
	}
}

// Build implements simulator.
func (o *engineOptions) Build() (http.Handler, string, func()) {
	var source engine.WeightSource
	closeSource := func() {}
	if o.WeightStore != "" {
		client := weightstore.New(o.WeightStore, weightstore.Options{})
		source, closeSource = client, client.Close
	}
	server := engine.New(engine.Settings{
		Model: o.Model, WeightVersion: o.WeightVersion,
		PrefillTokensPerSecond: o.PrefillRate, DecodeTokensPerSecond: o.DecodeRate, MaxBatch: o.MaxBatch,
		CacheTokens: o.CacheTokens, KVBytesPerToken: o.KVBytesPerToken, TimeScale: o.TimeScale,
		EventDelay: o.EventDelay, EventGapEvery: o.EventGapEvery, LoadLag: o.LoadLag, LoadTime: o.LoadTime,
		HonorFencing: o.HonorFencing, Weights: source,
	})
	return server, o.Name, func() {
		server.Close()
		closeSource()
	}
}
