// Package engine is a stand-in for a model engine: a real-time model of continuous batching with a limited prefix
// cache, behind the HTTP interface of package upstream/engine.
//
// Locks: Server.mu guards all tables of one engine. It is never held during I/O or while waiting.
package engine

import (
	"time"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/piece"
)

// Settings are the settings of one engine stand-in. Times are model times, which pass TimeScale times as fast as real time.
type Settings struct {
	// Model is the model that the engine serves; default "model".
	Model string
	// WeightVersion is the version loaded at start; empty means none.
	WeightVersion string
	// PrefillTokensPerSecond is shared by all runs; default 20,000.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the decode rate of one run; default 50.
	DecodeTokensPerSecond float64
	// MaxBatch is the number of runs served at once; default 16.
	MaxBatch int
	// MaxQueued is the number of runs that may wait; default 1,024.
	MaxQueued int
	// MaxRunTokens limits the answer of one run, in tokens; default 16,384.
	MaxRunTokens int64
	// CacheTokens is the capacity of the prefix cache in tokens; default 200,000.
	CacheTokens int64
	// KVBytesPerToken is the size of exported KV blocks in bytes; default 64.
	KVBytesPerToken int64
	// TimeScale divides all times; default 1.
	TimeScale float64
	// EventDelay is the time until a cache event becomes visible; default 300 ms.
	EventDelay time.Duration
	// EventGapEvery drops each n-th cache event; 0 means none, the default.
	EventGapEvery uint64
	// LoadLag is the age of the load report; default 500 ms.
	LoadLag time.Duration
	// HonorFencing refuses weight orders with a token lower than the highest received; default false.
	HonorFencing bool
	// LoadTime is the load time of weights without a weight store; default 800 ms.
	LoadTime time.Duration
	// Weights fetches weights; nil waits LoadTime instead.
	Weights WeightSource
	// KeepAlive is the real time between keep-alive comments on a stream; default 1 s.
	KeepAlive time.Duration
}

const (
	// maxEvents is the number of cache events kept for readers.
	maxEvents = 4096
	// maxRuns is the number of runs kept in the log.
	maxRuns = 100_000
	// minTick is the shortest step of the time model.
	minTick = time.Millisecond
	// tokensPerPiece is the length of a cached piece.
	tokensPerPiece = piece.TokensPerPiece
	// maxRequestBytes limits the body of a completion request.
	maxRequestBytes = 64 << 20
	// writeTimeout limits one write, so that a client that does not read cannot block it.
	writeTimeout = 10 * time.Second
)

func (s Settings) withDefaults() Settings {
	defaults.Set(&s.Model, "model")
	defaults.Set(&s.PrefillTokensPerSecond, 20_000)
	defaults.Set(&s.DecodeTokensPerSecond, 50)
	defaults.Set(&s.MaxBatch, 16)
	defaults.Set(&s.MaxQueued, 1024)
	defaults.Set(&s.MaxRunTokens, 16_384)
	defaults.Set(&s.CacheTokens, 200_000)
	defaults.Set(&s.KVBytesPerToken, 64)
	defaults.Set(&s.TimeScale, 1)
	defaults.Set(&s.EventDelay, 300*time.Millisecond)
	defaults.Set(&s.LoadLag, 500*time.Millisecond)
	defaults.Set(&s.LoadTime, 800*time.Millisecond)
	defaults.Set(&s.KeepAlive, time.Second)
	return s
}

// scaled converts a model time to real time.
func (s Settings) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.TimeScale)
}
