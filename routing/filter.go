package routing

import (
	"slices"

	"github.com/wasabishunt/wasabishunt/controlclient"
)

type filteredOut struct{ name, why string }

// unusable returns why an upstream may not get the request, or nothing.
func unusable(p *place, load Estimate, request Request) string {
	switch {
	case p.State != controlclient.Live:
		return "not live"
	case load.Draining:
		return "draining"
	case load.Down:
		return "failed, waiting for the next probe"
	case slices.Contains(request.Exclude, p.Name):
		return "excluded"
	}
	return ""
}
