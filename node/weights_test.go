package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// nameWeights names a weight version of the model m.
func nameWeights(t *testing.T, core []*runningNode, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range core {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			err := n.group.Propose(ctx, &nodepb.Command{Change: &nodepb.Command_NameWeights{NameWeights: &nodepb.WeightVersion{Model: "m", Version: version}}})
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	}, 10*time.Second, 20*time.Millisecond)
}

// Guards against nodes that allow outdated weights anew after a start, as each counted the time limit from when its process first heard of the
// version; and against a version named just before a start that is taken for an old one.
func TestStartedNodesKnowOutdatedWeights(t *testing.T) {
	f := &fleet{t: t, weightsWithin: 2 * time.Second}
	core := f.startCore()
	nameWeights(t, core, 2)
	for _, n := range core {
		require.Eventually(t, func() bool {
			state, _ := n.group.State()
			return n.RequiredVersion("m") == 2 && len(state.GetRequiredWeights()) == 1
		}, 10*time.Second, 20*time.Millisecond)
	}
	// No limit passes any more: what a node requires it has from others or from its disk.
	f.weightsWithin = time.Hour
	list := &testList{}
	list.show(*core[0].list.instances.Load()...)
	late := f.start("", freeAddress(t), list)
	t.Cleanup(late.stop)
	requireWeights(t, late, 2)
	f.restart(core)
	for _, n := range core {
		requireWeights(t, n, 2)
	}
	nameWeights(t, core, 3)
	require.Eventually(t, func() bool { return late.WantedVersion("m") == 3 }, 10*time.Second, 20*time.Millisecond)
	f.restart(core)
	for _, n := range core {
		requireWeights(t, n, 2)
		require.EqualValues(t, 3, n.WantedVersion("m"))
	}
	requireWeights(t, late, 2)
}

// requireWeights waits until a node serves requests, and checks on which weights they may begin.
func requireWeights(t *testing.T, n *runningNode, version uint64) {
	t.Helper()
	if !assert.Eventually(t, func() bool { return n.Ready() == nil }, 10*time.Second, 5*time.Millisecond) {
		require.NoError(t, n.Ready())
	}
	require.Equal(t, version, n.RequiredVersion("m"))
}
