package wal

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// TestFullDisk guards against acknowledging a save on a full disk, against a refused record of which a part stays in the log, and against a
// log that cannot be opened afterwards.
func TestFullDisk(t *testing.T) {
	disk := simdisk.New()
	l, _ := open(t, disk, 0)
	require.NoError(t, l.Save(nil, entries(1, 1, 1)))
	for _, refused := range []func() error{
		func() error { return l.Save(&raftpb.HardState{Term: 3}, entries(1, 2, 1)) },
		func() error { return l.Mark(&raftpb.SnapshotMeta{Index: 1}, false) },
	} {
		disk.SetSpace(5)
		err := refused()
		require.ErrorIs(t, err, syscall.ENOSPC)
		require.ErrorAs(t, err, new(*FullError))
		require.True(t, failure.Is(err, failure.StorageFailed))
		disk.SetSpace(-1)
	}
	crashed := disk.Clone()
	crashed.Crash(rand.New(rand.NewPCG(1, 1)))
	for _, d := range []*simdisk.Disk{disk, crashed} {
		again, contents := open(t, d, 0)
		require.Len(t, contents.Entries, 1)
		require.Nil(t, contents.Mark)
		require.Zero(t, contents.HardState.GetTerm())
		require.Zero(t, contents.TruncatedBytes)
		require.NoError(t, again.Close())
	}
	require.NoError(t, l.Save(&raftpb.HardState{Term: 4}, entries(2, 2, 2)))
	_, contents := open(t, disk, 0)
	require.Len(t, contents.Entries, 3)
	require.EqualValues(t, 4, contents.HardState.GetTerm())
}

// TestFullDiskKeepsTheSegment guards against a new segment that has no room: the log must go on with the one before it, and the header of
// the unfinished one must not set the hard state back.
func TestFullDiskKeepsTheSegment(t *testing.T) {
	for space := range 80 {
		disk := simdisk.New()
		l, _ := open(t, disk, 200)
		index := uint64(1)
		for ; l.Segments() < 3; index++ {
			require.NoError(t, l.Save(&raftpb.HardState{Term: index}, entries(1, index, 1)))
		}
		for l.size < 150 {
			require.NoError(t, l.Save(&raftpb.HardState{Term: index}, entries(1, index, 1)))
			index++
		}
		disk.SetSpace(space)
		saved := index - 1
		for range 5 {
			if err := l.Save(&raftpb.HardState{Term: index}, entries(1, index, 1)); err == nil {
				saved = index
				index++
			} else {
				require.ErrorAs(t, err, new(*FullError))
			}
		}
		crashed := disk.Clone()
		crashed.Crash(rand.New(rand.NewPCG(uint64(space), 1)))
		crashed.SetSpace(-1)
		_, contents := open(t, crashed, 200)
		require.EqualValues(t, saved, contents.HardState.GetTerm(), "space %d", space)
		require.Len(t, contents.Entries, int(saved), "space %d", space)
		disk.SetSpace(-1)
		require.NoError(t, l.Save(&raftpb.HardState{Term: index}, entries(1, index, 1)))
		_, contents = open(t, disk, 200)
		require.EqualValues(t, index, contents.HardState.GetTerm(), "space %d", space)
		require.Len(t, contents.Entries, int(index), "space %d", space)
	}
}

// TestUnfinishedSegmentNeedsNoRoom guards against a log that cannot be opened on a full disk because the process ended while it started a new
// segment: a member that does not start removes nothing from its disk.
func TestUnfinishedSegmentNeedsNoRoom(t *testing.T) {
	for _, header := range []int{0, 1, 20} {
		disk := simdisk.New()
		l, _ := open(t, disk, 200)
		index := uint64(1)
		for ; l.Segments() < 3; index++ {
			require.NoError(t, l.Save(&raftpb.HardState{Term: index}, entries(1, index, 1)))
		}
		require.NoError(t, l.Close())
		newest := l.options.path(l.segments[2].sequence)
		require.NoError(t, disk.Truncate(newest, int64(header)))
		disk.SetCapacity(disk.Used())
		l, contents := open(t, disk, 200)
		require.EqualValues(t, index-1, contents.HardState.GetTerm())
		require.Len(t, contents.Entries, int(index-1))
		require.ErrorAs(t, l.Save(&raftpb.HardState{Term: index}, entries(1, index, 1)), new(*FullError))
		disk.SetCapacity(0)
		for range 5 {
			require.NoError(t, l.Save(&raftpb.HardState{Term: index}, entries(1, index, 1)))
			disk.Crash(rand.New(rand.NewPCG(index, 1)))
			l, contents = open(t, disk, 200)
			require.EqualValues(t, index, contents.HardState.GetTerm())
			require.Len(t, contents.Entries, int(index))
			index++
		}
		require.Greater(t, l.Segments(), 2)
	}
}

