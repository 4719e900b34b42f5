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

// job is one checked request.
type job struct {
	id      string
	request *agentpb.GenerateRequest
	// pieces and promptTokens are computed here and not taken from the message: what an account may read from a cache must
	// not depend on another process.
	pieces       []piece.Name
	promptTokens int64
	account      objectset.Account
	rank         objectset.Rank
	// ctx ends at the request's deadline, when the entry closes the stream, or when the queue drops the job. In the last
	// case its cause is a *failure.Error.
	ctx  context.Context
	drop context.CancelCauseFunc
	// events is written and closed by the worker that runs the job; it is closed empty if the queue drops the job.
	events chan *agentpb.GenerateEvent
	// queued is guarded by Agent.mu; it is true while the job is in the queue.
	queued bool
	// priority is the order on the engine, 0 first; it is set when a worker takes the job.
	priority int
	// ran is set by the worker before it closes events.
	ran bool
	// session is set before the job is queued; it is nil for a prompt without whole pieces.
	session      *kv.Session
	cachedTokens int64
	estimate     time.Duration
	decisions    []string
}

// Generate implements the Agent service.
func (a *Agent) Generate(req *agentpb.GenerateRequest, stream agentpb.DRPCAgent_GenerateStream) error {
	if err := a.beginCall(); err != nil {
		return a.sendRefusal(stream, req, err)
	}
	defer a.endCall()
	ctx, cancel := context.WithTimeout(stream.Context(), a.remaining(req.GetHeader()))
	defer cancel()
	ctx, drop := context.WithCancelCause(ctx)
	defer drop(nil)
	j, err := a.admit(ctx, drop, req)
	if err != nil {
		return a.sendRefusal(stream, req, err)
	}
	defer func() { j.session.Close() }()
	if err := a.preparePieces(stream, j, cancel); err != nil {
		return err
	}
	if err := a.enqueue(j); err != nil {
		return a.sendRefusal(stream, req, err)
	}
	if err := stream.Send(a.acceptedEvent(j)); err != nil {
		cancel()
		a.abandon(j)
		return err
	}
	return a.relay(stream, j, cancel)
}

// remaining returns the time allowed for a request.
func (a *Agent) remaining(header *agentpb.Header) time.Duration {
	requested := time.Duration(header.GetDeadlineMs()) * time.Millisecond
	if requested <= 0 || requested > a.options.MaxDeadline {
		return a.options.MaxDeadline
	}
	return requested
}

// admit checks a request before its pieces are prepared; it does not queue it.
func (a *Agent) admit(ctx context.Context, drop context.CancelCauseFunc, req *agentpb.GenerateRequest) (*job, error) {
	if a.deps.Engine == nil {
		return nil, failure.New(failure.NoUpstream, failure.NotRun, "this agent has no engine")
	}
	if req.GetHeader().GetRequestId() == "" {
		return nil, failure.New(failure.InvalidRequest, failure.NotRun, "a request needs an id")
	}
	view, err := a.currentView(ctx, req.GetHeader(), a.options.SetVersionTimeout)
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
	if err := a.weights.checkEngine(); err != nil {
		return nil, err
	}
	return j, a.checkAdmissible(j)
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
		cachedTokens: a.cache.prefixTokens(names),
	}, nil
}

// pieceScope returns everything, apart from the tokens, that piece names are derived from. The account keeps the caches of
// accounts apart.
func pieceScope(account objectset.Account, req *agentpb.GenerateRequest) piece.Scope {
	return piece.Scope{Account: account.Name, Model: req.GetModel(), WeightVersion: req.GetWeightVersion(), Adapter: req.GetAdapter()}
}

// acceptedEvent returns the first event of a stream; it is sent again as a heartbeat while there are no other events.
func (a *Agent) acceptedEvent(j *job) *agentpb.GenerateEvent {
	load := a.load()
	return &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Accepted{Accepted: &agentpb.Accepted{
		UpstreamEpoch:         load.GetUpstreamEpoch(),
		WeightVersion:         j.request.GetWeightVersion(),
		EstimatedFirstTokenMs: j.estimate.Milliseconds(),
		Load:                  load,
		RequestId:             j.id,
	}}}
}

// relay sends a job's events to the entry until the worker closes them.
func (a *Agent) relay(stream agentpb.DRPCAgent_GenerateStream, j *job, cancel context.CancelFunc) error {
	heartbeat := time.NewTicker(a.options.Heartbeat)
	defer heartbeat.Stop()
	for {
		var event *agentpb.GenerateEvent
		select {
		case next, ok := <-j.events:
			if !ok {
				return a.endStream(stream, j)
			}
			event = next
		case <-heartbeat.C:
			event = a.acceptedEvent(j)
		case <-j.ctx.Done():
			if a.dequeue(j) {
				return a.sendRefusal(stream, j.request, contextError(j.ctx, failure.NotRun))
			}
			return a.relayRemaining(stream, j)
		}
		if err := stream.Send(event); err != nil {
			cancel()
			a.abandon(j)
			return err
		}
	}
}

// endStream ends a stream whose events are closed. A run has already sent its last event; a job that the queue dropped
// still needs a refusal.
func (a *Agent) endStream(stream agentpb.DRPCAgent_GenerateStream, j *job) error {
	if j.ran {
		return nil
	}
	return a.sendRefusal(stream, j.request, contextError(j.ctx, failure.NotRun))
}

// relayRemaining sends the last events of a run whose context has ended, until its worker closes them.
func (a *Agent) relayRemaining(stream agentpb.DRPCAgent_GenerateStream, j *job) error {
	var failed error
	for event := range j.events {
		if failed == nil {
			failed = stream.Send(event)
		}
	}
	if failed == nil {
		return a.endStream(stream, j)
	}
	return failed
}

// abandon discards a canceled job: it removes it from the queue, or waits for its worker.
func (a *Agent) abandon(j *job) {
	if a.dequeue(j) {
		return
	}
	for range j.events {
		continue // Receiving unblocks the worker until it closes the channel.
	}
}

// contextError returns the failure that corresponds to the end of a job's context.
func contextError(ctx context.Context, execution failure.Execution) *failure.Error {
	if cause, ok := errors.AsType[*failure.Error](context.Cause(ctx)); ok {
		return cause
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, execution, "the deadline passed")
	}
	return failure.Wrap(ctx.Err(), failure.Canceled, execution, "the caller disconnected")
}

func (a *Agent) sendRefusal(stream agentpb.DRPCAgent_GenerateStream, req *agentpb.GenerateRequest, err error) error {
	e := failure.Of(err)
	a.count("refused." + string(e.Kind))
	a.deps.Log.Info("request refused", zap.String("request_id", req.GetHeader().GetRequestId()), zap.Error(e))
	return stream.Send(&agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Refusal{Refusal: a.refusalMessage(e)}})
}

// refusalMessage converts a failure to its message.
func (a *Agent) refusalMessage(err error) *agentpb.Refusal {
	e := failure.Of(err)
	return &agentpb.Refusal{
		Kind:         string(e.Kind),
		Message:      e.Message,
		Execution:    protoExecution(e.Execution),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Load:         a.load(),
	}
}

func protoExecution(e failure.Execution) agentpb.Execution {
	switch e {
	case failure.NotRun:
		return agentpb.Execution_NOT_RUN
	case failure.Ran:
		return agentpb.Execution_RAN
	default:
		return agentpb.Execution_EXECUTION_UNKNOWN
	}
}
