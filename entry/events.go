package entry

import (
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// eventReader checks the events of one stream before they reach the caller.
type eventReader struct {
	generation *generation
	id         string
	accepted   bool
}

// handle takes one event; done is true after the End of a whole answer.
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
		return false, mismatch("an event of an unknown kind")
	}
}

// mismatch is a stream that cannot be trusted any further.
func mismatch(format string, args ...any) error {
	return failure.New(failure.StreamBroken, failure.Unknown, format, args...)
}

func (r *eventReader) accept(accepted *agentpb.Accepted) error {
	r.generation.call.server.learn(accepted.GetLoad())
	if accepted.GetRequestId() != r.id {
		return mismatch("the stream answers request %q instead of %q", accepted.GetRequestId(), r.id)
	}
	if accepted.GetWeightVersion() != r.generation.version {
		return mismatch("the upstream uses weight version %q instead of %q", accepted.GetWeightVersion(), r.generation.version)
	}
	r.accepted = true
	return nil
}

// delta passes on the one token that continues the answer; a gap or a repeat breaks the stream.
func (r *eventReader) delta(delta *agentpb.Delta) error {
	g := r.generation
	if !r.accepted {
		return mismatch("a token came before the request was accepted")
	}
	if delta.GetIndex() != int64(len(g.emitted)) {
		return mismatch("token %d came instead of token %d", delta.GetIndex(), len(g.emitted))
	}
	if err := g.sink.token(delta.GetText()); err != nil {
		return err
	}
	g.emitted = append(g.emitted, delta.GetText())
	g.call.record.Tokens++
	return nil
}

// end makes the answer whole, provided that its count matches the tokens passed on.
func (r *eventReader) end(end *agentpb.End) error {
	g := r.generation
	g.call.server.learn(end.GetLoad())
	if end.GetRequestId() != r.id || !r.accepted {
		return mismatch("the end mark is that of request %q", end.GetRequestId())
	}
	if end.GetTotalTokens() != int64(len(g.emitted)) {
		return mismatch("the end mark counts %d tokens, %d came", end.GetTotalTokens(), len(g.emitted))
	}
	g.call.decided(end.GetDecisions()...)
	return g.sink.end(end.GetFinishReason(), usage{
		Prompt:     int64(len(g.tokens)),
		Completion: end.GetTotalTokens(),
		Cached:     end.GetCachedPromptTokens() + end.GetFetchedPromptTokens(),
	})
}

func (r *eventReader) refusal(refusal *agentpb.Refusal) error {
	r.generation.call.server.learn(refusal.GetLoad())
	return refused(refusal)
}

// refused turns an agent's refusal into a failure.
func refused(refusal *agentpb.Refusal) *failure.Error {
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

// learn takes the load and the set version of a reply.
func (s *Server) learn(load *agentpb.UpstreamLoad) {
	if load == nil {
		return
	}
	if load.GetSetVersion() > s.deps.Source.Current().Version {
		s.deps.Source.Observe(load.GetSetVersion())
	}
	s.deps.Router.Learned(load)
}
