package entry

import (
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// eventReader validates the events of one stream before they are relayed to the caller.
type eventReader struct {
	generation *generation
	// id is the request id that the stream's events must carry; it differs per attempt.
	id       string
	accepted bool
}

// handle processes one event; done is true after the End event of a complete answer.
func (r *eventReader) handle(event *agentpb.GenerateEvent) (done bool, err error) {
	switch {
	case event.GetAccepted() != nil:
		return false, r.accept(event.GetAccepted())
	case event.GetDelta() != nil:
		return false, r.delta(event.GetDelta())
	case event.GetEnd() != nil:
		return true, r.end(event.GetEnd())
	case event.GetRefusal() != nil:
		return false, r.refusal(event.GetRefusal())
	default:
		return false, streamBroken("an event of an unknown kind")
	}
}

// streamBroken returns the failure of a stream with an invalid event.
func streamBroken(format string, args ...any) error {
	return failure.New(failure.StreamBroken, failure.Unknown, format, args...)
}

func (r *eventReader) accept(accepted *agentpb.Accepted) error {
	r.generation.call.server.observeLoad(accepted.GetLoad())
	if accepted.GetRequestId() != r.id {
		return streamBroken("the stream answers request %q instead of %q", accepted.GetRequestId(), r.id)
	}
	if accepted.GetWeightVersion() != r.generation.weightVersion {
		return streamBroken("the upstream uses weight version %q instead of %q", accepted.GetWeightVersion(), r.generation.weightVersion)
	}
	r.accepted = true
	return nil
}

// delta relays the next token of the answer; a gap or a repeat fails the stream.
func (r *eventReader) delta(delta *agentpb.Delta) error {
	g := r.generation
	if !r.accepted {
		return streamBroken("a token arrived before the Accepted event")
	}
	if delta.GetIndex() != int64(len(g.emitted)) {
		return streamBroken("received token %d instead of token %d", delta.GetIndex(), len(g.emitted))
	}
	if err := g.sink.token(delta.GetText()); err != nil {
		return err
	}
	g.emitted = append(g.emitted, delta.GetText())
	g.call.record.Tokens++
	return nil
}

// end completes the answer if the event's token count matches the tokens relayed.
func (r *eventReader) end(end *agentpb.End) error {
	g := r.generation
	g.call.server.observeLoad(end.GetLoad())
	if end.GetRequestId() != r.id || !r.accepted {
		return streamBroken("unexpected End event of request %q", end.GetRequestId())
	}
	if end.GetTotalTokens() != int64(len(g.emitted)) {
		return streamBroken("the End event counts %d tokens, %d were received", end.GetTotalTokens(), len(g.emitted))
	}
	g.call.recordDecisions(end.GetDecisions()...)
	return g.sink.end(end.GetFinishReason(), usage{
		Prompt:     int64(len(g.tokens)),
		Completion: end.GetTotalTokens(),
		Cached:     end.GetCachedPromptTokens() + end.GetFetchedPromptTokens(),
	})
}

func (r *eventReader) refusal(refusal *agentpb.Refusal) error {
	r.generation.call.server.observeLoad(refusal.GetLoad())
	return refusalError(refusal)
}

// refusalError converts an agent's refusal to a failure.
func refusalError(refusal *agentpb.Refusal) *failure.Error {
	e := failure.New(failure.Kind(refusal.GetKind()), failure.Unknown, "%s", refusal.GetMessage())
	switch refusal.GetExecution() {
	case agentpb.Execution_NOT_RUN:
		e.Execution = failure.NotRun
	case agentpb.Execution_RAN:
		e.Execution = failure.Ran
	}
	e.RetryAfter = time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
	return e
}

// observeLoad records the load and the set version that a reply carries.
func (s *Server) observeLoad(load *agentpb.UpstreamLoad) {
	if load == nil {
		return
	}
	if load.GetSetVersion() > s.deps.Source.Current().Version {
		s.deps.Source.Observe(load.GetSetVersion())
	}
	s.deps.Router.RecordLoad(load)
}