// TestFullDiskTakesBackTheFirstRecords guards against a save of several records that leaves the first ones behind when a full disk refuses a
// later one: each repetition would take more of the disk.
func TestFullDiskTakesBackTheFirstRecords(t *testing.T) {
	disk := simdisk.New()
	l, _ := open(t, disk, 0)
	require.NoError(t, l.Save(&raftpb.HardState{Term: 1}, entries(1, 1, 1)))
	l.recordBytes = 100
	before := disk.Used()
	disk.SetCapacity(before + 300)
	for range 3 {
		require.ErrorAs(t, l.Save(&raftpb.HardState{Term: 2}, entries(2, 2, 20)), new(*FullError))
		require.Equal(t, before, disk.Used())
		require.EqualValues(t, before, l.Bytes())
		_, contents := open(t, disk.Clone(), 0)
		require.Len(t, contents.Entries, 1)
	}
	disk.SetCapacity(0)
	require.NoError(t, l.Save(&raftpb.HardState{Term: 2}, entries(2, 2, 20)))
	_, contents := open(t, disk, 0)
	require.Len(t, contents.Entries, 21)
	require.EqualValues(t, 2, contents.HardState.GetTerm())
}

// TestFullDiskAndCrashAtEachStep guards against a log that loses acknowledged records, goes back in its term or cannot be opened, also on the
// full disk, because the process or the machine ended between two steps of a save, a mark or a new segment without room.
func TestFullDiskAndCrashAtEachStep(t *testing.T) {
	steps := 0
	for space := range 200 {
		disk := simdisk.New()
		acknowledged := uint64(0)
		check := func() {
			steps++
			killed, crashed := disk.Clone(), disk.Clone()
			crashed.Crash(rand.New(rand.NewPCG(uint64(steps), 1)))
			for _, d := range []*simdisk.Disk{killed, crashed} {
				if acknowledged == 0 {
					// The first segment needs room.
					continue
				}
				again, contents := open(t, d, 200)
				require.GreaterOrEqual(t, contents.HardState.GetTerm(), acknowledged, "space %d, step %d", space, steps)
				require.GreaterOrEqual(t, contents.Mark.GetIndex()+uint64(len(contents.Entries)), acknowledged, "space %d, step %d", space, steps)
				d.SetSpace(-1)
				d.SetCapacity(0)
				next := contents.HardState.GetTerm() + 1
				last := contents.Mark.GetIndex()
				if k := len(contents.Entries); k > 0 {
					last = contents.Entries[k-1].GetIndex()
				}
				require.NoError(t, again.Save(&raftpb.HardState{Term: next}, entries(next, last+1, 1)))
				_, contents = open(t, d, 200)
				require.Equal(t, next, contents.HardState.GetTerm())
			}
		}
		l, _, err := Open(Options{FS: steppedDisk{disk, check}, Dir: "wal", Group: "g", MemberID: 1, SegmentBytes: 200})
		require.NoError(t, err)
		for term := uint64(1); term <= 20; term++ {
			if term == 6 {
				disk.SetCapacity(disk.Used() + space)
			}
			if err := l.Save(&raftpb.HardState{Term: acknowledged + 1}, entries(acknowledged+1, acknowledged+1, 1)); err != nil {
				require.ErrorAs(t, err, new(*FullError))
				marked := max(acknowledged, 2) - 2
				if err := l.Mark(&raftpb.SnapshotMeta{Index: marked}, false); err != nil {
					require.ErrorAs(t, err, new(*FullError))
				}
				if term%2 == 0 {
					disk.SetCapacity(0)
				}
				continue
			}
			acknowledged++
		}
	}
	require.Greater(t, steps, 1000)
}
