package trafficset

import "slices"

// routeIndex finds the routes of one host by prefix. The time of a lookup grows with the number of different lengths of prefixes, not
// with the number of routes.
type routeIndex struct {
	byPrefix map[string]*Route
	// lengths holds the different lengths of prefixes, longest first.
	lengths []int
}

// add adds a route. It returns the route that has the prefix already, nil if there is none.
func (x *routeIndex) add(route *Route) (other *Route) {
	if other = x.byPrefix[route.Prefix]; other == nil {
		x.byPrefix[route.Prefix] = route
	}
	return other
}

// sortLengths completes the index after the last add.
func (x *routeIndex) sortLengths() {
	known := map[int]bool{}
	for prefix := range x.byPrefix {
		if !known[len(prefix)] {
			known[len(prefix)] = true
			x.lengths = append(x.lengths, len(prefix))
		}
	}
	slices.SortFunc(x.lengths, func(a, b int) int { return b - a })
}

// find returns the route with the longest prefix of the path, nil if there is none.
func (x *routeIndex) find(path string) *Route {
	for _, length := range x.lengths {
		// Prefixes end with a slash.
		if length > len(path) || length == 0 || path[length-1] != '/' {
			continue
		}
		if route := x.byPrefix[path[:length]]; route != nil {
			return route
		}
	}
	return nil
}
