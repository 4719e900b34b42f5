package wal

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// powerLosses is the number of simulated power losses, each of which loses another part of what is not synced.
const powerLosses = 50

// afterPowerLosses opens copies of the log after simulated power losses.
func afterPowerLosses(t *testing.T, disk *simdisk.Disk, check func(contents Contents)) {
	t.Helper()
	for seed := range uint64(powerLosses) {
		crashed := disk.Clone()
		crashed.Crash(rand.New(rand.NewPCG(seed, 0)))
		_, contents := open(t, crashed, 0)
		check(contents)
	}
}

// Guards against a record that a killed process has written and not synced, that counts after the next start, and that is lost with
// the power: a vote or an entry that others were told of.
func TestReopenedRecordsSurviveAPowerLoss(t *testing.T) {
	disk := simdisk.New()
	l, _ := open(t, disk, 0)
	require.NoError(t, l.Save(&raftpb.HardState{Term: 1}, entries(1, 1, 2)))
	disk.FailSync(syscall.EIO)
	require.Error(t, l.Save(&raftpb.HardState{Term: 2}, entries(2, 3, 2)))
	disk.FailSync(nil)

	_, contents := open(t, disk, 0)
	require.Len(t, contents.Entries, 4)
	require.EqualValues(t, 2, contents.HardState.GetTerm())
	afterPowerLosses(t, disk, func(after Contents) {
		require.Len(t, after.Entries, 4)
		require.EqualValues(t, 2, after.HardState.GetTerm())
	})
}

// killedBeforeSyncDir is a disk of a process that is killed before it makes a name durable.
type killedBeforeSyncDir struct {
	*simdisk.Disk
	killed bool
}

func (d *killedBeforeSyncDir) SyncDir(dir string) error {
	if d.killed {
		return syscall.EIO
	}
	return d.Disk.SyncDir(dir)
}

// Guards against a segment whose name a killed process has not made durable: all that is saved in it later is lost with the power.
func TestReopenedSegmentSurvivesAPowerLoss(t *testing.T) {
	disk := &killedBeforeSyncDir{Disk: simdisk.New()}
	l, _, err := Open(Options{FS: disk, Dir: "wal", Group: "g", MemberID: 1, SegmentBytes: 100})
	require.NoError(t, err)
	disk.killed = true
	require.Error(t, l.Save(&raftpb.HardState{Term: 1}, entries(1, 1, 4)), "a new segment")
	require.Equal(t, 2, l.Segments())

	reopened, contents := open(t, disk.Disk, 0)
	require.Len(t, contents.Entries, 4)
	require.NoError(t, reopened.Save(nil, entries(1, 5, 1)))
	afterPowerLosses(t, disk.Disk, func(after Contents) { require.Len(t, after.Entries, 5) })
}

// Guards against records that count although the disk did not take them.
func TestOpenFailsIfTheTailCannotBeSynced(t *testing.T) {
	disk := simdisk.New()
	l, _ := open(t, disk, 0)
	require.NoError(t, l.Save(&raftpb.HardState{Term: 1}, entries(1, 1, 2)))
	disk.FailSync(syscall.EIO)
	_, _, err := Open(Options{FS: disk, Dir: "wal", Group: "g", MemberID: 1})
	require.ErrorIs(t, err, syscall.EIO)
}
