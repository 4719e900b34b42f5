package agent

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/store"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// Stores is what the agent asks of store processes.
type Stores interface {
	Has(ctx context.Context, address, account, rank string, names []piece.Name) (store.Holding, error)
	Get(ctx context.Context, address string, want piece.Want, rank string) (piece.Header, []byte, error)
	Put(ctx context.Context, address string, h piece.Header, body []byte, rank string) (store.Outcome, error)
}

// storeRole is the role under which stores report their presence.
const storeRole = "store"

// liveStores returns the addresses of the set's live stores by name.
func liveStores(view controlclient.View) map[string]string {
	live := map[string]string{}
	for _, process := range view.Processes {
		if process.Role == storeRole && process.State == controlclient.Live {
			live[process.Serves] = process.Address
		}
	}
	return live
}

// holders returns, by store, the indexes of the pieces that the store may hold.
func holders(set *objectset.Set, pieces []piece.Name) map[string][]int {
	names := make([]string, len(set.Stores))
	for i, s := range set.Stores {
		names[i] = s.Name
	}
	held := map[string][]int{}
	for i, name := range pieces {
		for _, holder := range store.Holders(name, names) {
			held[holder] = append(held[holder], i)
		}
	}
	return held
}

// plan decides for each piece that the engine lacks whether to fetch it, to compute it, or to wait for a
// computation in progress.
func (a *Agent) plan(ctx context.Context, view controlclient.View, j *job) {
	first := int(j.cached / piece.TokensPerPiece)
	if first >= len(j.pieces) {
		return
	}
	sources := a.sources(ctx, view, j, first)
	prefill, _ := a.rates.current()
	request := fetchplan.Request{
		Pieces: j.pieces, CachedPieces: first, PromptTokens: j.promptTokens, PieceBytes: pieceBytes(view.Set, j.request.GetModel()),
		PrefillRate: prefill, LongShare: 1, Sources: sources,
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	if prefill > 0 {
		request.PrefillWait = time.Duration(float64(a.queue.QueuedTokens()) / prefill * float64(time.Second))
	}
	j.plan = fetchplan.Decide(a.options.Fetch, request, a.flights, now)
	a.flights.Begin(j.id, j.pieces, j.plan, now)
	j.decisions = append(j.decisions, j.plan.Reasons()...)
}

// endFlights tells waiting requests that this job computes its pieces no longer.
func (a *Agent) endFlights(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.flights.End(j.id, j.pieces)
	close(a.flightsEnded)
	a.flightsEnded = make(chan struct{})
}

func pieceBytes(set *objectset.Set, model string) int64 {
	for _, m := range set.Models {
		if m.Name == model {
			return m.BytesPerToken * piece.TokensPerPiece
		}
	}
	return 0
}

// sources asks the stores that may hold the pieces from first on. A store that does not answer in time holds nothing.
func (a *Agent) sources(ctx context.Context, view controlclient.View, j *job, first int) []fetchplan.Source {
	if a.deps.Stores == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.HasTimeout)
	defer cancel()
	live := liveStores(view)
	candidates := holders(view.Set, j.pieces[first:])
	answers := make(chan fetchplan.Source, len(candidates))
	var group errgroup.Group
	for name, indexes := range candidates {
		if live[name] != "" {
			group.Go(func() error {
				answers <- a.askStore(ctx, name, live[name], j, first, indexes)
				return nil
			})
		}
	}
	_ = group.Wait()
	close(answers)
	j.addresses = live
	var sources []fetchplan.Source
	for source := range answers {
		sources = append(sources, source)
	}
	return sources
}

