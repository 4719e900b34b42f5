package bench

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against one account whose prompts are never reused and evict the pieces of small accounts: with cache shares,
// small callers recompute less while that account fills the caches.
func TestSharesKeepThePiecesOfSmallCallers(t *testing.T) {
	for _, d := range []*Deployment{DeploymentA(), DeploymentB()} {
		t.Run(d.Name, func(t *testing.T) {
			with, without := resultOf(t, d, "fills the caches", "wasabishunt"), resultOf(t, d, "fills the caches", "without cache shares")
			t.Logf("recomputed by small callers: %.2f with shares, %.2f without", percent(with.SmallRecomputed()), percent(without.SmallRecomputed()))
			require.Less(t, with.SmallRecomputed(), without.SmallRecomputed())
		})
	}
}
