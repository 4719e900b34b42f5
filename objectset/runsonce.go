package objectset

import (
	"net/url"
	"path"
	"strings"
)

// RunsOnce reports whether a call matches one of the service's non_idempotent patterns. The target is the path
// with its query. It is unescaped, cleaned and compared without case, so that another spelling of a path
// cannot turn a call that runs at most once into a plain one.
func (s Service) RunsOnce(method, target string) bool {
	raw, _, _ := strings.Cut(target, "?")
	unescaped, err := url.PathUnescape(raw)
	if err != nil {
		return true
	}
	cleaned := strings.ToLower(path.Clean("/" + unescaped))
	for _, pattern := range s.NonIdempotent {
		wantMethod, prefix, _ := strings.Cut(pattern, " ")
		prefix = strings.ToLower(strings.TrimSuffix(strings.TrimSpace(prefix), "/"))
		if strings.EqualFold(method, wantMethod) && strings.HasPrefix(cleaned, prefix) {
			return true
		}
	}
	return false
}
