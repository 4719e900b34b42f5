package agent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// job is one accepted request.
type job struct {
	id      string
	request *agentpb.GenerateRequest
	account objectset.Account
	rank    objectset.Rank
	// ctx ends at the request's deadline or when the entry closes the stream.
	ctx context.Context
	// events is written and closed by the worker that runs the job.
	events chan *agentpb.GenerateEvent
	// queued is guarded by Agent.mu; it is false once a worker has the job.
	queued    bool
	cached    int64
	decisions []string
}

// Generate implements the Agent service.
func (a *Agent) Generate(req *agentpb.GenerateRequest, stream agentpb.DRPCAgent_GenerateStream) error {
	if err := a.enter(); err != nil {
		return a.refuse(stream, req, err)
	}
	defer a.leave()
	ctx, cancel := context.WithTimeout(stream.Context(), a.remaining(req.GetHeader()))
	defer cancel()
	j, err := a.admit(ctx, req)
	if err != nil {
		return a.refuse(stream, req, err)
	}
	if err := stream.Send(a.accepted(j)); err != nil {
		cancel()
		a.abandon(j)
		return err
	}
	return a.relay(stream, j, cancel)
}

// remaining returns the time that a request may take.
func (a *Agent) remaining(header *agentpb.Header) time.Duration {
	given := time.Duration(header.GetDeadlineMs()) * time.Millisecond
	if given <= 0 || given > a.options.MaxDeadline {
		return a.options.MaxDeadline
	}
	return given
}

// admit checks a request and queues it.
func (a *Agent) admit(ctx context.Context, req *agentpb.GenerateRequest) (*job, error) {
	if a.deps.Engine == nil {
		return nil, failure.New(failure.NoUpstream, failure.NotRun, "this agent has no engine")
	}
	if req.GetHeader().GetRequestId() == "" {
		return nil, failure.New(failure.InvalidRequest, failure.NotRun, "a request needs an id")
	}
	view, err := a.currentView(ctx, req.GetHeader())
	if err != nil {
		return nil, err
	}
	j, err := a.newJob(ctx, view, req)
	if err != nil {
		return nil, err
	}
	if err := a.checkWeights(view, req); err != nil {
		return nil, err
	}
	if err := a.weights.available(); err != nil {
		return nil, err
	}
	work := a.describe(ctx, j)
	if err := a.checkDeadline(work); err != nil {
		return nil, err
	}
	return j, a.enqueue(j, work)
}

func (a *Agent) newJob(ctx context.Context, view controlclient.View, req *agentpb.GenerateRequest) (*job, error) {
	account, err := findAccount(view.Set, req.GetHeader().GetAccount())
	if err != nil {
		return nil, err
	}
	if err := a.checkModel(view, account, req.GetModel()); err != nil {
		return nil, err
	}
	rank, err := findRank(view.Set, req.GetHeader().GetRank())
	if err != nil {
		return nil, err
	}
	return &job{
		id:      req.GetHeader().GetRequestId(),
		request: req,
		account: account,
		rank:    rank,
		ctx:     ctx,
		events:  make(chan *agentpb.GenerateEvent, a.options.EventBuffer),
		cached:  a.cache.prefixTokens(req.GetPieceNames()),
	}, nil
}

func (a *Agent) describe(ctx context.Context, j *job) Work {
	deadline, _ := ctx.Deadline()
	weight := j.account.Weight
	if weight <= 0 {
		weight = 1
	}
	return Work{
		ID:           j.id,
		Account:      j.account.Name,
		Rank:         j.rank.Name,
		Weight:       weight,
		PromptTokens: j.request.GetPromptTokens(),
		CachedTokens: j.cached,
		MaxTokens:    j.request.GetMaxTokens(),
		Arrived:      a.deps.Clock.Now(),
		Deadline:     deadline,
	}
}

