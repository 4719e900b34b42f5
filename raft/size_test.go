package raft

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

func sizedLog(sizes ...int) *entryLog {
	l := &entryLog{}
	for i, size := range sizes {
		l.entries = append(l.entries, &raftpb.Entry{Term: 1, Index: uint64(i + 1), Data: make([]byte, size)})
	}
	return l
}

// Guards against entries before a snapshot that stay by their number, whatever their size, and against fewer or more than the limits say.
func TestTrailingEntriesAreBoundedByNumberAndBytes(t *testing.T) {
	l := sizedLog(1000, 1000, 1000, 10, 10, 1000)
	for _, c := range []struct {
		snapshot, entries uint64
		bytes             int64
		want              uint64
	}{
		{6, 2, 1 << 20, 4},
		{6, 100, 1 << 20, 0},
		{6, 100, 1100 + 3*entryOverhead, 3},
		{6, 100, 500, 6},
		{5, 100, 100, 3},
		{6, 0, 1 << 20, 6},
		{9, 1, 1 << 20, 6},
	} {
		require.Equal(t, c.want, l.trailingFrom(c.snapshot, c.entries, c.bytes), "%+v", c)
	}
	l.compact(4)
	require.EqualValues(t, 4, l.trailingFrom(6, 100, 1<<20))
	require.EqualValues(t, 1010+2*entryOverhead, l.bytesBetween(0, 6))
}

// Guards against a new member that gets a log of many times the size of the state, although a snapshot is there: over a slow link it votes
// too late to make up for the next loss.
func TestNewMemberGetsTheSnapshotIfThatIsLess(t *testing.T) {
	for _, c := range []struct {
		name          string
		snapshotBytes uint64
		want          raftpb.MessageType
	}{
		{"small state", 100, raftpb.MessageType_SNAPSHOT},
		{"large state", 1 << 20, raftpb.MessageType_APPEND},
		{"unknown size", 0, raftpb.MessageType_APPEND},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newLeader(t)
			for range 20 {
				_, _, err := n.Propose(make([]byte, 100))
				require.NoError(t, err)
			}
			n.Advance(n.Ready())
			require.NoError(t, n.Step(&raftpb.Message{Type: raftpb.MessageType_APPEND_REPLY, Group: "g", From: 2, To: 1, Term: 3, LogIndex: n.log.last()}))
			n.Advance(n.Ready())
			meta := n.SnapshotMeta(20)
			meta.Bytes = c.snapshotBytes
			require.True(t, n.Compact(meta, 0))
			_, _, err := n.ProposeChange(Change{Kind: AddLearner, Member: &raftpb.Member{Id: 9}})
			require.NoError(t, err)
			n.Advance(n.Ready())
			require.NoError(t, n.Step(&raftpb.Message{
				Type: raftpb.MessageType_APPEND_REPLY, Group: "g", From: 9, To: 1, Term: 3, LogIndex: n.log.last(), Reject: true,
			}))
			sent := n.Ready().Messages
			require.Len(t, sent, 1)
			require.EqualValues(t, 9, sent[0].GetTo())
			require.Equal(t, c.want, sent[0].GetType())
		})
	}
}
