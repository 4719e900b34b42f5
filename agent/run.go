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

// work is one worker of the pool.
func (a *Agent) work(ctx context.Context) {
	for {
		j, ok := a.next(ctx)
		if !ok {
			return
		}
		a.run(j)
	}
}

// run executes one job. Its last event is End or Refusal.
func (a *Agent) run(j *job) {
	j.ran = true
	defer close(j.events)
	run := &engineRun{agent: a, job: j, next: int64(len(j.request.GetEmitted())), started: a.deps.Clock.Now()}
	err := run.execute()
	a.finish(j)
	a.deps.Log.Info("run ended", zap.String("request_id", j.id), zap.String("account", j.account.Name),
		zap.Int64("tokens", run.next), zap.Int64("computed_prompt_tokens", run.computed), zap.Error(err))
	if err == nil {
		a.count("runs.whole")
		return
	}
	a.count("runs." + string(failure.Of(err).Kind))
	j.events <- &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Refusal{Refusal: a.refusal(err)}}
}

// engineRun is the run of one job on the engine.
type engineRun struct {
	agent *Agent
	job   *job
	// next is the index of the next token.
	next     int64
	computed int64
	started  time.Time
	first    time.Time
	// prefill is the prompt as the engine has it.
	prefill *prefillTime
}

func (r *engineRun) execute() error {
	if err := r.checkStart(); err != nil {
		return err
	}
	r.agent.refresh(r.job)
	r.prefill = r.agent.prefills.start(r.job.priority, r.agent.deps.Clock.Now())
	defer func() { r.agent.prefills.end(r.prefill, r.agent.deps.Clock.Now()) }()
	stream, err := r.agent.deps.Engine.Generate(r.job.ctx, r.request())
	if err != nil {
		return r.failed(err)
	}
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		if err != nil {
			return r.failed(err)
		}
		if err := r.checkEvent(event); err != nil {
			return err
		}
		if event.Final {
			return r.end(event)
		}
		r.delta(event)
	}
}

// checkStart repeats the checks that may have changed while the job was queued: a stale agent starts nothing,
// and no new work starts under a weight version that is no longer in force.
func (r *engineRun) checkStart() error {
	if r.job.ctx.Err() != nil {
		return ended(r.job.ctx, failure.NotRun)
	}
	view := r.agent.deps.Source.Current()
	if !view.Fresh(r.agent.deps.Clock.Now()) {
		return retryable(failure.StaleSet, "the object set became stale while the request was queued")
	}
	if err := r.agent.checkWeights(view, r.job.request); err != nil {
		return err
	}
	if !r.agent.weights.has(r.job.request.GetWeightVersion()) {
		return retryable(failure.WrongWeightVersion, "weight version %q is not loaded", r.job.request.GetWeightVersion())
	}
	return nil
}

func (r *engineRun) request() engine.Request {
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

// failed classifies the end of a run without a final event.
func (r *engineRun) failed(err error) error {
	if r.job.ctx.Err() != nil {
		return ended(r.job.ctx, failure.Ran)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return failure.Wrap(err, failure.StreamBroken, failure.Ran, "the engine's stream ended without a final event")
	}
	return failure.Of(err)
}

// checkEvent refuses events that do not continue this run: a gap, a repeat, another weight version or a wrong count.
func (r *engineRun) checkEvent(event engine.Event) error {
	want := r.job.request.GetWeightVersion()
	if event.WeightVersion != "" && event.WeightVersion != want {
		return failure.New(failure.StreamBroken, failure.Ran, "the engine runs weight version %q instead of %q", event.WeightVersion, want)
	}
	if !event.Final && event.Index != r.next {
		return failure.New(failure.StreamBroken, failure.Ran, "the engine sent token %d instead of %d", event.Index, r.next)
	}
	if event.Final && event.TotalTokens != r.next {
		return failure.New(failure.StreamBroken, failure.Ran, "the engine counts %d tokens and sent %d", event.TotalTokens, r.next)
	}
	return nil
}

func (r *engineRun) delta(event engine.Event) {
	if r.first.IsZero() {
		r.first = r.agent.deps.Clock.Now()
		r.agent.prefills.end(r.prefill, r.first)
		r.agent.firstToken(r.job)
		r.job.ticket.Computed()
	}
	r.next++
	r.agent.progress(r.job)
	r.job.events <- &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Delta{Delta: &agentpb.Delta{Index: event.Index, Text: event.Text}}}
}

// end records what the run measured and sends End, the mark of a whole answer.
func (r *engineRun) end(event engine.Event) error {
	r.computed = max(0, r.job.promptTokens-event.CachedTokens)
	r.measure()
	r.job.ticket.Ran()
	fetched := r.job.ticket.FetchedTokens(event.CachedTokens)
	decisions := append(slices.Clone(r.job.decisions),
		fmt.Sprintf("cache: expected %d cached prompt tokens, engine used %d, %d of them fetched", r.job.cached, event.CachedTokens, fetched))
	r.job.events <- &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_End{End: &agentpb.End{
		TotalTokens:          event.TotalTokens,
		FinishReason:         event.FinishReason,
		CachedPromptTokens:   event.CachedTokens - fetched,
		FetchedPromptTokens:  fetched,
		ComputedPromptTokens: r.computed,
		Load:                 r.agent.load(),
		Decisions:            decisions,
		RequestId:            r.job.id,
	}}}
	return nil
}

func (r *engineRun) measure() {
	if r.first.IsZero() {
		return
	}
	generated := r.next - int64(len(r.job.request.GetEmitted()))
	now := r.agent.deps.Clock.Now()
	r.agent.rates.recordFirst(r.computed, r.agent.prefills.end(r.prefill, r.first))
	r.agent.rates.recordRun(generated-1, now.Sub(r.first), now.Sub(r.started))
	r.agent.firstTokenTimes.Update(r.first.Sub(r.started).Milliseconds())
}

func (a *Agent) count(name string) {
	gometrics.GetOrRegisterCounter(name, a.deps.Registry).Inc(1)
}
