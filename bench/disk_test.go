package bench

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a promotion policy that leaves most reads of a store to its disk: with a memory tier of a tenth of the
// store, promotion by value serves more reads from memory than plain LRU.
func TestPromotionByValueServesMoreFromMemory(t *testing.T) {
	for _, d := range []*Deployment{DeploymentA(), DeploymentB()} {
		t.Run(d.Name, func(t *testing.T) {
			byValue := Run(d, caseNamed(t, "calm"), Policy{Disk: true}, testSeed)
			byUse := Run(d, caseNamed(t, "calm"), Policy{Disk: true, MemoryLRU: true}, testSeed)
			t.Logf("reads from memory: %.1f by value, %.1f by LRU", percent(byValue.MemoryHits()), percent(byUse.MemoryHits()))
			require.NotZero(t, byUse.diskReads)
			require.Greater(t, byValue.MemoryHits(), byUse.MemoryHits())
		})
	}
}
