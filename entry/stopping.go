package entry

import (
	"context"
	"errors"

	"github.com/wasabishunt/wasabishunt/failure"
)

// errStopEnds ends the requests that still run shortly before the drain limit.
var errStopEnds = failure.New(failure.Draining, failure.Unknown, "the entry stops")

// endWithStop returns a context that also ends shortly before the drain limit of a stop.
func (s *Server) endWithStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.running, func() { cancel(context.Cause(s.running)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// stopFailure returns the failure of a request that was ended by a stop, nil if it was not.
func (c *call) stopFailure(e *failure.Error) *failure.Error {
	if c.ctx == nil || !errors.Is(context.Cause(c.ctx), errStopEnds) {
		return nil
	}
	if e.Execution == failure.NotRun {
		return failure.New(failure.Draining, failure.NotRun, "the entry stops")
	}
	return failure.New(failure.OutcomeUnknown, e.Execution, "the entry stopped before the answer was complete")
}
