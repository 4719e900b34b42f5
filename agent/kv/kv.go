// Package kv connects an engine's agent with the stores of KV pieces. Before a run it copies missing pieces of the prompt
// from stores into the engine, or waits while another request computes the same prefix. After a run it exports pieces to
// stores in the background.
//
// Correctness does not depend on it: after any failure the prompt is recomputed, within a bounded time.
//
// Locks: planner.mu, exportQueue.mu, health.mu, values.mu, sentPieces.mu and residency.mu are leaf locks: no I/O is done and no other
// lock is acquired while one of them is held.
package kv

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/wasabishunt/wasabishunt/cachevalue"
	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/store"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// Stores reads and writes pieces of store processes; it is implemented by store.Client.
type Stores interface {
	Get(ctx context.Context, address string, want piece.Want, rank string) (piece.Header, []byte, error)
	PutIdle(ctx context.Context, address string, h piece.Header, body []byte, rank string, idle time.Duration) (store.Outcome, error)
	Has(ctx context.Context, address, account, rank string, names []piece.Name) (store.HasResult, error)
}

// Cache is the agent's estimate of what the engine's prefix cache holds.
type Cache interface {
	// PrefixPieces returns the number of leading pieces that are estimated to be cached.
	PrefixPieces(names []piece.Name) int
	// RecordStored records that the engine holds a piece now.
	RecordStored(name piece.Name)
	// RecordEvicted records that the engine has evicted a piece.
	RecordEvicted(name string)
}

// Options are the limits of a Mover.
type Options struct {
	// LookupTimeout limits the lookup of pieces in a store; default 100 ms.
	LookupTimeout time.Duration
	// FetchSlack is how much longer a fetch may take than the recomputation that it replaces; default 100 ms.
	FetchSlack time.Duration
	// MaxFetchBytes limits the total size of pieces being fetched; default 256 MiB.
	MaxFetchBytes int64
	// ExportQueue limits the pieces queued for export; default 4096.
	ExportQueue int
	// Exporters is the number of pieces exported concurrently; default 2.
	Exporters int
	// ExportTimeout limits the export of one piece to all of its stores, including waits for the link; default 30 s.
	ExportTimeout time.Duration
	// PutTimeout limits the transfer of one piece to one store; default 10 s.
	PutTimeout time.Duration
	// SentRetention is how long a piece that a store holds is not offered to it again; default 1 min. After that time a store
	// that lost its content is offered the pieces again.
	SentRetention time.Duration
	// LoadPollInterval is the time between reads of the engine's cache capacity; default 1 s.
	LoadPollInterval time.Duration
	// AssumedBytesPerSecond is the bandwidth of a link that was neither configured nor measured; default 100,000,000.
	AssumedBytesPerSecond float64
	// LossProbability is the probability, 0 to 1, that a store is lost within 10 min, the horizon of package cachevalue; it
	// decides on second copies; default cachevalue.DefaultLossProbability.
	LossProbability float64
	// Plan are the settings of fetch plans; default fetchplan.Defaults.
	Plan fetchplan.Settings
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.LookupTimeout, 100*time.Millisecond)
	defaults.Set(&o.FetchSlack, 100*time.Millisecond)
	defaults.Set(&o.MaxFetchBytes, 256<<20)
	defaults.Set(&o.ExportQueue, 4096)
	defaults.Set(&o.Exporters, 2)
	defaults.Set(&o.ExportTimeout, 30*time.Second)
	defaults.Set(&o.PutTimeout, 10*time.Second)
	defaults.Set(&o.SentRetention, time.Minute)
	defaults.Set(&o.LoadPollInterval, time.Second)
	defaults.Set(&o.AssumedBytesPerSecond, 100_000_000)
	defaults.Set(&o.LossProbability, cachevalue.DefaultLossProbability)
	defaults.Set(&o.Plan, fetchplan.Defaults())
	return o
}

// Dependencies are the components that a Mover uses.
type Dependencies struct {
	Source controlclient.Source
	Engine engine.Client
	// Stores is nil if no pieces are kept outside the engine; computations of other requests are still waited for.
	Stores   Stores
	Cache    Cache
	Clock    clock.Clock
	Registry gometrics.Registry
	Log      *zap.Logger
}

// Mover moves pieces between one engine and the stores.
type Mover struct {
	options Options
	deps    Dependencies
	planner *planner
	health  *health
	exports *exportQueue
	sent    *sentPieces
	// resident tracks the pieces in the engine's cache, to find those close to eviction.
	resident *residency
	values   *values
	// fetchBudget limits the total size of pieces being fetched to MaxFetchBytes.
	fetchBudget *semaphore.Weighted
	counts      counts
	// lastOwner is the number of the latest request.
	lastOwner atomic.Uint64
}

// New returns a Mover. Pieces are exported only while Run runs.
func New(options Options, deps Dependencies) *Mover {
	options = options.withDefaults()
	defaults.Set[clock.Clock](&deps.Clock, clock.System{})
	defaults.Set(&deps.Registry, gometrics.NewRegistry())
	defaults.Set(&deps.Log, zap.NewNop())
	return &Mover{
		options:     options,
		deps:        deps,
		planner:     newPlanner(options.Plan),
		health:      newHealth(),
		exports:     newExportQueue(options.ExportQueue),
		sent:        newSentPieces(options.SentRetention),
		resident:    newResidency(),
		values:      newValues(options.LossProbability),
		fetchBudget: semaphore.NewWeighted(options.MaxFetchBytes),
		counts:      newCounts(deps.Registry),
	}
}

// Run exports pieces until ctx ends, and returns after all of its goroutines have ended.
func (m *Mover) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { m.watchCapacity(ctx) })
	for range m.options.Exporters {
		tasks.Go(func() { m.runExporter(ctx) })
	}
	tasks.Wait()
}

// RecordEvicted records that the engine has evicted a piece, which then can no longer be exported.
func (m *Mover) RecordEvicted(name string) {
	m.exports.remove(name)
	m.resident.remove(name)
}

// recordCached records that the engine has just stored or used a piece.
func (m *Mover) recordCached(name piece.Name) {
	m.deps.Cache.RecordStored(name)
	for _, evicted := range m.resident.recordUse(name, m.deps.Clock.Now()) {
		m.deps.Cache.RecordEvicted(evicted)
		m.exports.remove(evicted)
	}
}

// Request describes the prompt of one request.
type Request struct {
	ID   string
	Rank string
	// Scope is the part of the request that piece names are derived from, apart from the tokens; only pieces of its account
	// and weight version are imported.
	Scope        piece.Scope
	Pieces       []piece.Name
	PromptTokens int64
	// PieceBytes is the size of one piece.
	PieceBytes int64
	// Deadline is the request's deadline.
	Deadline time.Time
	// Engine returns the engine's current state as measured by the agent.
	Engine func() EngineState
	// owner identifies this request among those in progress; request ids may repeat.
	owner string
}

// EngineState is the state of the engine that a plan depends on.
type EngineState struct {
	// PrefillRate is the measured rate in tokens per second; 0 means unknown.
	PrefillRate float64
	// PrefillWait is the time until the engine would start the request's prefill.
	PrefillWait time.Duration
	// LongShare is the share of the prefill rate that a long recomputation gets now.
	LongShare float64
}

func (r *Request) ref(name piece.Name) engine.PieceRef {
	return engine.PieceRef{
		Name: name.String(), Model: r.Scope.Model, WeightVersion: r.Scope.WeightVersion, CacheScope: r.Scope.Account,
		Tokens: piece.TokensPerPiece,
	}
}
