package snap

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

func newStore(t *testing.T, disk *simdisk.Disk) *Store {
	s, err := Open(disk, "snap")
	require.NoError(t, err)
	return s
}

func snapshotAt(index uint64) Snapshot {
	return Snapshot{Meta: &raftpb.SnapshotMeta{Index: index, Term: 1}, Data: []byte("state of the machine")}
}

func newest(t *testing.T, s *Store) uint64 {
	n, err := s.Newest()
	require.NoError(t, err)
	if n == nil {
		return 0
	}
	require.Equal(t, snapshotAt(0).Data, n.Data)
	return n.Meta.GetIndex()
}

// TestNewestValidWins guards against the use of a corrupt snapshot, and against more than two snapshots on disk.
func TestNewestValidWins(t *testing.T) {
	disk := simdisk.New()
	s := newStore(t, disk)
	for index := uint64(1); index <= 4; index++ {
		require.NoError(t, s.Save(snapshotAt(index)))
	}
	names, err := disk.List("snap")
	require.NoError(t, err)
	require.Len(t, names, 2)
	oldest, err := s.Oldest()
	require.NoError(t, err)
	require.EqualValues(t, 3, oldest)
	require.EqualValues(t, 4, newest(t, s))
	disk.Corrupt(s.path(4), 30)
	require.EqualValues(t, 3, newest(t, s))
}

// TestOlderIsRefused guards against a late snapshot that replaces a newer one.
func TestOlderIsRefused(t *testing.T) {
	s := newStore(t, simdisk.New())
	require.NoError(t, s.Save(snapshotAt(5)))
	require.True(t, failure.Is(s.Save(snapshotAt(5)), failure.VersionConflict))
	require.True(t, failure.Is(s.Save(snapshotAt(4)), failure.VersionConflict))
	require.EqualValues(t, 5, newest(t, s))
}

// TestSavedSurvivesCrash guards against a rename without directory sync, and against a failed save that damages the
// previous snapshot.
func TestSavedSurvivesCrash(t *testing.T) {
	disk := simdisk.New()
	require.NoError(t, newStore(t, disk).Save(snapshotAt(1)))
	disk.Crash(rand.New(rand.NewPCG(1, 1)))
	s := newStore(t, disk)
	require.EqualValues(t, 1, newest(t, s))
	disk.FailSync(syscall.EIO)
	require.True(t, failure.Is(s.Save(snapshotAt(2)), failure.StorageFailed))
	disk.Crash(rand.New(rand.NewPCG(2, 2)))
	require.EqualValues(t, 1, newest(t, newStore(t, disk)))
}

// TestFullDiskKeepsTheOldSnapshot guards against the use of a partly written snapshot.
func TestFullDiskKeepsTheOldSnapshot(t *testing.T) {
	disk := simdisk.New()
	s := newStore(t, disk)
	require.NoError(t, s.Save(snapshotAt(1)))
	disk.SetSpace(10)
	require.ErrorIs(t, s.Save(snapshotAt(2)), syscall.ENOSPC)
	disk.SetSpace(-1)
	s = newStore(t, disk)
	require.EqualValues(t, 1, newest(t, s))
	names, err := disk.List("snap")
	require.NoError(t, err)
	require.Len(t, names, 1, "the unfinished file is not removed")
}
