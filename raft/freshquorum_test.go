package raft

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Guards against a leader that was paused, or whose disk hung, and that makes a member count as fresh before it looks at its own quorum: a read that
// waited meanwhile starts a round of heartbeats, and others may have committed entries since.
func TestReadAfterAPauseConfirmsNoFreshness(t *testing.T) {
	n := newLeader(t)
	reply := func(kind raftpb.MessageType) *raftpb.Message {
		return &raftpb.Message{Type: kind, Group: "g", From: 2, To: 1, Term: 3, LogIndex: 3, Context: n.lastStamp, MayVote: true}
	}
	require.NoError(t, n.Step(reply(raftpb.MessageType_APPEND_REPLY)))
	n.Advance(n.Ready())
	require.True(t, n.committedInCurrentTerm())
	resumed := n.now + 3*n.config.CheckQuorum
	late := reply(raftpb.MessageType_HEARTBEAT_REPLY)
	// The member received the last heartbeat before the pause late, and answered shortly before the end of the pause.
	late.FollowerStamp = uint64(resumed) - 1
	n.Resume(resumed)
	require.NoError(t, n.Step(late))
	require.NoError(t, n.Step(&raftpb.Message{Type: raftpb.MessageType_READ_INDEX, Group: "g", From: 2, To: 1, Term: 3, Context: 7}))
	n.Tick(resumed)
	require.Equal(t, Follower, n.role)
	for _, m := range n.Ready().Messages {
		require.Zero(t, m.GetFollowerStamp(), "%v", m)
	}
}
