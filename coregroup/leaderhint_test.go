package coregroup

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against calls that are sent for long to a leader that no core member names any more: it has ended or waits for room, and another
// one leads.
func TestLeaderThatNobodyNamesIsForgotten(t *testing.T) {
	t.Parallel()
	g := New(Options{Address: "127.0.0.1:1", Seeds: func() []string { return nil }, Log: zap.NewNop(), Metrics: gometrics.NewRegistry()})
	g.SetLeaderHint("127.0.0.1:2")
	require.Equal(t, "127.0.0.1:2", g.Leader())
	require.Eventually(t, func() bool { return g.Leader() == "" }, 2*time.Second, 10*time.Millisecond)
	g.SetLeaderHint("127.0.0.1:1")
	require.Empty(t, g.Leader(), "a node without a member sends callers to itself")
}

// Guards against nodes without a running member that keep the address of a former leader alive by telling it to each other.
func TestNodesDoNotRenewTheNameOfALeaderAmongThemselves(t *testing.T) {
	t.Parallel()
	nodes := startNodes(t, false, false)
	nodes[0].group.SetLeaderHint("127.0.0.1:2")
	_, err := nodes[1].group.join(t.Context(), nodes[0].address, identity{ID: 7})
	require.NoError(t, err)
	require.Empty(t, nodes[1].group.Leader(), "only a core member in contact with the leader can name it")
	require.Contains(t, nodes[1].group.joinTargets(), "127.0.0.1:2")
}
