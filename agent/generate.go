package agent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/agent/kv"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/prompt"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// job is one accepted request.
type job struct {
	id      string
	request *agentpb.GenerateRequest
	// pieces and promptTokens are worked out here and not taken from the message: what an account may read from
	// a cache must not depend on another process.
	pieces       []piece.Name
	promptTokens int64
	account      objectset.Account
	rank         objectset.Rank
	// ctx ends at the request's deadline, when the entry closes the stream, or when the queue drops the job;
	// its cause is a typed failure in the last case.
	ctx  context.Context
	drop context.CancelCauseFunc
	// events is written and closed by the worker that runs the job; it is closed empty if the queue drops the job.
	events chan *agentpb.GenerateEvent
	// queued is guarded by Agent.mu; it is false once a worker has the job.
	queued bool
	// priority is the order on the engine, 0 first; it is set by the worker that takes the job.
	priority int
	// ran is set by the worker before it closes events.
	ran bool
	// ticket is set before the job is queued, and nil for a prompt without whole pieces.
	ticket    *kv.Ticket
	cached    int64
	estimate  time.Duration
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
	ctx, drop := context.WithCancelCause(ctx)
	defer drop(nil)
	j, err := a.admit(ctx, drop, req)
	if err != nil {
		return a.refuse(stream, req, err)
	}
	defer func() { j.ticket.Done() }()
	if err := a.prepare(stream, j, cancel); err != nil {
		return err
	}
	if err := a.enqueue(j); err != nil {
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

// admit checks a request; it takes no place in the queue yet.
func (a *Agent) admit(ctx context.Context, drop context.CancelCauseFunc, req *agentpb.GenerateRequest) (*job, error) {
	if a.deps.Engine == nil {
		return nil, failure.New(failure.NoUpstream, failure.NotRun, "this agent has no engine")
	}
	if req.GetHeader().GetRequestId() == "" {
		return nil, failure.New(failure.InvalidRequest, failure.NotRun, "a request needs an id")
	}
	view, err := a.currentView(ctx, req.GetHeader(), a.options.CatchUp)
	if err != nil {
		return nil, err
	}
	j, err := a.newJob(view, req)
	if err != nil {
		return nil, err
	}
	j.ctx = ctx
	j.drop = drop
	if err := a.checkWeights(view, req); err != nil {
		return nil, err
	}
	if err := a.weights.available(); err != nil {
		return nil, err
	}
	return j, a.admissible(j)
}

func (a *Agent) newJob(view controlclient.View, req *agentpb.GenerateRequest) (*job, error) {
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
	tokens := prompt.Tokens(req.GetPrompt())
	names := piece.Names(a.deps.PieceKey, pieceScope(account, req), tokens)
	return &job{
		id:           req.GetHeader().GetRequestId(),
		request:      req,
		pieces:       names,
		promptTokens: int64(len(tokens)),
		account:      account,
		rank:         rank,
		events:       make(chan *agentpb.GenerateEvent, a.options.EventBuffer),
		cached:       a.cache.prefixTokens(names),
	}, nil
}

// pieceScope holds all that a prompt's pieces depend on; the account keeps accounts' caches apart.
func pieceScope(account objectset.Account, req *agentpb.GenerateRequest) piece.Scope {
	return piece.Scope{Account: account.Name, Model: req.GetModel(), WeightVersion: req.GetWeightVersion(), Adapter: req.GetAdapter()}
}

// accepted is the first event of a stream; it is sent again as a sign of life while there are no other events.
func (a *Agent) accepted(j *job) *agentpb.GenerateEvent {
	load := a.load()
	return &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Accepted{Accepted: &agentpb.Accepted{
		UpstreamEpoch:         load.GetUpstreamEpoch(),
		WeightVersion:         j.request.GetWeightVersion(),
		EstimatedFirstTokenMs: j.estimate.Milliseconds(),
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
				return a.relayEnd(stream, j)
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

// relayEnd ends a stream whose events are closed: after a run nothing is left to say, but a job that the queue
// dropped has had no last event yet.
func (a *Agent) relayEnd(stream agentpb.DRPCAgent_GenerateStream, j *job) error {
	if j.ran {
		return nil
	}
	return a.refuse(stream, j.request, ended(j.ctx, failure.NotRun))
}

// relayRest passes on the last events of a run whose context has ended; its worker is about to close them.
func (a *Agent) relayRest(stream agentpb.DRPCAgent_GenerateStream, j *job) error {
	var failed error
	for event := range j.events {
		if failed == nil {
			failed = stream.Send(event)
		}
	}
	if failed == nil {
		return a.relayEnd(stream, j)
	}
	return failed
}

// abandon ends a canceled job whose events nobody wants: it leaves the queue, or its worker is waited for.
func (a *Agent) abandon(j *job) {
	if a.dequeue(j) {
		return
	}
	for range j.events {
		continue // Reading lets the worker go on until it closes the channel.
	}
}

// ended tells why a job's context ended.
func ended(ctx context.Context, execution failure.Execution) *failure.Error {
	if cause, ok := errors.AsType[*failure.Error](context.Cause(ctx)); ok {
		return cause
	}
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
