package gateway

import (
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
	return nil
}
