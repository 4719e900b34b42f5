package gateway

import (
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// recordRateLimit records what the answer to this request says of the limit of its instance. Only a signed answer without a limit shows that
// there is none any more: another process may answer at the address, and the head may be incomplete.
func (c *call) recordRateLimit(instance *upstreams.Instance, answer Answer, now time.Time) {
	limiter := c.gateway.options.Limiter
	switch {
	case limiter == nil || answer.Replaced:
	case answer.RateLimit.Named:
		limiter.Named(instance, answer.RateLimit.PerSecond, c.attributes.ID, now)
	case answer.RateLimit.Malformed:
		limiter.Malformed(instance, c.attributes.ID)
	case answer.Signed:
		limiter.NotNamed(instance, c.sentAt, c.attributes.ID, now)
	}
}
