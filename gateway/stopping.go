package gateway

import (
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// stopRetryAfter is the retry advice of a stopping node: other nodes can take the request at once.
const stopRetryAfter = 10 * time.Millisecond

// BeginClosing makes each answer close the caller's connection.
func (g *Gateway) BeginClosing() { g.closing.Store(true) }

// FinishBy refuses further requests that may last beyond a time, at which a stop cuts requests in progress.
func (g *Gateway) FinishBy(t time.Time) { g.finishBy.Store(t.UnixNano()) }

// checkStop refuses a request that may last beyond the end of the stop in progress.
func (c *call) checkStop() error {
	by := c.gateway.finishBy.Load()
	if by == 0 || c.answerBy.UnixNano() <= by {
		return nil
	}
	e := failure.New(failure.Draining, failure.NotRun, "the node is stopping")
	e.RetryAfter = stopRetryAfter
	return e
}
