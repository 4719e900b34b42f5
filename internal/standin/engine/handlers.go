package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	wire "github.com/wasabishunt/wasabishunt/upstream/engine"
)

type loadSample struct {
	body  wire.LoadBody
	taken time.Time
}

// sampleLoad samples the load periodically, so that reports lag behind the real load.
func (s *Server) sampleLoad() {
	ticker := time.NewTicker(max(s.settings.scaled(s.settings.LoadLag)/4, minTick))
	defer ticker.Stop()
	for {
		s.takeSample(time.Now())
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Server) takeSample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = append(s.loads, loadSample{s.currentLoad(), now})
	lag := s.settings.scaled(s.settings.LoadLag)
	for len(s.loads) > 1 && now.Sub(s.loads[1].taken) >= lag {
		s.loads = s.loads[1:]
	}
}

func (s *Server) currentLoad() wire.LoadBody {
	body := wire.LoadBody{
		RunningRequests: int64(len(s.batch)), CacheTokens: s.cache.used, CacheCapacity: s.cache.capacity,
	}
	for _, r := range s.batch {
		body.QueuedTokens += r.queuedTokens()
	}
	for _, r := range s.queue {
		body.QueuedTokens += r.queuedTokens()
	}
	return body
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	sample := loadSample{wire.LoadBody{CacheCapacity: s.cache.capacity}, time.Now()}
	if len(s.loads) > 0 {
		sample = s.loads[0]
	}
	s.mu.Unlock()
	sample.body.AgeMs = time.Since(sample.taken).Milliseconds()
	writeJSON(w, http.StatusOK, sample.body)
}

func (s *Server) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get(wire.QueryAfter), 10, 64)
	if err != nil {
		writeError(w, failure.New(failure.InvalidRequest, failure.NotRun, "after must be a number"))
		return
	}
	s.mu.Lock()
	body := s.cache.eventsAfter(after, time.Now())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func kvKey(r *http.Request) cacheKey {
	query := r.URL.Query()
	return cacheKey{query.Get(wire.QueryCacheScope), query.Get(wire.QueryWeightVersion), r.PathValue("name")}
}

func (s *Server) handleExport(w http.ResponseWriter, r *http.Request) {
	entry, ok := s.lookupExport(kvKey(r))
	if !ok {
		writeError(w, failure.New(failure.NotFound, failure.NotRun, "piece is not cached"))
		return
	}
	name := entry.key.piece
	if entry.corrupt {
		name = corruptPrefix + name
	}
	length := entry.tokens * s.settings.KVBytesPerToken
	w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Minute))
	_, _ = io.Copy(w, KVBody(entry.key.version, name, length))
}

func (s *Server) lookupExport(key cacheKey) (cacheEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	element, ok := s.cache.entries[key]
	if !ok {
		return cacheEntry{}, false
	}
	s.exports++
	return *element.Value.(*cacheEntry), true
}

func (s *Server) handleImport(w http.ResponseWriter, r *http.Request) {
	tokens, err := strconv.ParseInt(r.URL.Query().Get(wire.QueryTokens), 10, 64)
	want := tokens * s.settings.KVBytesPerToken
	if err != nil || tokens <= 0 || tokens > tokensPerPiece || r.ContentLength != want {
		writeError(w, failure.New(failure.InvalidRequest, failure.NotRun, "piece of %d tokens must have %d bytes, has %d", tokens, want, r.ContentLength))
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, want))
	if err != nil || int64(len(body)) != want {
		writeError(w, failure.New(failure.InvalidRequest, failure.NotRun, "piece body is truncated or unreadable"))
		return
	}
	key := kvKey(r)
	expected, _ := io.ReadAll(KVBody(key.version, key.piece, want))
	s.importPiece(cacheEntry{key: key, tokens: tokens, corrupt: !bytes.Equal(body, expected)})
	if s.faults.consumeLoseAnswer() {
		closeWithoutAnswer(w)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) importPiece(entry cacheEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.imports++
	if entry.corrupt {
		s.corruptImports++
	}
	s.cache.store(entry, time.Now())
}

func (s *Server) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.faults.get())
}

func (s *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var settings FaultSettings
	if readJSON(w, r, &settings) {
		s.faults.set(settings)
		writeJSON(w, http.StatusOK, settings)
	}
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

// State is the engine's current state, without lag, for checkers.
type State struct {
	Load           wire.LoadBody    `json:"load"`
	Queued         int              `json:"queued"`
	Weights        wire.WeightsBody `json:"weights"`
	LoadFailures   int64            `json:"load_failures"`
	Orders         []OrderRecord    `json:"orders"`
	Imports        int64            `json:"imports"`
	CorruptImports int64            `json:"corrupt_imports"`
	Exports        int64            `json:"exports"`
}

// State returns the engine's current state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{
		Load: s.currentLoad(), Queued: len(s.queue), Weights: s.weights.body(), LoadFailures: s.weights.failures,
		Orders:  append([]OrderRecord{}, s.orders...),
		Imports: s.imports, CorruptImports: s.corruptImports, Exports: s.exports,
	}
}

func (s *Server) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.State())
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into); err != nil {
		writeError(w, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "decode request"))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, e *failure.Error) {
	writeJSON(w, e.Kind.HTTPStatus(), wire.ErrorBody{Error: wire.ErrorDetail{
		Type: string(e.Kind), Message: e.Message, Execution: string(e.Execution), RetryAfterMs: e.RetryAfter.Milliseconds(),
	}})
}

// closeWithoutAnswer closes the connection of a call that has taken effect, without a response.
func closeWithoutAnswer(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
