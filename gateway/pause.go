package gateway

import (
	"errors"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// maxPauseAdvice limits the retry advice when all instances are paused: other nodes are not bound by the pauses, and the
	// list may show further instances by then.
	maxPauseAdvice = 2 * time.Second
	// adviceShare is the share of its remaining time that a caller waits at most.
	adviceShare = 1.0 / 3
	// adviceStep is the resolution of the retry advice. The advice is rounded up, so that no caller returns too early.
	adviceStep = 10 * time.Millisecond
)

// recordPause records that an instance takes no requests from this node for a while.
func (c *call) recordPause(instance *upstreams.Instance, pause time.Duration, now time.Time) {
	o := c.gateway.options
	if pause <= 0 || !o.Tracker.Pause(instance, pause, now) {
		return
	}
	gometrics.GetOrRegisterCounter("gateway.paused", o.Metrics).Inc(1)
	o.Log.Info("instance takes no requests for a while", zap.String("request", c.attributes.ID), zap.String("instance", instance.ID),
		zap.Duration("pause", pause))
}

// boundedAdvice returns the retry advice for a pause, given how long the caller waits.
func boundedAdvice(pauseLeft, timeLeft time.Duration) time.Duration {
	honoured := time.Duration(adviceShare * float64(timeLeft))
	return max(adviceStep, min(pauseLeft, maxPauseAdvice, honoured)+adviceStep-1).Truncate(adviceStep)
}

// noInstance returns the error of a request that no instance can take, or that enough of them have rejected. pauseLeft is the
// time until a paused instance takes requests again, 0 if none is paused. The request does not wait for that: the caller can
// try another node meanwhile, and requests that wait here would all reach the instance at once.
func (c *call) noInstance(last error, pauseLeft time.Duration) error {
	advice := upstreamRetryAfter
	if pauseLeft > 0 {
		advice = boundedAdvice(pauseLeft, time.Until(c.deadline))
	}
	var e *failure.Error
	if last != nil && (!errors.As(last, &e) || e.RetryAfter == 0) {
		return last
	}
	if pauseLeft == 0 {
		if evacuated := c.evacuatedError(last); evacuated != nil {
			return evacuated
		}
	}
	switch {
	case last == nil && pauseLeft > 0:
		e = failure.New(failure.NoUpstream, failure.NotRun, "all instances of service %s refuse requests for %v", c.service.Name, pauseLeft.Round(time.Millisecond))
	case last == nil:
		e = failure.New(failure.NoUpstream, failure.NotRun, "no instance of service %s can take the request", c.service.Name)
	}
	e.RetryAfter = advice
	return e
}
