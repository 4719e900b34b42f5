package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/routing"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// generation runs one chat request on one or more upstreams in turn.
type generation struct {
	call          *call
	model         string
	prompt        string
	tokens        []string
	maxTokens     int64
	weightVersion string
	pieces        []piece.Name
	affinity      piece.Name
	sink          sink
	// emitted are the tokens written to the sink so far, in order and without gaps.
	emitted []string
	// excluded are the upstreams that were already tried.
	excluded []string
	attempts int
	// exhausted is true when no other upstream is left to try.
	exhausted   bool
	lastFailure *failure.Error
	// ran is true once an attempt may have run; the request is then never reported as not_run.
	ran bool
}

// run tries upstreams until the answer is complete, the caller disconnects, or no retry is allowed.
func (g *generation) run() error {
	for {
		err := g.attempt()
		if err == nil {
			return nil
		}
		e := g.classify(err)
		g.lastFailure = e
		if !g.mayRetry(e) {
			g.sink.fail(e)
			return e
		}
		g.call.server.count("retries")
		g.call.recordDecisions(fmt.Sprintf("retry after %s: %s", e.Kind, e.Message))
		if err := g.refreshView(); err != nil {
			e = g.classify(err)
			g.sink.fail(e)
			return e
		}
	}
}

// classify converts the failure of one attempt to the failure of the request, whose execution covers all attempts.
func (g *generation) classify(err error) *failure.Error {
	e := *failure.Of(err)
	if e.Execution != failure.NotRun {
		g.ran = true
	}
	if g.call.ctx.Err() != nil && errors.Is(g.call.ctx.Err(), context.DeadlineExceeded) {
		e.Kind = failure.DeadlineExceeded
		e.Message = "the deadline passed"
	}
	if g.ran && e.Execution == failure.NotRun {
		e.Execution = failure.Unknown
	}
	if len(g.emitted) > 0 {
		e.Execution = failure.Ran
	}
	if stopped := g.call.stopFailure(&e); stopped != nil {
		return stopped
	}
	return &e
}

// retryableKinds are the failures after which another upstream may succeed.
var retryableKinds = map[failure.Kind]bool{
	failure.Draining: true, failure.StaleSet: true, failure.Overloaded: true, failure.DeadlineUnreachable: true,
	failure.SetVersionBehind: true, failure.WrongWeightVersion: true, failure.NoUpstream: true, failure.Fenced: true,
	failure.UpstreamFailed: true, failure.StreamBroken: true,
}

// mayRetry reports whether another upstream may be tried, and charges the retry budget. A broken stream is continued
// on the next upstream.
func (g *generation) mayRetry(e *failure.Error) bool {
	s := g.call.server
	if g.exhausted || g.call.ctx.Err() != nil || g.attempts >= s.options.MaxAttempts || !retryableKinds[e.Kind] || g.sink.broken() {
		return false
	}
	if s.budget.takeRetry(g.call.account.Name) {
		return true
	}
	s.count("retries_over_budget")
	return false
}

// refreshView moves the call to the newest set before another attempt.
func (g *generation) refreshView() error {
	view, err := g.call.server.awaitFreshView(g.call.ctx)
	if err != nil {
		return err
	}
	return g.call.updateView(view)
}

// chooseWeightVersion selects the version in force. A continued answer keeps the version that it started with.
func (g *generation) chooseWeightVersion() error {
	model, err := g.call.catalog.model(g.call.account, g.model)
	if err != nil {
		return err
	}
	if len(g.emitted) == 0 {
		g.setWeightVersion(model.WeightVersion)
	}
	return nil
}

// runID returns the request id of the current attempt. It differs per attempt, so that an engine that is still ending an
// earlier run does not confuse it with a retry.
func (g *generation) runID() string {
	return fmt.Sprintf("%s.%d", g.call.id, g.attempts)
}

// attempt runs the request on one upstream.
func (g *generation) attempt() error {
	if err := g.chooseWeightVersion(); err != nil {
		return err
	}
	route, err := g.call.server.deps.Router.Pick(g.call.view, g.routeRequest())
	if err != nil {
		g.exhausted = true
		return g.lastFailureOr(err)
	}
	g.attempts++
	g.excluded = append(g.excluded, route.Upstream)
	g.call.recordDecisions(route.Reasons...)
	err = g.stream(route)
	if err == nil {
		g.call.server.deps.Router.RecordSuccess(route, g.pieces)
		return nil
	}
	e := failure.Of(err)
	if e.Kind == failure.NoUpstream || e.Kind == failure.StreamBroken || e.Kind == failure.UpstreamFailed {
		g.call.server.deps.Router.RecordFailure(route, e.Kind == failure.NoUpstream)
	}
	g.call.server.deps.Log.Info("attempt failed", zap.String("request_id", g.call.id), zap.String("upstream", route.Upstream),
		zap.Int("emitted", len(g.emitted)), zap.Error(e))
	return e
}

// lastFailureOr returns the failure of the last attempt, which carries retry advice, or the given error if there was no
// attempt.
func (g *generation) lastFailureOr(pickErr error) error {
	if g.lastFailure != nil {
		return g.lastFailure
	}
	return pickErr
}

func (g *generation) routeRequest() routing.Request {
	return routing.Request{
		Model:         g.model,
		WeightVersion: g.weightVersion,
		Affinity:      g.affinity,
		Pieces:        g.pieces,
		PromptTokens:  int64(len(g.tokens)),
		Rank:          g.call.rank.Name,
		Order:         g.call.rank.Order,
		Exclude:       g.excluded,
	}
}

// stream opens the agent's stream and relays it. Canceling the context closes the stream, which cancels the run.
func (g *generation) stream(route Route) error {
	s := g.call.server
	ctx, cancel := context.WithCancel(g.call.ctx)
	defer cancel()
	// An unresponsive agent, for example behind a broken link, is treated like a closed connection.
	idle := time.AfterFunc(s.options.StreamIdleTimeout, cancel)
	defer idle.Stop()
	conn := s.deps.Agents.Get(ctx, route.Address)
	defer func() { _ = conn.Close() }()
	stream, err := agentpb.NewDRPCAgentClient(conn).Generate(ctx, g.message(route))
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = stream.Close() }()
	reader := &eventReader{generation: g, id: g.runID()}
	for {
		event, err := stream.Recv()
		if err != nil {
			return streamEndError(err)
		}
		idle.Reset(s.options.StreamIdleTimeout)
		done, err := reader.handle(event)
		if done || err != nil {
			return err
		}
	}
}

// streamEndError classifies the end of a stream before its End event. A clean close counts as a broken stream.
func streamEndError(err error) error {
	if errors.Is(err, io.EOF) {
		return failure.Wrap(err, failure.StreamBroken, failure.Unknown, "the stream closed without an End event")
	}
	return transportError(err)
}

// transportError classifies a transport error. Only a failed connect, which already is a *failure.Error, is not_run.
func transportError(err error) error {
	if e, ok := errors.AsType[*failure.Error](err); ok {
		return e
	}
	return failure.Wrap(err, failure.StreamBroken, failure.Unknown, "the stream from the upstream broke")
}
