package agent

import (
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// rateWeight is the weight of the newest sample: about the last ten runs decide.
const rateWeight = 0.2

// rates holds the measured speeds of the engine.
type rates struct {
	mu      sync.Mutex
	prefill float64
	decode  float64
}

func newRates() *rates { return &rates{} }

// recordPrefill takes one run's computed prompt tokens and its time to first token.
func (r *rates) recordPrefill(tokens int64, took time.Duration) {
	r.record(&r.prefill, tokens, took)
}

// recordDecode takes the tokens after the first one and the time they took.
func (r *rates) recordDecode(tokens int64, took time.Duration) {
	r.record(&r.decode, tokens, took)
}

func (r *rates) record(rate *float64, tokens int64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	sample := float64(tokens) / took.Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	if *rate == 0 {
		*rate = sample
		return
	}
	*rate += rateWeight * (sample - *rate)
}

// current returns the measured rates, or the given initial estimates where nothing was measured.
func (r *rates) current(prefill, decode float64) (float64, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.prefill > 0 {
		prefill = r.prefill
	}
	if r.decode > 0 {
		decode = r.decode
	}
	return prefill, decode
}

// load reports the upstream's state as the agent measures it.
func (a *Agent) load() *agentpb.UpstreamLoad {
	view := a.deps.Source.Current()
	upstream, _, _ := a.upstream(view.Set)
	prefill, decode := a.rates.current(upstream.PrefillTokensPerSecond, upstream.DecodeTokensPerSecond)
	versions := a.weights.loadedVersions()
	a.mu.Lock()
	defer a.mu.Unlock()
	requests, tokens := a.queue.Queued()
	return &agentpb.UpstreamLoad{
		Upstream:               a.options.Upstream,
		UpstreamEpoch:          view.Epoch,
		SetVersion:             view.Version,
		QueuedTokens:           tokens,
		QueuedRequests:         requests,
		Running:                a.running,
		PrefillTokensPerSecond: prefill,
		DecodeTokensPerSecond:  decode,
		Draining:               a.draining,
		WeightVersions:         versions,
	}
}
