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

// generation is the answer to one chat request, over one or more upstreams.
type generation struct {
	call      *call
	model     string
	prompt    string
	tokens    []string
	maxTokens int64
	version   string
	pieces    []piece.Name
	affinity  piece.Name
	sink      sink
	// emitted tokens have been given to the sink, in order and without gaps.
	emitted  []string
	excluded []string
	attempts int
	// exhausted is true when no other upstream is left to try.
	exhausted bool
	last      *failure.Error
	// ran is true once an attempt may have run; then the request as a whole can no longer be not_run.
	ran bool
}

// run tries upstreams until the answer is whole, the caller has gone, or no retry is allowed.
func (g *generation) run() error {
	for {
		err := g.attempt()
		if err == nil {
			return nil
		}
		e := g.classify(err)
		g.last = e
		if !g.mayRetry(e) {
			g.sink.fail(e)
			return e
		}
		g.call.server.count("retries")
		g.call.decided(fmt.Sprintf("retry after %s: %s", e.Kind, e.Message))
		if err := g.renew(); err != nil {
			e = g.classify(err)
			g.sink.fail(e)
			return e
		}
	}
}

// classify corrects the execution of an attempt's failure to that of the whole request.
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
	return &e
}

// elsewhere lists the failures that another upstream may not have.
var elsewhere = map[failure.Kind]bool{
	failure.Draining: true, failure.StaleSet: true, failure.Overloaded: true, failure.DeadlineUnreachable: true,
	failure.SetVersionBehind: true, failure.WrongWeightVersion: true, failure.NoUpstream: true, failure.Fenced: true,
	failure.UpstreamFailed: true, failure.StreamBroken: true,
}

// mayRetry allows another upstream after a refusal with not_run or after a broken stream, which is continued.
func (g *generation) mayRetry(e *failure.Error) bool {
	s := g.call.server
	if g.exhausted || g.call.ctx.Err() != nil || g.attempts >= s.options.MaxAttempts || !elsewhere[e.Kind] || g.sink.broken() {
		return false
	}
	if s.budget.take(g.call.account.Name) {
		return true
	}
	s.count("retries_over_budget")
	return false
}

// renew takes up the newest set before another attempt.
func (g *generation) renew() error {
	view, err := g.call.server.awaitFresh(g.call.ctx)
	if err != nil {
		return err
	}
	return g.call.adopt(view)
}

// chooseVersion takes the version in force for new work. A continued answer keeps the version that it began with.
func (g *generation) chooseVersion() error {
	model, err := g.call.catalog.model(g.call.account, g.model)
	if err != nil {
		return err
	}
	if len(g.emitted) == 0 {
		g.useVersion(model.WeightVersion)
	}
	return nil
}

// runID differs per attempt, so that an engine cannot mistake a retry for the run that it is still ending.
func (g *generation) runID() string {
	return fmt.Sprintf("%s.%d", g.call.id, g.attempts)
}

// attempt runs the request on one upstream.
func (g *generation) attempt() error {
	if err := g.chooseVersion(); err != nil {
		return err
	}
	route, err := g.call.server.deps.Router.Pick(g.call.view, g.routeRequest())
	if err != nil {
		g.exhausted = true
		return g.reason(err)
	}
	g.attempts++
	g.excluded = append(g.excluded, route.Upstream)
	g.call.decided(route.Reasons...)
	err = g.stream(route)
	if err == nil {
		g.call.server.deps.Router.Answered(route, g.pieces)
		return nil
	}
	e := failure.Of(err)
	if e.Kind == failure.NoUpstream || e.Kind == failure.StreamBroken || e.Kind == failure.UpstreamFailed {
		g.call.server.deps.Router.Failed(route, e.Kind == failure.NoUpstream)
	}
	g.call.server.deps.Log.Info("attempt failed", zap.String("request_id", g.call.id), zap.String("upstream", route.Upstream),
		zap.Int("emitted", len(g.emitted)), zap.Error(e))
	return e
}

// reason prefers the failure of the last attempt, with its advice, to the lack of another upstream.
func (g *generation) reason(pick error) error {
	if g.last != nil {
		return g.last
	}
	return pick
}

func (g *generation) routeRequest() routing.Request {
	return routing.Request{
		Model:         g.model,
		WeightVersion: g.version,
		Affinity:      g.affinity,
		Pieces:        g.pieces,
		PromptTokens:  int64(len(g.tokens)),
		Rank:          g.call.rank.Name,
		Order:         g.call.rank.Order,
		Exclude:       g.excluded,
	}
}

// stream opens the agent's stream and relays it. Canceling its context closes the stream, which cancels the run.
func (g *generation) stream(route Route) error {
	s := g.call.server
	ctx, cancel := context.WithCancel(g.call.ctx)
	defer cancel()
	// A silent agent, for example behind a broken link, ends the stream like a closed connection.
	idle := time.AfterFunc(s.options.StreamIdle, cancel)
	defer idle.Stop()
	conn := s.deps.Agents.Get(ctx, route.Address)
	defer func() { _ = conn.Close() }()
	stream, err := agentpb.NewDRPCAgentClient(conn).Generate(ctx, g.message(route))
	if err != nil {
		return broken(err)
	}
	defer func() { _ = stream.Close() }()
	reader := &eventReader{generation: g, id: g.runID()}
	for {
		event, err := stream.Recv()
		if err != nil {
			return unfinished(err)
		}
		idle.Reset(s.options.StreamIdle)
		done, err := reader.handle(event)
		if done || err != nil {
			return err
		}
	}
}

// unfinished is the end of a stream before its end mark. A clean close is no different from a broken connection.
func unfinished(err error) error {
	if errors.Is(err, io.EOF) {
		return failure.Wrap(err, failure.StreamBroken, failure.Unknown, "the stream closed without its end mark")
	}
	return broken(err)
}

// broken classifies a transport error. Only a failed connect, which comes typed, is not_run.
func broken(err error) error {
	if e, ok := errors.AsType[*failure.Error](err); ok {
		return e
	}
	return failure.Wrap(err, failure.StreamBroken, failure.Unknown, "the stream from the upstream broke")
}
