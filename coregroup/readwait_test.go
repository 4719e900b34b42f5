package coregroup

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
)

// Guards against a member without a leader that refuses a read just before the operator gives up waiting, after 1 s: on a slow machine or
// link the operator sees silence, for as long as the other members wait for room on their disks.
func TestReadWithoutLeaderIsRefusedInTime(t *testing.T) {
	t.Parallel()
	nodes := startNodes(t, true, true, true)
	require.Eventually(t, publish(nodes, 1), convergenceTimeout, 20*time.Millisecond)
	nodes[1].stop()
	nodes[2].stop()
	require.Eventually(t, func() bool { return nodes[0].group.Leader() == "" }, 5*time.Second, 10*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := nodes[0].group.Read(ctx)
	require.True(t, failure.Is(err, failure.NoQuorum), "%v", err)
	require.NoError(t, ctx.Err(), "the read waits for as long as the caller")
}
