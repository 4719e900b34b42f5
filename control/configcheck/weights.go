package configcheck

import "github.com/wasabishunt/wasabishunt/trafficset"

// zeroWeights finds targets that get no requests.
func (f *findings) zeroWeights(set *trafficset.Set) {
	for _, r := range set.Routes {
		for _, t := range r.Targets {
			if t.Weight == 0 {
				f.add("routes."+r.Name+".targets", ZeroWeight, "service %q has weight 0 and gets no requests", t.Service)
			}
		}
	}
}