func (a *Agent) askStore(ctx context.Context, name, address string, j *job, first int, indexes []int) fetchplan.Source {
	source := fetchplan.Source{Name: name, Has: make([]bool, len(j.pieces))}
	names := make([]piece.Name, len(indexes))
	for i, index := range indexes {
		names[i] = j.pieces[first+index]
	}
	sent := time.Now()
	holding, err := a.deps.Stores.Has(ctx, address, j.account.Name, j.rank.Name, names)
	if err != nil {
		return source
	}
	source.Delay = time.Since(sent)
	source.Wait = holding.LinkWait
	source.BytesPerSecond = holding.BytesPerSecond
	for i, index := range indexes {
		source.Has[first+index] = holding.Held[i]
	}
	return source
}

// gather fetches the planned pieces and waits for those that others compute, within FetchTimeout.
// Whatever fails is computed by the engine.
func (a *Agent) gather(ctx context.Context, j *job) {
	if j.plan.FetchedTokens+j.plan.WaitTokens == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.FetchTimeout)
	defer cancel()
	ready := make([]bool, len(j.plan.Steps))
	var group errgroup.Group
	group.SetLimit(fetchesPerJob)
	for i, step := range j.plan.Steps {
		if step.Action == fetchplan.Fetch {
			group.Go(func() error {
				ready[i] = a.fetch(ctx, j, j.pieces[i], j.addresses[step.Source])
				return nil
			})
		}
	}
	_ = group.Wait()
	a.settle(ctx, j, ready)
}

// fetchesPerJob bounds the piece bodies that one request holds in memory; Options.MaxFetches bounds those of all.
const fetchesPerJob = 2

// settle counts the prefix that the engine now holds, waiting for pieces in computation in their order.
func (a *Agent) settle(ctx context.Context, j *job, ready []bool) {
	var prefix, fetched int64
	for i, step := range j.plan.Steps {
		switch step.Action {
		case fetchplan.Cached:
		case fetchplan.Fetch:
			if !ready[i] {
				j.cached = prefix
				return
			}
			fetched += piece.TokensPerPiece
		case fetchplan.Wait:
			a.count("pieces.awaited")
			if !a.awaitFlight(ctx, j.pieces[i]) {
				j.cached = prefix
				return
			}
		default:
			j.cached = prefix
			return
		}
		prefix += piece.TokensPerPiece
		j.cached = prefix
		j.fetched = fetched
	}
}

// fetch copies one piece from a store to the engine. The name covers account, model and weight version, and the
// client checks that the body is the one named; the version is compared once more before the engine reads it.
func (a *Agent) fetch(ctx context.Context, j *job, name piece.Name, address string) bool {
	if a.fetchSlots.Acquire(ctx, 1) != nil {
		return false
	}
	defer a.fetchSlots.Release(1)
	header, body, err := a.deps.Stores.Get(ctx, address, piece.Want{Name: name, Account: j.account.Name}, j.rank.Name)
	if err == nil && header.WeightVersion != j.request.GetWeightVersion() {
		err = failure.New(failure.UpstreamFailed, failure.Ran, "the piece is of weight version %q", header.WeightVersion)
	}
	if err == nil {
		err = a.deps.Engine.ImportKV(ctx, a.pieceRef(j, name), newReader(body), int64(len(body)))
	}
	if err != nil {
		a.count("pieces.fetch_failed")
		return false
	}
	a.cache.set(name.String(), true)
	a.count("pieces.fetched")
	return true
}

func (a *Agent) pieceRef(j *job, name piece.Name) engine.PieceRef {
	return engine.PieceRef{
		Name: name.String(), Model: j.request.GetModel(), WeightVersion: j.request.GetWeightVersion(),
		CacheScope: j.account.Name, Tokens: piece.TokensPerPiece,
	}
}

// awaitFlight waits until no other request computes the piece; it reports false when ctx ends first.
func (a *Agent) awaitFlight(ctx context.Context, name piece.Name) bool {
	for {
		a.mu.Lock()
		_, busy := a.flights.Owner(name, a.deps.Clock.Now())
		ended := a.flightsEnded
		a.mu.Unlock()
		if !busy {
			return true
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return false
		}
	}
}
