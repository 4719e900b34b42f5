package wal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Guards against a log whose entries are all in its newest segment, and superfluous: nothing can be removed, although the disk has no room. An
// entry behind the snapshot keeps its segment, and the hard state stays.
func TestShortenReplacesTheNewestSegment(t *testing.T) {
	disk := simdisk.New()
	l, _ := open(t, disk, 0)
	for index := uint64(1); l.Bytes() < 2*shortenedBytes; index++ {
		require.NoError(t, l.Save(&raftpb.HardState{Term: index}, []*raftpb.Entry{{Index: index, Term: index, Data: make([]byte, shortenedBytes/16)}}))
	}
	before := l.Bytes()
	require.NoError(t, l.Shorten(l.last-1))
	require.Equal(t, before, l.Bytes())
	last := l.last
	require.NoError(t, l.Mark(&raftpb.SnapshotMeta{Index: last, Term: last}, false))
	require.NoError(t, l.Shorten(last))
	require.Less(t, l.Bytes(), int64(shortenedBytes)/16)
	require.NoError(t, l.Save(nil, []*raftpb.Entry{{Index: last + 1, Term: last}}))
	require.NoError(t, l.Close())
	_, contents := open(t, disk, 0)
	require.Equal(t, last, contents.HardState.GetTerm())
	require.Equal(t, last, contents.Mark.GetIndex())
	require.Len(t, contents.Entries, 1)
}