// checkDeadline refuses work whose first token cannot arrive before its deadline.
func (a *Agent) checkDeadline(work Work) error {
	estimate := a.estimateFirstToken(work.PromptTokens - work.CachedTokens)
	if work.Deadline.Sub(work.Arrived) > estimate {
		return nil
	}
	e := failure.New(failure.DeadlineUnreachable, failure.NotRun, "the first token is expected after %d ms", estimate.Milliseconds())
	e.RetryAfter = max(retryAfter, estimate/2)
	return e
}

// estimateFirstToken is the time to compute the queued prompts and then the given tokens.
func (a *Agent) estimateFirstToken(tokens int64) time.Duration {
	load := a.load()
	if load.GetPrefillTokensPerSecond() <= 0 {
		return 0
	}
	ahead := float64(load.GetQueuedTokens() + max(0, tokens))
	return time.Duration(ahead / load.GetPrefillTokensPerSecond() * float64(time.Second))
}

// accepted is the first event of a stream; it is sent again as a sign of life while there are no other events.
func (a *Agent) accepted(j *job) *agentpb.GenerateEvent {
	load := a.load()
	return &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Accepted{Accepted: &agentpb.Accepted{
		UpstreamEpoch:         load.GetUpstreamEpoch(),
		WeightVersion:         j.request.GetWeightVersion(),
		EstimatedFirstTokenMs: a.estimateFirstToken(0).Milliseconds(),
		Load:                  load,
		RequestId:             j.id,
	}}}
}

// relay passes a job's events to the entry until the worker has closed them.
func (a *Agent) relay(stream agentpb.DRPCAgent_GenerateStream, j *job, cancel context.CancelFunc) error {
	heartbeat := time.NewTicker(a.options.Heartbeat)
	defer heartbeat.Stop()
	for {
		var event *agentpb.GenerateEvent
		select {
		case next, ok := <-j.events:
			if !ok {
				return nil
			}
			event = next
		case <-heartbeat.C:
			event = a.accepted(j)
		case <-j.ctx.Done():
			if a.dequeue(j) {
				return a.refuse(stream, j.request, ended(j.ctx, failure.NotRun))
			}
			return a.relayRest(stream, j)
		}
		if err := stream.Send(event); err != nil {
			cancel()
			a.abandon(j)
			return err
		}
	}
}

// relayRest passes on the last events of a run whose context has ended; its worker is about to close them.
func (a *Agent) relayRest(stream agentpb.DRPCAgent_GenerateStream, j *job) error {
	var failed error
	for event := range j.events {
		if failed == nil {
			failed = stream.Send(event)
		}
	}
	return failed
}

// abandon ends a canceled job whose events nobody wants: it leaves the queue, or its worker is waited for.
func (a *Agent) abandon(j *job) {
	if a.dequeue(j) {
		return
	}
	for range j.events { //nolint:revive // Reading lets the worker close the channel.
	}
}

// ended tells why a job's context ended.
func ended(ctx context.Context, execution failure.Execution) *failure.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, execution, "the deadline passed")
	}
	return failure.Wrap(ctx.Err(), failure.Canceled, execution, "the caller has gone")
}

func (a *Agent) refuse(stream agentpb.DRPCAgent_GenerateStream, req *agentpb.GenerateRequest, err error) error {
	e := failure.Of(err)
	a.count("refused." + string(e.Kind))
	a.deps.Log.Info("request refused", zap.String("request_id", req.GetHeader().GetRequestId()), zap.Error(e))
	return stream.Send(&agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Refusal{Refusal: a.refusal(e)}})
}

// refusal is the message form of a failure.
func (a *Agent) refusal(err error) *agentpb.Refusal {
	e := failure.Of(err)
	return &agentpb.Refusal{
		Kind:         string(e.Kind),
		Message:      e.Message,
		Execution:    execution(e.Execution),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Load:         a.load(),
	}
}

func execution(e failure.Execution) agentpb.Execution {
	switch e {
	case failure.NotRun:
		return agentpb.Execution_NOT_RUN
	case failure.Ran:
		return agentpb.Execution_RAN
	default:
		return agentpb.Execution_EXECUTION_UNKNOWN
	}
}
