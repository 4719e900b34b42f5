package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	wire "github.com/wasabishunt/wasabishunt/upstream/engine"
)

// Server is one engine stand-in. It is an http.Handler; Close ends its goroutines.
type Server struct {
	settings Settings
	faults   *faults
	mux      *http.ServeMux
	ctx      context.Context
	stop     context.CancelFunc
	tasks    sync.WaitGroup

	mu      sync.Mutex
	cache   *prefixCache
	weights weightState
	// queue and batch are in byPriority order.
	queue, batch []*run
	order        uint64
	work         chan struct{}
	records      []*RunRecord
	orders       []OrderRecord
	// loads are samples of the load, oldest first; the first is the one reported.
	loads []loadSample
	// corruptImports counts imported pieces whose content was not that of their name.
	corruptImports int64
	imports        int64
	exports        int64
}

// New starts an engine.
func New(settings Settings) *Server {
	settings = settings.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		settings: settings, faults: newFaults(), ctx: ctx, stop: stop, work: make(chan struct{}, 1),
		cache: newPrefixCache(settings.CacheTokens, settings.scaled(settings.EventDelay), settings.EventGapEvery),
	}
	if settings.WeightVersion != "" {
		s.weights.loaded = []string{settings.WeightVersion}
	}
	s.mux = s.routes()
	s.tasks.Go(s.runModel)
	s.tasks.Go(s.sampleLoad)
	return s
}

// Close stops the model and waits for it. Streams in progress break.
func (s *Server) Close() {
	s.stop()
	s.faults.set(FaultSettings{})
	s.tasks.Wait()
}

// SetFaults replaces the fault settings.
func (s *Server) SetFaults(settings FaultSettings) { s.faults.set(settings) }

// ServeHTTP answers the calls of the engine's HTTP interface and those of checkers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	handle := func(pattern string, handler http.HandlerFunc) { mux.HandleFunc(pattern, s.withFaults(handler)) }
	handle("POST "+wire.PathCompletions, s.handleCompletion)
	handle("GET "+wire.PathLoad, s.handleLoad)
	handle("GET "+wire.PathEvents, s.handleEvents)
	handle("GET "+wire.PathWeights, s.handleWeights)
	handle("POST "+wire.PathWeights, s.handleWeightOrder)
	handle("GET "+wire.PathKV+"{name}", s.handleExport)
	handle("PUT "+wire.PathKV+"{name}", s.handleImport)
	mux.HandleFunc("GET /standin/faults", s.handleGetFaults)
	mux.HandleFunc("POST /standin/faults", s.handleSetFaults)
	mux.HandleFunc("GET /standin/runs", s.handleRuns)
	mux.HandleFunc("GET /standin/state", s.handleState)
	return mux
}

// withFaults applies the freeze and refuse faults before a handler.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.faults.wait(r.Context()) != nil {
			return
		}
		if s.faults.get().Refuse {
			writeError(w, failure.New(failure.Overloaded, failure.NotRun, "engine refuses all calls"))
			return
		}
		next(w, r)
	}
}

// runModel advances the model while there is work.
func (s *Server) runModel() {
	step := max(s.settings.scaled(time.Duration(float64(time.Second)/s.settings.DecodeTokensPerSecond))/2, minTick)
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	last := time.Now()
	for {
		if s.faults.wait(s.ctx) != nil {
			return
		}
		now := time.Now()
		// The elapsed time is limited, so that a paused or frozen process does not produce a burst of tokens.
		elapsed := min(now.Sub(last), 10*step)
		last = now
		if s.advanceLocked(elapsed.Seconds()*s.settings.TimeScale, now) {
			select {
			case <-ticker.C:
			case <-s.ctx.Done():
				return
			}
			continue
		}
		select {
		case <-s.work:
			last = time.Now()
		case <-s.ctx.Done():
			return
		}
	}
}

// advanceLocked advances the model under the lock and reports whether any run remains.
func (s *Server) advanceLocked(seconds float64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(seconds, now)
	return len(s.batch)+len(s.queue) > 0
}

// start queues a run or refuses it.
func (s *Server) start(request wire.CompletionRequest) (*run, *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := newRun(request, now)
	if refusal := s.checkRequest(request); refusal != nil {
		r.record.Outcome = OutcomeRefused
		s.appendRecord(r.record)
		return nil, refusal
	}
	if r.record.WeightVersion == "" {
		r.record.WeightVersion = s.weights.loaded[0]
	}
	s.order++
	r.order = s.order
	r.breakAt = s.faults.consumeBreak()
	s.appendRecord(r.record)
	position, _ := slices.BinarySearchFunc(s.queue, r, byPriority)
	s.queue = slices.Insert(s.queue, position, r)
	select {
	case s.work <- struct{}{}:
	default:
	}
	return r, nil
}

func (s *Server) checkRequest(request wire.CompletionRequest) *failure.Error {
	switch {
	case request.Model != s.settings.Model:
		return failure.New(failure.ModelNotFound, failure.NotRun, "engine does not serve model %q", request.Model)
	case request.MaxTokens <= 0 || request.MaxTokens > s.settings.MaxRunTokens || !request.Stream:
		return failure.New(failure.InvalidRequest, failure.NotRun, "max_tokens must be 1 to %d and stream true", s.settings.MaxRunTokens)
	case int64(len(request.Emitted)) > request.MaxTokens:
		return failure.New(failure.InvalidRequest, failure.NotRun, "more tokens emitted than max_tokens")
	case len(s.weights.loaded) == 0, request.WeightVersion != "" && !slices.Contains(s.weights.loaded, request.WeightVersion):
		return failure.New(failure.VersionConflict, failure.NotRun, "weights %q are not loaded", request.WeightVersion)
	case len(s.queue) >= s.settings.MaxQueued:
		return failure.New(failure.Overloaded, failure.NotRun, "queue holds %d runs", len(s.queue))
	}
	return nil
}

func (s *Server) appendRecord(record *RunRecord) {
	s.records = append(s.records, record)
	if len(s.records) > maxRuns+maxRuns/10 {
		s.records = append([]*RunRecord(nil), s.records[len(s.records)-maxRuns:]...)
	}
}

// endRun removes a run from the model and logs its outcome.
func (s *Server) endRun(r *run, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeRun(r)
	r.record.Outcome = outcome
	r.record.EndedUnix = time.Now().UnixMilli()
}

// Runs returns a copy of the run log.
func (s *Server) Runs() []RunRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]RunRecord, 0, len(s.records))
	for _, record := range s.records {
		runs = append(runs, *record)
	}
	return runs
}
