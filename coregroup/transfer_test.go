package coregroup

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// Guards against a leader that sends its callers to itself: during a transfer of leadership it refuses changes and still leads, for long if
// the next leader waits for room on its disk.
func TestLeaderInTransferDoesNotNameItself(t *testing.T) {
	t.Parallel()
	var disks []*atomic.Bool
	nodes := startNodesOn(t, func(int) diskfs.FS {
		disks = append(disks, &atomic.Bool{})
		return fullFS{full: disks[len(disks)-1]}
	}, true, true, true)
	require.Eventually(t, publish(nodes, 1), convergenceTimeout, 20*time.Millisecond)
	for i, n := range nodes {
		disks[i].Store(!n.group.Leads())
	}
	for _, n := range nodes {
		if !n.group.Leads() {
			continue
		}
		n.group.TransferLeadership()
		refused := 0
		for end := time.Now().Add(electionTimeout / 2); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			err := proposeWithin(n, 100*time.Millisecond, &nodepb.Command{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: 2, Document: []byte{2}}}})
			if failure.Is(err, failure.NotLeader) {
				refused++
				require.NotEqual(t, n.address, n.group.OtherLeader())
			}
		}
		require.NotZero(t, refused, "the transfer refuses no change")
		return
	}
	require.Fail(t, "no leader")
}

// proposeWithin limits the wait for the outcome: a change that is accepted before the transfer starts is not committed while the other
// members have no room.
func proposeWithin(n *testNode, limit time.Duration, command *nodepb.Command) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return n.group.Propose(ctx, command)
}
