package gateway

import (
	"cmp"
	"context"
	"errors"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreamlimit"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// connectionShare is the part of an upstream's connection limit that all nodes together use. The rest is left for
	// probes and for closed connections that the upstream still counts.
	connectionShare = 0.8
	// maxRejections limits the number of sends that upstreams reject without running the request.
	maxRejections = 3
)

// forward sends the request to instances until it is answered or no further attempt is allowed.
func (c *call) forward(ctx context.Context) error {
	defer c.dropMove()
	runs, rejections, denials := 0, 0, 0
	// denied is the wait for the instance whose limit left no permit last.
	var denied time.Duration
	var last error
	for {
		if ctx.Err() != nil {
			return c.contextError(ctx, last)
		}
		c.bound.Store(c.answered)
		var chosen *choice
		var pauseLeft time.Duration
		move := c.takeMove()
		if move != nil {
			chosen = move.chosen
		} else {
			chosen, pauseLeft = c.choose(c.exclude)
		}
		if chosen == nil || move == nil && (rejections >= maxRejections || denials >= maxDenials) {
			if !c.retryMoved(ctx) {
				return c.noInstance(last, cmp.Or(pauseLeft, denied))
			}
			rejections, denials = min(rejections, maxRejections-1), 0
			continue
		}
		if err := c.admit(chosen); err != nil {
			return err
		}
		if err := c.checkQuarantine(ctx); err != nil {
			move.release()
			return err
		}
		if move == nil {
			if denied = c.acquirePermit(ctx, chosen); denied > 0 {
				denials++
				continue
			}
		}
		if !c.counted {
			c.counted = true
			c.gateway.options.Budget.RecordRequest(c.service.Name)
		} else if c.sends > 0 && move == nil && !c.gateway.options.Budget.TakeRepeat(c.service.Name) {
			if c.retryMoved(ctx) {
				continue
			}
			c.gateway.options.Log.Info("retry budget is spent", zap.String("request", c.attributes.ID), zap.String("service", c.service.Name))
			return last
		}
		result := c.attempt(ctx, chosen, move, c.mayRetry(runs+1))
		if result.done {
			return result.err
		}
		last = result.err
		c.exclude[chosen.instance.ID] = true
		if result.notRun {
			rejections++
		} else {
			c.earlierMayHaveRun = true
			c.tried = nil
			if runs++; !c.mayRetry(runs) {
				return last
			}
		}
		c.gateway.metrics.retries.Inc(1)
	}
}

// admit refuses a request that is not expected to be answered in time. It applies before the first send only.
func (c *call) admit(chosen *choice) error {
	if chosen.forecast == (placement.Forecast{}) || c.sends > 0 {
		return nil
	}
	requirements := placement.Requirements{
		Target: c.route.FirstByteTarget, TimeLeft: time.Until(c.answerBy), Short: c.urgency().IsShort(),
		Limits: c.gateway.queueLimits.Observe(c.service.Name, c.route.Name, chosen.query.Urgency, c.route.FirstByteTarget, chosen.forecast.Service, time.Now()),
	}
	share := c.share(chosen.forecast)
	requirements.Factor = share.Factor
	admitted, retryAfter := placement.Admit(requirements, chosen.forecast)
	if admitted {
		c.recordAdmitted(chosen)
		return nil
	}
	c.recordRefused()
	if e := c.aboveShare(share, requirements, chosen.forecast); e != nil {
		return e
	}
	e := failure.New(failure.Overloaded, failure.NotRun, "first event expected after %v, target %v; queued work takes %v, limit %v; a large prompt takes %v",
		chosen.forecast.FirstEvent().Round(time.Millisecond), requirements.Target, chosen.forecast.Queue.Round(time.Millisecond),
		requirements.Limits.MaxQueue.Round(time.Millisecond), requirements.Limits.LargeService.Round(time.Millisecond))
	e.RetryAfter = retryAfter
	return e
}

