package configcheck

import "github.com/wasabishunt/wasabishunt/trafficset"

// timeoutsAboveIdle finds timeouts that are above the idle limit, which is not set if it is 0.
func (f *findings) timeoutsAboveIdle(set *trafficset.Set) {
	idle := set.Limits.IdleTimeout
	if idle <= 0 {
		return
	}
	if header := set.Limits.HeaderTimeout; header > idle {
		f.add("limits", TimeoutAboveIdle, "the header timeout of %v is above the idle limit of %v", header, idle)
	}
	for _, r := range set.Routes {
		if r.Timeout > idle {
			f.add("routes."+r.Name, TimeoutAboveIdle, "the timeout of %v is above the idle limit of %v", r.Timeout, idle)
		}
	}
}
