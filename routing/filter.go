package routing

import (
	"slices"

	"github.com/wasabishunt/wasabishunt/controlclient"
)

type filteredOut struct{ name, reason string }

// unusable returns the reason why an upstream must not get the request, or "" if it may.
func unusable(entry *indexEntry, load Estimate, request Request) string {
	switch {
	case entry.State != controlclient.Live:
		return "not live"
	case load.Draining:
		return "draining"
	case load.Down:
		return "failed, waiting for the next probe"
	case slices.Contains(request.Exclude, entry.Name):
		return "excluded"
	}
	return ""
}