// mayRetry reports whether the request may go to one more upstream after so many runs.
func (c *call) mayRetry(runs int) bool {
	return c.route.Repeatable() && runs < c.route.Attempts
}

// contextError returns the error for a request whose deadline has passed or whose caller has disconnected.
func (c *call) contextError(ctx context.Context, last error) error {
	if c.isCanceled() {
		return failure.New(failure.Canceled, failure.Unknown, "the caller disconnected")
	}
	if !c.mayHaveRun {
		return failure.New(failure.Overloaded, failure.NotRun, "no upstream took the request in time")
	}
	if last != nil && !errors.Is(last, context.DeadlineExceeded) {
		return last
	}
	return failure.Wrap(context.Cause(ctx), failure.DeadlineExceeded, failure.Unknown, "the upstream did not answer in time")
}

// choice is a selected instance with the estimates for the request at it.
type choice struct {
	instance *upstreams.Instance
	work     placement.Work
	query    *placement.Request
	version  uint64
	// sources are the stores from which the engine may fetch the shared parts of the prompt, one entry for each part.
	sources []placement.StoredPart
	// permit is that of an instance with a limit.
	permit upstreamlimit.Permit
	// coldPermit is that of a cold instance.
	coldPermit upstreamlimit.ColdPermit
	// forecast is empty for plain services.
	forecast placement.Forecast
	// cached and recomputed are the estimates of the call's fields of the same names.
	cached, recomputed int
	// speedPercent is the estimate of the call's field of the same name.
	speedPercent int
}

// choose chooses an instance that is not excluded. If there is none, it returns nil and the time until a paused instance takes
// requests again. It may run beside the send in progress, and does not change the call.
func (c *call) choose(exclude map[string]bool) (chosen *choice, pauseLeft time.Duration) {
	o := c.gateway.options
	view := o.Directory.View()
	o.Tracker.Sync(view)
	q := &placement.Request{
		Zone: o.AvailabilityZone, Seed: c.attributes.ID, Exclude: exclude, Urgency: c.urgency(), Evacuated: c.evacuations().Zones(),
		Target: c.route.FirstByteTarget, GapTarget: c.route.EventGapTarget,
	}
	g := c.attributes.Generation
	if g != nil && c.service.Engine != nil {
		c.describePrompt(q)
	}
	now := time.Now()
	pauses := placement.Pauses{ByHash: c.limitedPauses(now), ByPosition: c.coldPauses(view, q, now)}
	best, pauseLeft := o.Tracker.Choose(view.OfService(c.service.Name), now, q, pauses)
	if best == nil {
		return nil, pauseLeft
	}
	chosen = &choice{instance: best.Instance, query: q, version: best.Version, speedPercent: int(math.Round(100 * best.Slowness))}
	if q.CacheTokens > 0 {
		plan := placement.PlanPrefill(q, best)
		chosen.work = placement.Work{
			Urgency: q.Urgency, PrefillTokens: plan.Tokens, HeldTokens: q.HeldTokens(best, g.OutputTokens), Transfers: plan.Transfers,
			Salt: q.Salt(best.Version), Parts: g.Parts, CacheTokens: q.CacheTokens,
		}
		chosen.forecast = placement.EstimateFirstEvent(q, best)
		chosen.work.FirstEvent = chosen.forecast.FirstEvent()
		if q.Uneven {
			chosen.work.UsualFirstEvent = placement.EstimateUsualFirstEvent(q, best).FirstEvent()
		}
		for i := range max(0, len(g.Parts)-1) {
			chosen.sources = append(chosen.sources, q.Source(i, best))
		}
		chosen.cached, chosen.recomputed = best.CachedTokens, plan.SharedTokens
	}
	return chosen, 0
}

