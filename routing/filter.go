package routing

import (
	"slices"
	"strings"

	"github.com/wasabishunt/wasabishunt/controlclient"
)

type filteredOut struct{ name, reason string }

// evacuatedPrefix begins the reason of upstreams in an evacuated zone.
const evacuatedPrefix = "evacuated zone "

// evacuatedNote names the evacuated zones of the upstreams that were passed over, for the message of a refusal.
func (d *Decision) evacuatedNote() string {
	var zones []string
	for _, out := range d.filtered {
		if zone, ok := strings.CutPrefix(out.reason, evacuatedPrefix); ok && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	if len(zones) == 0 {
		return ""
	}
	slices.Sort(zones)
	return "; evacuated zones: " + strings.Join(zones, ", ")
}

// unusable returns the reason why an upstream must not get the request, or "" if it may.
func unusable(entry *indexEntry, load Estimate, request Request) string {
	switch {
	case entry.State != controlclient.Live:
		return "not live"
	case entry.Evacuated:
		return evacuatedPrefix + entry.Zone
	case load.Draining:
		return "draining"
	case load.Down:
		return "failed, waiting for the next probe"
	case slices.Contains(request.Exclude, entry.Name):
		return "excluded"
	}
	return ""
}
