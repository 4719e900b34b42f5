package engine

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	wire "github.com/wasabishunt/wasabishunt/upstream/engine"
)

// WeightSource reads a complete weight version and discards it.
type WeightSource interface {
	Fetch(ctx context.Context, version string) error
}

// weightState is guarded by the server's lock.
type weightState struct {
	loaded  []string
	loading string
	// token is the highest fencing token received.
	token uint64
	// failures counts loads that failed.
	failures int64
}

// acceptOrder checks a weight order and returns whether its version must be loaded.
func (w *weightState) acceptOrder(order wire.WeightOrder, honorFencing bool) (bool, *failure.Error) {
	if honorFencing && order.FencingToken < w.token {
		return false, failure.New(failure.Fenced, failure.NotRun, "token %d is older than %d", order.FencingToken, w.token)
	}
	if honorFencing {
		w.token = order.FencingToken
	}
	if w.loading == order.WeightVersion || w.loading == "" && slices.Contains(w.loaded, order.WeightVersion) {
		return false, nil
	}
	if w.loading != "" {
		return false, failure.New(failure.Overloaded, failure.NotRun, "weights %s are loading", w.loading)
	}
	w.loading = order.WeightVersion
	return true, nil
}

func (w *weightState) body() wire.WeightsBody {
	return wire.WeightsBody{Loaded: slices.Clone(w.loaded), Loading: w.loading, FencingToken: w.token}
}

func (s *Server) handleWeights(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body := s.weights.body()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func (s *Server) handleWeightOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.WeightOrder
	if !readJSON(w, r, &order) {
		return
	}
	if order.Model != s.settings.Model {
		writeError(w, failure.New(failure.ModelNotFound, failure.NotRun, "engine does not serve model %q", order.Model))
		return
	}
	start, refusal := s.orderWeights(order)
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	if start {
		s.tasks.Go(func() { s.load(order.WeightVersion) })
	}
	if s.faults.consumeLoseAnswer() {
		closeWithoutAnswer(w)
		return
	}
	writeJSON(w, http.StatusAccepted, struct{}{})
}

func (s *Server) orderWeights(order wire.WeightOrder) (bool, *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.consumeIgnoreOrder() {
		return false, nil
	}
	start, refusal := s.weights.acceptOrder(order, s.settings.HonorFencing)
	s.orders = append(s.orders, OrderRecord{WeightOrder: order, Accepted: refusal == nil, UnixMs: time.Now().UnixMilli()})
	if len(s.orders) > maxOrders {
		s.orders = slices.Delete(s.orders, 0, 1)
	}
	return start, refusal
}

// maxOrders is the number of weight orders kept in the log.
const maxOrders = 10_000

// OrderRecord is one weight order in the log that checkers read.
type OrderRecord struct {
	wire.WeightOrder
	Accepted bool  `json:"accepted"`
	UnixMs   int64 `json:"unix_ms"`
}

// load fetches the weights, then replaces the loaded version. Runs in progress keep their version.
func (s *Server) load(version string) {
	err := s.fetchWeights(version)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights.loading = ""
	if err != nil {
		s.weights.failures++
		return
	}
	s.weights.loaded = []string{version}
}

func (s *Server) fetchWeights(version string) error {
	if err := s.faults.wait(s.ctx); err != nil {
		return err
	}
	if s.settings.Weights != nil {
		return s.settings.Weights.Fetch(s.ctx, version)
	}
	timer := time.NewTimer(s.settings.scaled(s.settings.LoadTime))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}
