// Package kv connects the agent of one engine with the stores of KV pieces. Before a run it brings the missing whole
// pieces of the prompt into the engine, from a store or from a computation of the same prefix that is in progress;
// after a run it exports pieces to stores in the background.
//
// No answer depends on it: every failure ends in the recomputation of the prompt, within a bounded time.
//
// Locks: planner.mu, exportQueue.mu, health.mu, sentPieces.mu and residency.mu are leaves: none of them is held during
// I/O or while another lock is taken.
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

// Stores reads and writes pieces of store processes; store.Client is its implementation.
type Stores interface {
	Get(ctx context.Context, address string, want piece.Want, rank string) (piece.Header, []byte, error)
	PutIdle(ctx context.Context, address string, h piece.Header, body []byte, rank string, idle time.Duration) (store.Outcome, error)
	Has(ctx context.Context, address, account, rank string, names []piece.Name) (store.Holding, error)
}

// Cache is what the agent believes the engine's prefix cache holds.
type Cache interface {
	// PrefixPieces counts the leading pieces that are believed to be cached.
	PrefixPieces(names []piece.Name) int
	// Stored notes a piece that the engine holds now.
	Stored(name piece.Name)
	// Gone notes a piece that the engine has evicted.
	Gone(name string)
}

// Options are the limits of a Mover.
type Options struct {
	// AskTimeout limits the question which pieces a store holds; default 100 ms.
	AskTimeout time.Duration
	// FetchSlack is how much longer than the recomputation it replaces a fetch may take; default 100 ms.
	FetchSlack time.Duration
	// MaxFetchBytes limits the bodies in fetches at once; default 256 MiB.
	MaxFetchBytes int64
	// ExportQueue is the limit of pieces that wait for their export; default 4096.
	ExportQueue int
	// Exporters is how many pieces are exported at once; default 2.
	Exporters int
	// ExportTimeout limits the export of one piece to all of its stores, waits for the link included; default 30 s.
	ExportTimeout time.Duration
	// PutTimeout limits the transfer of one piece to one store; default 10 s.
	PutTimeout time.Duration
	// SentMemory is how long a piece that a store has is not offered to it again; default 1 min. A store that lost its
	// content is offered the pieces again after that time.
	SentMemory time.Duration
	// LoadPoll is the time between reads of the engine's cache capacity; default 1 s.
	LoadPoll time.Duration
	// AssumedBytesPerSecond is the bandwidth of a link that was neither configured nor measured; default 100,000,000.
	AssumedBytesPerSecond float64
	// LossProbability is the probability, 0 to 1, that a store is lost before a piece returns; it decides on second copies;
	// default cachevalue.DefaultLossProbability.
	LossProbability float64
	// Plan are the settings of fetch plans; default fetchplan.Defaults.
	Plan fetchplan.Settings
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.AskTimeout, 100*time.Millisecond)
	defaults.Set(&o.FetchSlack, 100*time.Millisecond)
	defaults.Set(&o.MaxFetchBytes, 256<<20)
	defaults.Set(&o.ExportQueue, 4096)
	defaults.Set(&o.Exporters, 2)
	defaults.Set(&o.ExportTimeout, 30*time.Second)
	defaults.Set(&o.PutTimeout, 10*time.Second)
	defaults.Set(&o.SentMemory, time.Minute)
	defaults.Set(&o.LoadPoll, time.Second)
	defaults.Set(&o.AssumedBytesPerSecond, 100_000_000)
	defaults.Set(&o.LossProbability, cachevalue.DefaultLossProbability)
	defaults.Set(&o.Plan, fetchplan.Defaults())
	return o
}

// Dependencies are the parts that a Mover works with.
type Dependencies struct {
	Source controlclient.Source
	Engine engine.Client
	// Stores is nil when no pieces are kept outside the engine; computations in progress are still waited for.
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
	// resident follows which pieces the engine holds, to tell which are close to their eviction.
	resident *residency
	values   *values
	fetching *semaphore.Weighted
	counts   counts
	// tickets numbers the requests.
	tickets atomic.Uint64
}

// New returns a Mover. Run must be called for exports to happen.
func New(options Options, deps Dependencies) *Mover {
	options = options.withDefaults()
	defaults.Set[clock.Clock](&deps.Clock, clock.System{})
	defaults.Set(&deps.Registry, gometrics.NewRegistry())
	defaults.Set(&deps.Log, zap.NewNop())
	return &Mover{
		options:  options,
		deps:     deps,
		planner:  newPlanner(options.Plan),
		health:   newHealth(),
		exports:  newExportQueue(options.ExportQueue),
		sent:     newSentPieces(options.SentMemory),
		resident: newResidency(),
		values:   newValues(options.LossProbability),
		fetching: semaphore.NewWeighted(options.MaxFetchBytes),
		counts:   newCounts(deps.Registry),
	}
}

// Run exports pieces until ctx ends, and returns after all of its goroutines have ended.
func (m *Mover) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { m.watchCapacity(ctx) })
	for range m.options.Exporters {
		tasks.Go(func() { m.exportAll(ctx) })
	}
	tasks.Wait()
}

// Evicted notes that the engine dropped a piece, so that it can no longer be exported.
func (m *Mover) Evicted(name string) {
	m.exports.remove(name)
	m.resident.remove(name)
}

// holds notes a piece that the engine has just stored or used.
func (m *Mover) holds(name piece.Name) {
	m.deps.Cache.Stored(name)
	for _, gone := range m.resident.used(name, m.deps.Clock.Now()) {
		m.deps.Cache.Gone(gone)
		m.exports.remove(gone)
	}
}

// Request describes the prompt of one request.
type Request struct {
	ID   string
	Rank string
	// Scope is what the pieces depend on; only pieces of its account and weight version are imported.
	Scope        piece.Scope
	Pieces       []piece.Name
	PromptTokens int64
	// PieceBytes is the size of one piece.
	PieceBytes int64
	// Deadline of the request.
	Deadline time.Time
	// Engine returns the engine's state as the agent measures it now.
	Engine func() EngineState
	// owner names this request among the computations in progress; ids may repeat.
	owner string
}

// EngineState is what a plan needs to know about the engine.
type EngineState struct {
	// PrefillRate is the measured rate in tokens per second; 0 means unknown.
	PrefillRate float64
	// PrefillWait is the time until the engine would start the request's prefill.
	PrefillWait time.Duration
	// LongShare is the share of prefill that a long recomputation gets now.
	LongShare float64
}

func (r *Request) ref(name piece.Name) engine.PieceRef {
	return engine.PieceRef{
		Name: name.String(), Model: r.Scope.Model, WeightVersion: r.Scope.WeightVersion, CacheScope: r.Scope.Account,
		Tokens: piece.TokensPerPiece,
	}
}
