package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
)

// finish answers a failed request, writes the log event and updates the metrics.
func (c *call) finish(err error) {
	elapsed := time.Since(c.started)
	c.gateway.metrics.total.Update(elapsed)
	c.settleShare(time.Now())
	if c.firstByte > 0 {
		c.gateway.metrics.firstByte.Update(c.firstByte)
	}
	if c.sends > 0 {
		c.gateway.metrics.cached.Inc(int64(c.cached))
		c.gateway.metrics.fetched.Inc(int64(c.fetched))
		c.gateway.metrics.recomputed.Inc(int64(c.recomputed))
	}
	// net/http ends the context of a request whose body misses its read deadline, though the caller is there.
	// It also ends the context after a write that fails, so a caller that read too slowly would look like one that left.
	callerGone := c.request.Context().Err() != nil && !failure.Is(err, failure.BodyTimeout) && c.slow.Load() == nil
	if err != nil && !c.answered && !callerGone {
		discard := c.answerBeforeBody()
		c.writeProblem(failure.Of(err))
		discard()
	}
	c.log(err, callerGone, elapsed)
	if err != nil && (c.answered || callerGone) {
		c.gateway.metrics.broken.Inc(1)
		// Aborting the connection keeps a truncated answer from looking complete.
		panic(http.ErrAbortHandler)
	}
}

// writeProblem sends an error response for a request that no upstream answered.
func (c *call) writeProblem(e *failure.Error) {
	status := e.Kind.HTTPStatus()
	if c.mayHaveRun && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		status = http.StatusBadGateway
	}
	c.status = status
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		c.gateway.metrics.refused.Inc(1)
	} else {
		c.gateway.metrics.failed.Inc(1)
	}
	header := c.writer.Header()
	header.Set("Content-Type", "application/problem+json")
	if e.RetryAfter > 0 && !c.mayHaveRun {
		header.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(problem{Type: string(e.Kind), Detail: e.Message, Execution: string(e.Execution)})
	if err != nil {
		c.gateway.options.Log.Error("encoding of an error body failed", zap.Error(err))
	}
	c.writer.WriteHeader(status)
	if _, err := c.writer.Write(body); err != nil {
		c.gateway.options.Log.Debug("a caller did not take its refusal", zap.String("request", c.attributes.ID), zap.Error(err))
	}
}

// problem is the body of an error response.
type problem struct {
	Type      string `json:"type"`
	Detail    string `json:"detail"`
	Execution string `json:"execution"`
}

func (c *call) log(err error, callerGone bool, elapsed time.Duration) {
	fields := []zap.Field{
		zap.String("request", c.attributes.ID), zap.Int("status", c.status), zap.String("instance", c.instance), zap.Int("sends", c.sends),
		zap.Int("events", c.relayed), zap.Duration("first_byte", c.firstByte), zap.Duration("elapsed", elapsed),
		zap.Int("cached_tokens", c.cached), zap.Int("fetched_tokens", c.fetched),
		zap.Int("reread_tokens", c.recomputed), zap.Duration("expected", c.expectedFirstEvent),
	}
	if c.speedPercent > 0 {
		fields = append(fields, zap.Int("speed_percent", c.speedPercent))
	}
	if c.set != nil {
		fields = append(fields, zap.Uint64("set_version", c.set.Version))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name))
	}
	if c.account != nil {
		fields = append(fields, zap.String("account", c.account.Name))
	}
	switch {
	case callerGone:
		c.gateway.options.Log.Info("caller left", append(fields, zap.Error(err))...)
	case err != nil && c.slow.Load() != nil:
		c.gateway.metrics.slowCallers.Inc(1)
		c.gateway.options.Log.Warn("slow caller cut off", append(fields, zap.String("out_of", *c.slow.Load()), zap.Error(err))...)
	case err != nil && c.answered:
		c.gateway.options.Log.Warn("answer broken off", append(fields, zap.Error(err))...)
	case err != nil:
		c.gateway.options.Log.Warn("request refused", append(fields, zap.Error(err))...)
	default:
		c.gateway.options.Log.Info("request answered", fields...)
	}
}

// isCanceled reports whether the caller has disconnected.
func (c *call) isCanceled() bool { return errors.Is(c.request.Context().Err(), context.Canceled) }
