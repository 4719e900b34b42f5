package agent

import (
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/ratemeter"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/sched"
)

// runTimeWeight is the weight of the newest run in the mean run time, which thus covers about the last ten runs.
const runTimeWeight = 0.2

// rates holds the measured rates of the engine.
type rates struct {
	mu          sync.Mutex
	prefill     *ratemeter.Meter
	decode      *ratemeter.Meter
	meanRunTime time.Duration
}

// setEstimates initializes the meters with the configured rates; only the first call has an effect.
func (r *rates) setEstimates(upstream objectset.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.prefill == nil {
		r.prefill = sched.NewMeter(upstream.PrefillTokensPerSecond)
		r.decode = sched.NewMeter(upstream.DecodeTokensPerSecond)
	}
}

// recordPrefill records the computed prompt tokens of a run and the time that the engine computed them.
func (r *rates) recordPrefill(tokens int64, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.prefill != nil {
		r.prefill.Observe(tokens, took)
	}
}

// recordRun records a run's tokens after the first one, the time of their decode, and the time of the complete run.
func (r *rates) recordRun(tokens int64, decodeTime, runTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.decode != nil {
		r.decode.Observe(tokens, decodeTime)
	}
	if r.meanRunTime == 0 {
		r.meanRunTime = runTime
	}
	r.meanRunTime += time.Duration(runTimeWeight * float64(runTime-r.meanRunTime))
}

// current returns the rates in tokens per second; 0 means unknown.
func (r *rates) current() (prefill, decode float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.prefill == nil {
		return 0, 0
	}
	return r.prefill.Rate(), r.decode.Rate()
}

func (r *rates) runTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.meanRunTime
}

// load returns the upstream's load as measured by the agent.
func (a *Agent) load() *agentpb.UpstreamLoad {
	view := a.deps.Source.Current()
	prefill, decode := a.rates.current()
	versions := a.weights.loadedVersions()
	runTime := a.rates.runTime()
	a.mu.Lock()
	defer a.mu.Unlock()
	queued := a.queue.Load()
	return &agentpb.UpstreamLoad{
		Upstream:               a.options.Upstream,
		UpstreamEpoch:          view.Epoch,
		SetVersion:             view.Version,
		QueuedTokens:           queued.QueuedTokens,
		QueuedRequests:         int64(queued.QueuedRequests),
		QueuedTokensAhead:      a.queue.AheadByRank(),
		Running:                a.running,
		PrefillTokensPerSecond: prefill,
		DecodeTokensPerSecond:  decode,
		Draining:               a.draining,
		WeightVersions:         versions,
		SlotWaitMs:             a.slotWait(queued, runTime).Milliseconds(),
	}
}

// slotWait estimates how long a new request waits for a run slot behind the running and the queued requests.
func (a *Agent) slotWait(queued sched.Load, runTime time.Duration) time.Duration {
	excess := queued.Running + queued.QueuedRequests + 1 - a.options.Workers
	if excess <= 0 {
		return 0
	}
	return runTime * time.Duration(excess) / time.Duration(a.options.Workers)
}
