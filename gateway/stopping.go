package gateway

import (
	"context"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// stopRetryAfter is the retry advice of a stopping node: other nodes can take the request at once.
const stopRetryAfter = 10 * time.Millisecond

// BeginClosing makes each answer close the caller's connection.
func (g *Gateway) BeginClosing() { g.closing.Store(true) }

// FinishBy refuses further requests that may last beyond a time, at which a stop cuts requests in progress.
func (g *Gateway) FinishBy(t time.Time) { g.finishBy.Store(&t) }

// errStopEnds ends the requests that are still in progress shortly before the end of a stop.
var errStopEnds = failure.New(failure.Draining, failure.Unknown, "the node stops before the upstream has answered")

// EndRequests ends the requests in progress. Those without an answer get one which says that they may have run; a stream that has begun
// is cut off.
func (g *Gateway) EndRequests() { g.endRunning(errStopEnds) }

// endWithStop returns a context that also ends with EndRequests.
func (g *Gateway) endWithStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.running, func() { cancel(context.Cause(g.running)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// checkStop refuses a request that may last beyond the end of the stop in progress.
func (c *call) checkStop() error {
	by := c.gateway.finishBy.Load()
	if by == nil || !c.answerBy.After(*by) {
		return nil
	}
	e := failure.New(failure.Draining, failure.NotRun, "the node is stopping")
	e.RetryAfter = stopRetryAfter
	return e
}
