package gateway

import (
	"mime"

	"github.com/wasabishunt/wasabishunt/failure"
)

// checkContinuation returns an error if the caller has already got events of another instance and the head of this answer is
// not the head of a continuation. Success without a signature does not count, so its body may be anything.
func (s *send) checkContinuation() error {
	if !s.call.answered {
		return nil
	}
	if !s.answer.Signed {
		return failure.New(failure.UpstreamFailed, failure.Ran, "instance %s sent no response signature for a resumed stream", s.instance.ID)
	}
	if kind := s.exchange.Response.Header.Get("Content-Type"); kind != "" && !isEventStream(kind) {
		return failure.New(failure.UpstreamFailed, failure.Ran, "instance %s answered a resumed stream with %q", s.instance.ID, kind)
	}
	return nil
}

func isEventStream(contentType string) bool {
	kind, _, err := mime.ParseMediaType(contentType)
	return err == nil && kind == "text/event-stream"
}

// checkFirstEvents returns an error if the caller has already got events of another instance and the first bytes that this one
// sends are no events with an id. Without one, it cannot be told where they belong in the stream.
func (s *send) checkFirstEvents(events []byte) error {
	if s.begun || !s.call.answered || len(events) == 0 || newestID(events) != "" {
		return nil
	}
	return failure.New(failure.UpstreamFailed, failure.Ran, "instance %s resumed a stream without the id of an event", s.instance.ID)
}
