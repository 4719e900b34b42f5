package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// runWorker runs jobs until ctx ends.
func (a *Agent) runWorker(ctx context.Context) {
	for {
		j, ok := a.nextJob(ctx)
		if !ok {
			return
		}
		a.runJob(j)
	}
}

// runJob runs one job on the engine. The last event that it sends is End or Refusal.
func (a *Agent) runJob(j *job) {
	j.ran = true
	defer close(j.events)
	run := &engineRun{agent: a, job: j, nextIndex: int64(len(j.request.GetEmitted())), startedAt: a.deps.Clock.Now()}
	err := run.execute()
	a.finishJob(j)
	a.deps.Log.Info("run ended", zap.String("request_id", j.id), zap.String("account", j.account.Name),
		zap.Int64("tokens", run.nextIndex), zap.Int64("computed_prompt_tokens", run.computedTokens), zap.Error(err))
	if err == nil {
		a.count("runs.whole")
		return
	}
	a.count("runs." + string(failure.Of(err).Kind))
	j.events <- &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Refusal{Refusal: a.refusalMessage(err)}}
}

// engineRun is the run of one job on the engine.
type engineRun struct {
	agent *Agent
	job   *job
	// nextIndex is the index of the next token.
	nextIndex int64
	// computedTokens is the number of prompt tokens that the engine computed.
	computedTokens int64
	startedAt      time.Time
	firstTokenAt   time.Time
	// prefill measures how long the engine computes the prompt.
	prefill *prefillTime
}

func (r *engineRun) execute() error {
	if err := r.checkStart(); err != nil {
		return err
	}
	r.agent.refetchEvicted(r.job)
	r.prefill = r.agent.prefills.start(r.job.priority, r.agent.deps.Clock.Now())
	defer func() { r.agent.prefills.end(r.prefill, r.agent.deps.Clock.Now()) }()
	stream, err := r.agent.deps.Engine.Generate(r.job.ctx, r.engineRequest())
	if err != nil {
		return r.streamFailure(err)
	}
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		if err != nil {
			return r.streamFailure(err)
		}
		if err := r.checkEvent(event); err != nil {
			return err
		}
		if event.Final {
			return r.sendEnd(event)
		}
		r.sendDelta(event)
	}
}

// checkStart repeats the checks whose result may have changed while the job was queued: a stale agent starts nothing, and
// no new work starts under a weight version that is no longer in force.
func (r *engineRun) checkStart() error {
	if r.job.ctx.Err() != nil {
		return contextError(r.job.ctx, failure.NotRun)
	}
	view := r.agent.deps.Source.Current()
	if !view.Fresh(r.agent.deps.Clock.Now()) {
		return retryable(failure.StaleSet, "the object set became stale while the request was queued")
	}
	if err := r.agent.checkWeights(view, r.job.request); err != nil {
		return err
	}
	if !r.agent.weights.isLoaded(r.job.request.GetWeightVersion()) {
		return retryable(failure.WrongWeightVersion, "weight version %q is not loaded", r.job.request.GetWeightVersion())
	}
	return nil
}

func (r *engineRun) engineRequest() engine.Request {
	req := r.job.request
	return engine.Request{
		RequestID:     r.job.id,
		Model:         req.GetModel(),
		WeightVersion: req.GetWeightVersion(),
		Adapter:       req.GetAdapter(),
		Prompt:        req.GetPrompt(),
		MaxTokens:     req.GetMaxTokens(),
		Priority:      r.job.priority,
		Emitted:       req.GetEmitted(),
		CacheScope:    r.job.account.Name,
		PieceNames:    lo.Map(r.job.pieces, func(name piece.Name, _ int) string { return name.String() }),
	}
}

// streamFailure classifies the end of a run without a final event.
func (r *engineRun) streamFailure(err error) error {
	if r.job.ctx.Err() != nil {
		return contextError(r.job.ctx, failure.Ran)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return failure.Wrap(err, failure.StreamBroken, failure.Ran, "the engine's stream ended without a final event")
	}
	return failure.Of(err)
}

// checkEvent rejects events that do not continue this run: a gap, a repeat, another weight version or a wrong count.
func (r *engineRun) checkEvent(event engine.Event) error {
	want := r.job.request.GetWeightVersion()
	if event.WeightVersion != "" && event.WeightVersion != want {
		return failure.New(failure.StreamBroken, failure.Ran, "the engine runs weight version %q instead of %q", event.WeightVersion, want)
	}
	if !event.Final && event.Index != r.nextIndex {
		return failure.New(failure.StreamBroken, failure.Ran, "the engine sent token %d instead of %d", event.Index, r.nextIndex)
	}
	if event.Final && event.TotalTokens != r.nextIndex {
		return failure.New(failure.StreamBroken, failure.Ran, "the engine reports %d tokens but sent %d", event.TotalTokens, r.nextIndex)
	}
	return nil
}

func (r *engineRun) sendDelta(event engine.Event) {
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = r.agent.deps.Clock.Now()
		r.agent.prefills.end(r.prefill, r.firstTokenAt)
		r.agent.promptComputed(r.job)
		r.job.session.PrefillDone()
	}
	r.nextIndex++
	r.agent.recordProgress(r.job)
	r.job.events <- &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Delta{Delta: &agentpb.Delta{Index: event.Index, Text: event.Text}}}
}

// sendEnd records the run's rates and sends End, which marks a complete answer.
func (r *engineRun) sendEnd(event engine.Event) error {
	r.computedTokens = max(0, r.job.promptTokens-event.CachedTokens)
	r.recordRates()
	r.job.session.QueueExports()
	fetched := r.job.session.FetchedTokens(event.CachedTokens)
	decisions := append(slices.Clone(r.job.decisions),
		fmt.Sprintf("cache: expected %d cached prompt tokens, engine used %d, %d of them fetched", r.job.cachedTokens, event.CachedTokens, fetched))
	r.job.events <- &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_End{End: &agentpb.End{
		TotalTokens:          event.TotalTokens,
		FinishReason:         event.FinishReason,
		CachedPromptTokens:   event.CachedTokens - fetched,
		FetchedPromptTokens:  fetched,
		ComputedPromptTokens: r.computedTokens,
		Load:                 r.agent.load(),
		Decisions:            decisions,
		RequestId:            r.job.id,
	}}}
	return nil
}

func (r *engineRun) recordRates() {
	if r.firstTokenAt.IsZero() {
		return
	}
	generated := r.nextIndex - int64(len(r.job.request.GetEmitted()))
	now := r.agent.deps.Clock.Now()
	r.agent.rates.recordPrefill(r.computedTokens, r.agent.prefills.end(r.prefill, r.firstTokenAt))
	r.agent.rates.recordRun(generated-1, now.Sub(r.firstTokenAt), now.Sub(r.startedAt))
	r.agent.firstTokenTimes.Update(r.firstTokenAt.Sub(r.startedAt).Milliseconds())
}

func (a *Agent) count(name string) {
	gometrics.GetOrRegisterCounter(name, a.deps.Registry).Inc(1)
}
