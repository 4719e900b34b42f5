package routing

import (
	"slices"
	"time"
)

// minPrefillRate bounds estimates for upstreams without a known rate, in tokens per second.
const minPrefillRate = 1.0

// cost is the estimated time to first token, split by cause.
type cost struct {
	prefill, wait, link, version, penalty time.Duration
}

func (c cost) total() time.Duration { return c.prefill + c.wait + c.link + c.version + c.penalty }

func (r *Router) score(c *candidate, request Request, snapshot Snapshot) {
	rate := max(minPrefillRate, c.load.PrefillRate)
	c.cached = r.expectedCached(c, request, snapshot)
	c.cost = cost{
		prefill: tokensTime(request.PromptTokens-c.cached, rate),
		wait:    r.waitCost(c, rate),
		link:    r.linkCost(c, request),
		version: r.versionCost(c, request),
		penalty: c.load.Penalty,
	}
}

// expectedCached returns the number of prompt tokens that the upstream is expected to have cached.
func (r *Router) expectedCached(c *candidate, request Request, snapshot Snapshot) int64 {
	if r.settings.Off.Prefix {
		return 0
	}
	known, anywhere := snapshot.Prefixes.expectedTokens(c.entry.Name, c.load.Epoch, request.Pieces, snapshot.Now)
	if !anywhere && c.choice == 0 {
		return int64(r.settings.ColdShare * float64(request.PromptTokens))
	}
	return min(known, request.PromptTokens)
}

// waitCost returns the time until the upstream's queue, including this entry's unreported work, has been prefilled.
func (r *Router) waitCost(c *candidate, rate float64) time.Duration {
	if r.settings.Off.Wait {
		return 0
	}
	return tokensTime(c.load.QueuedTokens, rate) + c.load.SlotWait
}

func (r *Router) linkCost(c *candidate, request Request) time.Duration {
	if request.Zone == "" || c.entry.Zone == request.Zone {
		return 0
	}
	return r.settings.ZoneDelay
}

// versionCost returns the cost of loading the weight version if the upstream lacks it.
func (r *Router) versionCost(c *candidate, request Request) time.Duration {
	if request.WeightVersion == "" || len(c.load.Versions) == 0 || slices.Contains(c.load.Versions, request.WeightVersion) {
		return 0
	}
	return r.settings.VersionDelay
}

func tokensTime(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(max(0, tokens)) / rate * float64(time.Second))
}
