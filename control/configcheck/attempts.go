package configcheck

import "github.com/wasabishunt/wasabishunt/trafficset"

// unusableAttempts finds routes with several attempts whose requests may not be repeated.
func (f *findings) unusableAttempts(set *trafficset.Set) {
	for _, r := range set.Routes {
		if r.Attempts > 1 && !r.Repeatable() {
			f.add("routes."+r.Name, UnusableAttempts, "allows %d attempts, but its requests may not be repeated", r.Attempts)
		}
	}
}