// describePrompt fills in the properties of the prompt and the stores that hold its parts.
func (c *call) describePrompt(q *placement.Request) {
	o := c.gateway.options
	g := c.attributes.Generation
	q.Model, q.Parts, q.Tokens, q.CacheTokens = g.Model, g.Parts, g.PromptTokens, c.service.Engine.CacheTokens
	q.RequiredVersion = o.Sets.RequiredVersion(g.Model)
	set, account := c.newestAccount()
	q.SharedCache = set.SharedCache()
	if account != nil && account.Isolated {
		q.Isolated = account.Name
	}
	q.StoredVersion = max(1, o.Sets.WantedVersion(g.Model))
	q.TokenTransfer = c.service.Engine.TokenTransfer()
	if o.Stores != nil && len(g.Parts) > 1 {
		q.Stored = o.Stores.Locate(q.Salt(q.StoredVersion), g.Parts[:len(g.Parts)-1], c.maxFetchTime(), o.Tracker)
	}
}

// result is the outcome of one send.
type result struct {
	// done is set when the caller has been answered or no further attempt may be made.
	done bool
	// notRun is set when the request did not run at this upstream.
	notRun bool
	err    error
}

// attempt sends the request to one instance and relays its answer.
// move is set if the send takes over a prepared move.
func (c *call) attempt(ctx context.Context, chosen *choice, move *moveTarget, repeatable bool) result {
	o := c.gateway.options
	instance, work := chosen.instance, chosen.work
	c.instance, c.speedPercent = instance.ID, chosen.speedPercent
	if work.CacheTokens > 0 {
		c.cached, c.recomputed, c.expectedFirstEvent = chosen.cached, chosen.recomputed, chosen.forecast.FirstEvent()
	}
	var conn *upstreamconn.Conn
	if move != nil {
		conn = move.conn
	} else {
		var err error
		if conn, err = o.Pool.Get(ctx, c.attributes.ID, instance.Address, c.connectionLimit(), repeatable); err != nil {
			c.recordUnreachable(ctx, instance, err)
			o.Log.Info("upstream cannot be reached", zap.String("request", c.attributes.ID), zap.String("instance", instance.ID), zap.Error(err))
			return result{notRun: true, err: unreachable(err)}
		}
		c.recordColdConnection(instance, conn)
	}
	if !c.takesRequests(instance) {
		conn.Close()
		return withdrawn(instance, upstreamRetryAfter)
	}
	if wait := c.renewPermit(ctx, chosen, conn); wait > 0 {
		conn.PutBack()
		return withdrawn(instance, wait)
	}
	// Opening the connection and asking another node for the permit take a while.
	if c.isEvacuated(instance) {
		conn.PutBack()
		return c.withdrawnEvacuated(instance)
	}
	if c.isOutdated(chosen) {
		conn.PutBack()
		return c.withdrawnOutdated(chosen)
	}
	c.dropEvacuatedSources(chosen)
	out := c.outbound(chosen)
	attempt := o.Tracker.Begin(instance, work)
	c.sends++
	c.sentAt = time.Now()
	c.recordColdSend(chosen, c.sentAt)
	c.mayHaveRun = true
	c.prompt = c.gateway.crashes.begin(instance, c.attributes.ID, c.parts)
	defer c.prompt.end()
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &send{call: c, ctx: ctx, attemptCtx: attemptCtx, attempt: attempt, instance: instance, out: out, repeatable: repeatable}
	if repeatable {
		s.watchSilence(cancel)
		defer s.stopWatching()
	}
	exchange, err := conn.Send(attemptCtx, c.upstreamRequest(instance.Address, out))
	if err != nil {
		return c.noAnswer(ctx, attempt, instance, err)
	}
	stop := exchange.AbortOn(attemptCtx)
	defer stop()
	answer, err := c.matchingAnswer(exchange, instance)
	if err != nil {
		exchange.Abort()
		return c.noAnswer(ctx, attempt, instance, err)
	}
	model := ""
	if c.attributes.Generation != nil {
		model = c.attributes.Generation.Model
	}
	attempt.RecordAnswer(answer.Load, model, answer.Version, time.Now())
	if answer.TimePercent > 0 && !answer.Replaced {
		attempt.RecordSpeed(answer.TimePercent, time.Now())
	}
	s.exchange, s.answer = exchange, answer
	return s.relay()
}

