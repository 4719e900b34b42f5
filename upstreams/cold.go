package upstreams

import "time"

// coldTolerance is the increase of the end of an instance's cold time that is no change: reads of the list take some milliseconds
// more or less, and each change of the view is sent to all nodes.
const coldTolerance = 150 * time.Millisecond

// setCold replaces ColdLeft by the end of the cold time.
func (i *Instance) setCold(now time.Time) {
	i.ColdUntil = time.Time{}
	if i.ColdLeft > 0 {
		i.ColdUntil = now.Add(i.ColdLeft + coldTolerance)
	}
	i.ColdLeft = 0
}

// isColdForLonger reports whether the instance is cold until later than an earlier list said. A cold time that only passes, or
// ends earlier, is no change.
func (i *Instance) isColdForLonger(earlier *Instance) bool {
	return !i.ColdUntil.IsZero() && i.ColdUntil.Sub(earlier.ColdUntil) > coldTolerance
}
