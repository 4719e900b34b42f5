package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/serving/fairshare"
)

// shareCharge is what a request was charged to its account when it was admitted.
type shareCharge struct {
	key fairshare.Key
	// read is the charged time, memory the share of an engine's memory that the request holds while it runs.
	read   time.Duration
	memory float64
	at     time.Time
}

// hasShare reports whether the upstream time of the request counts for an account.
func (c *call) hasShare() bool { return c.gateway.options.Shares != nil && c.account != nil }

func (c *call) shareKey() fairshare.Key { return fairshare.NewKey(c.service.Name, c.account.Name) }

// share returns the share of the account for a request with a forecast. The zero Share changes no limit.
func (c *call) share(f placement.Forecast) fairshare.Share {
	if !c.hasShare() {
		return fairshare.Share{}
	}
	share := c.gateway.options.Shares.Decide(c.shareKey(), f.Wait, c.route.FirstByteTarget, time.Now())
	if share.Began {
		c.gateway.metrics.shortages.Inc(1)
		c.gateway.options.Log.Info("service is short of capacity", zap.String("service", c.service.Name), zap.String("request", c.attributes.ID),
			zap.Duration("wait", f.Wait), zap.Duration("target", c.route.FirstByteTarget))
	}
	if share.Ended {
		c.gateway.options.Log.Info("service has capacity again", zap.String("service", c.service.Name))
	}
	return share
}

// recordAdmitted charges the time in which the engine reads the prompt to the account.
func (c *call) recordAdmitted(chosen *choice) {
	if !c.hasShare() {
		return
	}
	former := c.charge
	c.charge = shareCharge{key: c.shareKey(), read: chosen.forecast.Read, at: time.Now()}
	if chosen.work.CacheTokens > 0 {
		c.charge.memory = float64(chosen.work.HeldTokens) / float64(chosen.work.CacheTokens)
	}
	if former.at.IsZero() {
		c.gateway.options.Shares.Admitted(c.charge.key, c.charge.read, c.charge.at)
		return
	}
	// The instance chosen before had no permit or could not be reached: the request counts once.
	c.charge.read, c.charge.at = former.read, former.at
}

func (c *call) recordRefused() {
	switch {
	case !c.hasShare():
	case c.charge.at.IsZero():
		c.gateway.options.Shares.Refused(c.shareKey(), time.Now())
	default:
		c.withdrawCharge(time.Now())
	}
}

// withdrawCharge takes back the charge of a request that was admitted and not sent.
func (c *call) withdrawCharge(now time.Time) {
	c.gateway.options.Shares.Withdraw(c.charge.key, c.charge.read, c.charge.at, now)
	c.charge = shareCharge{}
}

// settleShare charges the rest of the request's upstream time: the time that it ran, by its share of the engine's memory, if that is
// more than the time for reading its prompt.
func (c *call) settleShare(now time.Time) {
	if c.charge.at.IsZero() {
		return
	}
	if c.sends == 0 {
		c.withdrawCharge(now)
		return
	}
	if rest := time.Duration(c.charge.memory*float64(now.Sub(c.charge.at))) - c.charge.read; rest > 0 {
		c.gateway.options.Shares.Add(c.charge.key, rest, now)
	}
}

// aboveShare returns the refusal of a request that would be admitted if its account were not above its share, otherwise nil.
func (c *call) aboveShare(share fairshare.Share, requirements placement.Requirements, f placement.Forecast) error {
	if share.Factor == 0 || share.Factor >= 1 {
		return nil
	}
	requirements.Factor = 1
	if admitted, _ := placement.Admit(requirements, f); !admitted {
		return nil
	}
	work, equal := share.Work.Round(time.Millisecond), share.Equal.Round(time.Millisecond)
	e := failure.New(failure.Overloaded, failure.NotRun, "account %s used %v of the upstreams lately, its equal share is %v; wait %v, target %v",
		c.account.Name, work, equal, f.Wait.Round(time.Millisecond), requirements.Target)
	e.RetryAfter = placement.BoundRetryAfter(share.Surplus, requirements.TimeLeft)
	c.gateway.metrics.aboveShare.Inc(1)
	c.gateway.options.Log.Info("account is above its share", zap.String("request", c.attributes.ID), zap.String("service", c.service.Name),
		zap.String("account", c.account.Name), zap.Duration("work", work), zap.Duration("equal_share", equal), zap.Float64("factor", share.Factor),
		zap.Duration("wait", f.Wait), zap.Duration("retry_after", e.RetryAfter))
	return e
}
