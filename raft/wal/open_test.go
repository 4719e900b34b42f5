package wal

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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

// Guards against entries and terms that count, because a save succeeded or an opened log held them, and that are lost with the power after
// failed syncs and restarts of the member, also ones that fail themselves.
func TestFailedSyncsAndRestartsLoseNothingThatCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		disk := simdisk.New()
		segmentBytes := rapid.Int64Range(100, 1000).Draw(t, "segment")
		l, _ := open(t, disk, segmentBytes)
		var last, term uint64
		check := func(contents Contents) {
			require.GreaterOrEqual(t, contents.HardState.GetTerm(), term, "a term is lost")
			require.GreaterOrEqual(t, uint64(len(contents.Entries)), last, "an entry is lost")
			last, term = uint64(len(contents.Entries)), contents.HardState.GetTerm()
		}
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			count := rapid.IntRange(1, 4).Draw(t, "entries")
			switch rapid.SampledFrom([]string{"save", "failed save", "late refusal", "restart", "power loss"}).Draw(t, "step") {
			case "save":
				require.NoError(t, l.Save(&raftpb.HardState{Term: term + 1}, entries(term+1, last+1, count)))
				term, last = term+1, last+uint64(count)
				continue
			case "failed save":
				disk.FailSync(syscall.EIO)
				require.Error(t, l.Save(&raftpb.HardState{Term: term + 1}, entries(term+1, last+1, count)))
			case "late refusal":
				disk.RefuseLate(true)
				disk.SetCapacity(disk.Used())
				require.ErrorAs(t, l.Save(&raftpb.HardState{Term: term + 1}, entries(term+1, last+1, count)), new(*FullError))
				disk.SetCapacity(0)
				if rapid.Bool().Draw(t, "goes on") {
					continue
				}
			case "power loss":
				disk.Crash(random)
			}
			for range rapid.IntRange(0, 2).Draw(t, "failed starts") {
				disk.FailSync(syscall.EIO)
				_, _, err := Open(Options{FS: disk, Dir: "wal", Group: "g", MemberID: 1, SegmentBytes: segmentBytes})
				require.ErrorIs(t, err, syscall.EIO)
			}
			disk.FailSync(nil)
			var contents Contents
			l, contents = open(t, disk, segmentBytes)
			check(contents)
		}
		disk.Crash(random)
		_, contents := open(t, disk, segmentBytes)
		check(contents)
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
