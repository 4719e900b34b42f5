package routing

import (
	"fmt"
	"slices"
	"time"
)

// Reasons returns the explanation of the decision for `wasabishunt explain`: one line for each candidate and each unusable
// upstream.
func (d Decision) Reasons() []string {
	reasons := []string{fmt.Sprintf("routing: %s, first token in %v, %d prompt tokens cached", d.Upstream.Name, round(d.FirstToken), d.CachedTokens)}
	for _, c := range d.scored {
		reasons = append(reasons, fmt.Sprintf("routing: candidate %s (%s) %v: prefill %v, wait %v, link %v, version %v, penalty %v",
			c.entry.Name, c.kind(), round(c.cost.total()), round(c.cost.prefill), round(c.cost.wait), round(c.cost.link),
			round(c.cost.version), round(c.cost.penalty)))
	}
	for _, f := range d.filtered {
		reasons = append(reasons, fmt.Sprintf("routing: passed over %s: %s", f.name, f.reason))
	}
	return reasons
}

// recordUnusable records an unusable upstream. It does so only once, although random choices may examine it again.
func (d *Decision) recordUnusable(name, reason string) {
	if out := (filteredOut{name, reason}); !slices.Contains(d.filtered, out) {
		d.filtered = append(d.filtered, out)
	}
}

func (c candidate) kind() string {
	if c.choice < 0 {
		return "random"
	}
	return fmt.Sprintf("affinity %d", c.choice+1)
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
