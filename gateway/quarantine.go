package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/quarantine"
)

// maxQuarantineAdvice limits the retry advice: an answer at another node may end the block earlier.
const maxQuarantineAdvice = time.Minute

// checkQuarantine refuses a prompt with a part that crashes instances, or with one that may and for which no trial is left. It is called right before a send.
func (c *call) checkQuarantine(ctx context.Context) error {
	list := c.gateway.options.Quarantine
	if list == nil || c.attributes.Generation == nil {
		return nil
	}
	verdict, allowed := list.Check(c.parts, time.Now(), c.tried...)
	if allowed {
		return nil
	}
	if len(verdict.Doubtful) > 0 {
		if verdict, allowed = c.takeTrials(ctx, verdict); allowed {
			return nil
		}
	}
	c.gateway.metrics.quarantined.Inc(1)
	execution := failure.NotRun
	if c.mayHaveRun {
		execution = failure.Unknown
	}
	e := failure.New(failure.Quarantined, execution, "%d instances crashed on prompts with part %x", verdict.Crashes, verdict.Part)
	e.RetryAfter = min(verdict.RetryAfter, maxQuarantineAdvice)
	return e
}

// takeTrials takes the trials that the prompt needs and checks it again: a crash or an answer may have become known meanwhile.
func (c *call) takeTrials(ctx context.Context, verdict quarantine.Verdict) (quarantine.Verdict, bool) {
	o := c.gateway.options
	if verdict.RetryAfter = o.Trials.Acquire(ctx, verdict.Trials); verdict.RetryAfter > 0 {
		return verdict, false
	}
	c.gateway.metrics.trials.Inc(1)
	o.Log.Info("prompt with suspected parts is tried", zap.String("request", c.attributes.ID), zap.Strings("parts", formatParts(firstOf(verdict.Doubtful))))
	c.tried = append(c.tried, verdict.Doubtful...)
	return o.Quarantine.Check(c.parts, time.Now(), c.tried...)
}
