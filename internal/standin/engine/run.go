package engine

import (
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/prompt"
	wire "github.com/wasabishunt/wasabishunt/upstream/engine"
)

// Outcomes of a run in the log.
const (
	OutcomeRunning  = "running"
	OutcomeFinished = "finished"
	OutcomeCanceled = "canceled"
	OutcomeBroken   = "broken"
	OutcomeRefused  = "refused"
)

// RunRecord is one run in the log that checkers read.
type RunRecord struct {
	RequestID  string `json:"request_id"`
	CacheScope string `json:"cache_scope"`
	PromptHash string `json:"prompt_hash"`
	Model      string `json:"model"`
	// WeightVersion is the version that generated the tokens.
	WeightVersion string `json:"weight_version"`
	Priority      int    `json:"priority"`
	// ResumedFrom is the number of tokens that the caller already had.
	ResumedFrom int64 `json:"resumed_from"`
	// Emitted counts the tokens that this run wrote.
	Emitted      int64  `json:"emitted"`
	PromptTokens int64  `json:"prompt_tokens"`
	CachedTokens int64  `json:"cached_tokens"`
	Corrupt      bool   `json:"corrupt"`
	Outcome      string `json:"outcome"`
	StartedUnix  int64  `json:"started_unix_ms"`
	FirstTokenMs int64  `json:"first_token_ms"`
	EndedUnix    int64  `json:"ended_unix_ms,omitempty"`
}

// run is one request in the queue or the batch. The server's lock guards its fields after newRun.
type run struct {
	request wire.CompletionRequest
	record  *RunRecord
	arrived time.Time
	order   uint64
	// prefillRemaining is the number of prompt and resumed tokens to compute before the next token.
	prefillRemaining float64
	// decodeCredit is the fraction of the next token that has been decoded.
	decodeCredit float64
	prefilled    bool
	admitted     bool
	// produced is the index after the last generated token; it starts at the number of resumed tokens.
	produced int64
	// breakAt is the count of written tokens after which the stream breaks; negative means never.
	breakAt int64
	wake    chan struct{}
}

// queuedTokens is the remaining prefill before the next token, in tokens.
func (r *run) queuedTokens() int64 { return int64(r.prefillRemaining) }

func (r *run) done() bool { return r.produced >= r.request.MaxTokens }

func (r *run) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func newRun(request wire.CompletionRequest, now time.Time) *run {
	resumed := int64(len(request.Emitted))
	promptTokens := int64(len(prompt.Tokens(request.Prompt)))
	return &run{
		request: request, arrived: now, prefillRemaining: float64(promptTokens + resumed), produced: resumed, breakAt: -1,
		wake: make(chan struct{}, 1),
		record: &RunRecord{
			RequestID: request.RequestID, CacheScope: request.CacheScope, PromptHash: PromptHash(request.Prompt),
			Model: request.Model, WeightVersion: request.WeightVersion, Priority: request.Priority, ResumedFrom: resumed,
			PromptTokens: promptTokens, Outcome: OutcomeRunning, StartedUnix: now.UnixMilli(),
		},
	}
}

// byPriority orders runs by priority, then by arrival.
func byPriority(a, b *run) int {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority - b.request.Priority
	}
	if a.order < b.order {
		return -1
	}
	return 1
}

// advance advances the model by a model time in seconds.
func (s *Server) advance(seconds float64, now time.Time) {
	s.admit()
	credit := seconds * s.settings.PrefillTokensPerSecond / s.faults.slowFactor()
	decode := seconds * s.settings.DecodeTokensPerSecond / s.faults.slowFactor()
	for _, r := range s.batch {
		if r.prefilled {
			s.decode(r, decode)
			continue
		}
		used := min(credit, r.prefillRemaining)
		credit -= used
		r.prefillRemaining -= used
		if r.prefillRemaining <= 0 {
			s.finishPrefill(r, now)
		}
	}
	s.batch = slices.DeleteFunc(s.batch, (*run).done)
}

// admit fills the batch from the queue, most urgent first.
func (s *Server) admit() {
	for len(s.batch) < s.settings.MaxBatch && len(s.queue) > 0 {
		r := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		r.admitted = true
		count, corrupt := s.cache.prefix(r.request.CacheScope, r.record.WeightVersion, r.request.PieceNames)
		r.record.CachedTokens = min(int64(count)*tokensPerPiece, r.record.PromptTokens)
		r.record.Corrupt = corrupt
		r.prefillRemaining -= float64(r.record.CachedTokens)
		position, _ := slices.BinarySearchFunc(s.batch, r, byPriority)
		s.batch = slices.Insert(s.batch, position, r)
	}
}

// finishPrefill stores the prompt's pieces and generates the first token.
func (s *Server) finishPrefill(r *run, now time.Time) {
	r.prefilled = true
	r.record.FirstTokenMs = now.Sub(r.arrived).Milliseconds()
	for _, name := range r.request.PieceNames {
		key := cacheKey{r.request.CacheScope, r.record.WeightVersion, name}
		s.cache.store(cacheEntry{key: key, tokens: tokensPerPiece, corrupt: r.record.Corrupt}, now)
	}
	r.produced = min(r.produced+1, r.request.MaxTokens)
	r.signal()
}

func (s *Server) decode(r *run, tokens float64) {
	r.decodeCredit += tokens
	count := int64(r.decodeCredit)
	if count == 0 {
		return
	}
	r.decodeCredit -= float64(count)
	r.produced = min(r.produced+count, r.request.MaxTokens)
	r.signal()
}

// removeRun removes a run from the queue and the batch.
func (s *Server) removeRun(r *run) {
	same := func(other *run) bool { return other == r }
	s.queue = slices.DeleteFunc(s.queue, same)
	s.batch = slices.DeleteFunc(s.batch, same)
}
