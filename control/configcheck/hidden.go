package configcheck

import (
	"strings"

	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// hiddenRoutes finds routes that no request matches. The longest prefix wins, so only a route with the same host and prefix hides
// another. A request is matched by its host without port and its path without query.
func (f *findings) hiddenRoutes(set *trafficset.Set) {
	type key struct{ host, prefix string }
	first := map[key]string{}
	for _, r := range set.Routes {
		path := "routes." + r.Name
		k := key{strings.ToLower(r.Host), r.Prefix}
		if other, ok := first[k]; ok {
			f.add(path, HiddenRoute, "is hidden by route %q with the same host and prefix", other)
		} else {
			first[k] = r.Name
		}
		if strings.Contains(r.Host, ":") {
			f.add(path, HiddenRoute, "host %q never matches, because requests are matched by their host without port", r.Host)
		}
		if strings.ContainsAny(r.Prefix, "?#") {
			f.add(path, HiddenRoute, "prefix %q never matches, because requests are matched by their path without query", r.Prefix)
		}
	}
}

// hiddenPatterns finds patterns of calls that another pattern of the service covers.
func (f *findings) hiddenPatterns(set *objectset.Set) {
	for _, s := range set.Services {
		for i, pattern := range s.NonIdempotent {
			for j, other := range s.NonIdempotent {
				if i != j && covers(other, pattern) && (j < i || !covers(pattern, other)) {
					f.add("services."+s.Name+".non_idempotent", HiddenRoute, "%q is covered by %q", pattern, other)
					break
				}
			}
		}
	}
}

func covers(pattern, other string) bool {
	method, prefix, _ := strings.Cut(pattern, " ")
	otherMethod, otherPrefix, _ := strings.Cut(other, " ")
	return method == otherMethod && strings.HasPrefix(normalPrefix(otherPrefix), normalPrefix(prefix))
}

// normalPrefix returns a prefix in the form in which objectset.Service.AtMostOnce compares it.
func normalPrefix(prefix string) string {
	return strings.ToLower(strings.TrimSuffix(strings.TrimSpace(prefix), "/"))
}
