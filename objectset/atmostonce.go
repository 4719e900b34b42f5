package objectset

import (
	"net/url"
	"path"
	"strings"
)

// AtMostOnce reports whether a call matches one of the service's non_idempotent patterns and must run at most once. The
// target is the path with its query. The path is unescaped, cleaned and compared case-insensitively, so that another
// spelling of it still matches. A path that cannot be unescaped counts as a match.
func (s Service) AtMostOnce(method, target string) bool {
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
