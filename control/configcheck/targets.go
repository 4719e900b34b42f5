package configcheck

import "github.com/wasabishunt/wasabishunt/trafficset"

// targetsAboveTimeouts finds latency targets that are longer than the time limit of the route.
func (f *findings) targetsAboveTimeouts(set *trafficset.Set) {
	for _, r := range set.Routes {
		if r.FirstByteTarget > r.Timeout {
			f.add("routes."+r.Name, TargetAboveTimeout, "the latency target of %v is above the timeout of %v", r.FirstByteTarget, r.Timeout)
		}
		if r.EventGapTarget > r.Timeout {
			f.add("routes."+r.Name, TargetAboveTimeout, "the target of %v between events is above the timeout of %v", r.EventGapTarget, r.Timeout)
		}
	}
}