// maxUnexpectedAnswers is the number of answers to other requests that are skipped: one duplicate answer to each of the
// last two requests on the connection.
const maxUnexpectedAnswers = 2

// matchingAnswer returns the head of the answer to this request. Duplicate answers to earlier requests on the connection
// may precede it.
func (c *call) matchingAnswer(exchange *upstreamconn.Exchange, instance *upstreams.Instance) (Answer, error) {
	for skipped := 0; ; skipped++ {
		answer := c.gateway.options.Dialect.Answer(exchange.Response)
		if answer.RequestID == c.attributes.ID {
			c.recordAvailability(instance, answer, true)
			return answer, nil
		}
		if answer.RequestID != "" {
			c.recordAvailability(instance, answer, false)
		}
		c.gateway.options.Log.Warn("answer of another request", zap.String("request", c.attributes.ID), zap.String("answer_of", answer.RequestID), zap.String("instance", instance.ID))
		if answer.RequestID == "" || skipped >= maxUnexpectedAnswers {
			return Answer{}, failure.New(failure.UpstreamFailed, failure.Unknown, "the upstream answered another request")
		}
		// The answer to this request may never arrive.
		timer := time.AfterFunc(c.attemptTimeout(), exchange.Abort)
		err := exchange.Skip()
		timer.Stop()
		if err != nil {
			return Answer{}, err
		}
	}
}

// connectOutcome distinguishes an instance whose VM does not respond from one that fails.
func connectOutcome(err error) placement.Outcome {
	if upstreamconn.IsTimeout(err) {
		return placement.Unresponsive
	}
	return placement.Failed
}

func unreachable(err error) error {
	e := failure.Wrap(err, failure.NoUpstream, failure.NotRun, "no connection to an upstream")
	e.RetryAfter = upstreamRetryAfter
	return e
}

func (c *call) connectionLimit() int {
	if c.service.MaxConnections == 0 {
		return 0
	}
	return max(2, int(connectionShare*float64(c.service.MaxConnections)/float64(max(1, c.gateway.options.Nodes()))))
}

// noAnswer handles a send that got no complete answer. The request may have run.
func (c *call) noAnswer(ctx context.Context, attempt *placement.Attempt, instance *upstreams.Instance, err error) result {
	if c.isCanceled() {
		attempt.End(placement.Canceled, time.Now())
		return result{done: true, err: failure.New(failure.Canceled, failure.Unknown, "the caller disconnected")}
	}
	outcome := connectOutcome(err)
	if ctx.Err() == nil && (isBreak(err) || outcome == placement.Unresponsive) {
		c.recordRestartSign(instance, err)
	}
	if ctx.Err() == nil && c.prompt.brokeOff(err) {
		outcome = placement.Unresponsive
	}
	attempt.End(outcome, time.Now())
	c.gateway.options.Log.Info("upstream did not answer", zap.String("request", c.attributes.ID), zap.String("instance", instance.ID),
		zap.Duration("after", time.Since(c.started)), zap.Error(err))
	if ctx.Err() != nil {
		return result{done: true, err: failure.Wrap(context.Cause(ctx), failure.DeadlineExceeded, failure.Unknown, "the upstream did not answer in time")}
	}
	return result{err: err}
}

// plannedFetchShare is the part of the first-byte target within which the parts of a prompt must be fetched for a fetch to
// be planned.
const plannedFetchShare = 0.3

func (c *call) maxFetchTime() time.Duration {
	return time.Duration(plannedFetchShare * float64(c.route.FirstByteTarget))
}

// urgency returns the urgency of the request. The account's priority overrides the route's.
func (c *call) urgency() placement.Urgency {
	u := placement.Urgency{Priority: c.route.PriorityFor(c.account)}
	if g := c.attributes.Generation; g != nil {
		u.PromptTokens = g.PromptTokens
	}
	return u
}
