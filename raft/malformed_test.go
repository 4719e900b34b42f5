package raft

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// TestMalformedMessagesAreRefusedOrHarmless guards against a malformed message that crashes its receiver or leaves a gap
// in its log.
func TestMalformedMessagesAreRefusedOrHarmless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		small := rapid.Uint64Range(0, 6)
		member := func(id uint64) *raftpb.Member { return &raftpb.Member{Id: id, Address: "127.0.0.1:1"} }
		members := &raftpb.Members{Members: []*raftpb.Member{member(1), member(2), member(3)}}
		n, err := New(Config{ID: 1, Group: "g"}, State{HardState: &raftpb.HardState{}, Snapshot: &raftpb.SnapshotMeta{Index: 1, Term: 1, Members: members}})
		require.NoError(t, err)
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			m := &raftpb.Message{
				Group: "g", To: 1, From: rapid.SampledFrom([]uint64{2, 3, 9}).Draw(t, "from"),
				Type: raftpb.MessageType(rapid.IntRange(0, 20).Draw(t, "type")), Term: small.Draw(t, "term"),
				LogIndex: small.Draw(t, "index"), LogTerm: small.Draw(t, "log term"), Commit: rapid.Uint64().Draw(t, "commit"),
				RejectHint: rapid.Uint64().Draw(t, "hint"), Reject: rapid.Bool().Draw(t, "reject"), Context: rapid.Uint64().Draw(t, "context"),
			}
			for range rapid.IntRange(0, 3).Draw(t, "entries") {
				m.Entries = append(m.Entries, &raftpb.Entry{Index: small.Draw(t, "entry"), Term: small.Draw(t, "entry term"), Data: []byte("x")})
			}
			if rapid.Bool().Draw(t, "snapshot") {
				m.Snapshot = &raftpb.SnapshotMeta{Index: small.Draw(t, "snapshot index"), Term: small.Draw(t, "snapshot term"), Members: members}
			}
			_ = n.Step(m)
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			n.Tick(now)
			ready := n.Ready()
			for i, e := range ready.Entries {
				if i > 0 {
					require.Equal(t, ready.Entries[i-1].GetIndex()+1, e.GetIndex(), "the log has no gap")
				}
			}
			n.Advance(ready)
		}
	})
}
