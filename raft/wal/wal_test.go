package wal

import (
	"errors"
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

const firstSegment = "wal/00000000000000000001.wal"

func open(t require.TestingT, disk *simdisk.Disk, segmentBytes int64) (*Log, Contents) {
	l, contents, err := Open(Options{FS: disk, Dir: "wal", Group: "g", MemberID: 1, SegmentBytes: segmentBytes})
	require.NoError(t, err)
	return l, contents
}

func entries(term, from uint64, count int) []*raftpb.Entry {
	all := make([]*raftpb.Entry, count)
	for i := range all {
		all[i] = &raftpb.Entry{Term: term, Index: from + uint64(i), Data: []byte("some data of a command")}
	}
	return all
}

func size(t *testing.T, disk *simdisk.Disk) int64 {
	data, err := disk.ReadFile(firstSegment)
	require.NoError(t, err)
	return int64(len(data))
}

// TestTornTailIsCut guards against a log that cannot be opened after a crash in the middle of a write, and against one
// that accepts an incomplete record.
func TestTornTailIsCut(t *testing.T) {
	disk := simdisk.New()
	l, _ := open(t, disk, 0)
	require.NoError(t, l.Save(&raftpb.HardState{Term: 1}, entries(1, 1, 2)))
	intact := size(t, disk)
	require.NoError(t, l.Save(&raftpb.HardState{Term: 2}, entries(2, 3, 2)))
	for cut := size(t, disk) - 1; cut > intact; cut-- {
		require.NoError(t, disk.Truncate(firstSegment, cut))
		reopened, contents := open(t, disk, 0)
		require.Len(t, contents.Entries, 2)
		require.EqualValues(t, 1, contents.HardState.GetTerm())
		require.Equal(t, cut-intact, contents.TruncatedBytes)
		require.NoError(t, reopened.Save(&raftpb.HardState{Term: 2}, entries(2, 3, 2)))
		_, contents = open(t, disk, 0)
		require.Len(t, contents.Entries, 4)
		require.Zero(t, contents.TruncatedBytes)
	}
}

// TestCorruptionBeforeTheTailIsRefused guards against the truncation of acknowledged entries as if they were a torn tail.
func TestCorruptionBeforeTheTailIsRefused(t *testing.T) {
	for offset := range 250 {
		disk := simdisk.New()
		l, _ := open(t, disk, 0)
		require.NoError(t, l.Save(&raftpb.HardState{Term: 1}, entries(1, 1, 2)))
		before := size(t, disk)
		require.NoError(t, l.Save(&raftpb.HardState{Term: 2}, entries(2, 3, 2)))
		if int64(offset) >= before {
			return
		}
		disk.Corrupt(firstSegment, offset)
		_, _, err := Open(Options{FS: disk, Dir: "wal", Group: "g", MemberID: 1})
		var corrupt *CorruptError
		require.ErrorAs(t, err, &corrupt, "byte %d", offset)
		require.True(t, failure.Is(err, failure.StorageFailed))
	}
}

// TestCorruptOldSegmentIsRefused guards against corruption at the end of an older segment that is treated as a torn tail.
func TestCorruptOldSegmentIsRefused(t *testing.T) {
	disk := simdisk.New()
	l, _ := open(t, disk, 100)
	require.NoError(t, l.Save(nil, entries(1, 1, 4)))
	require.NoError(t, l.Save(nil, entries(1, 5, 1)))
	require.Greater(t, l.Segments(), 1)
	disk.Corrupt(firstSegment, int(size(t, disk))-1)
	_, _, err := Open(Options{FS: disk, Dir: "wal", Group: "g", MemberID: 1})
	var corrupt *CorruptError
	require.ErrorAs(t, err, &corrupt)
}

// TestFailedSyncMakesTheLogUnusable guards against a retried sync that succeeds although the data is lost.
func TestFailedSyncMakesTheLogUnusable(t *testing.T) {
	disk := simdisk.New()
	l, _ := open(t, disk, 0)
	disk.FailSync(syscall.EIO)
	err := l.Save(nil, entries(1, 1, 1))
	var failed *FailedError
	require.ErrorAs(t, err, &failed)
	require.ErrorIs(t, err, syscall.EIO)
	disk.FailSync(nil)
	syncs := disk.Syncs()
	require.ErrorAs(t, l.Save(nil, entries(1, 1, 1)), &failed)
	require.ErrorAs(t, l.Mark(&raftpb.SnapshotMeta{Index: 1}, false), &failed)
	require.ErrorAs(t, l.DropBefore(1), &failed)
	require.Equal(t, syncs, disk.Syncs())
}

// TestBatchSharesOneSync guards against one sync per entry, which limits the command rate to the sync rate of the disk.
func TestBatchSharesOneSync(t *testing.T) {
	disk := simdisk.New()
	l, _ := open(t, disk, 0)
	before := disk.Syncs()
	require.NoError(t, l.Save(&raftpb.HardState{Term: 1}, entries(1, 1, 100)))
	require.Equal(t, before+1, disk.Syncs())
}

// TestForeignLogIsRefused guards against a member that starts with the log of another member.
func TestForeignLogIsRefused(t *testing.T) {
	disk := simdisk.New()
	open(t, disk, 0)
	_, _, err := Open(Options{FS: disk, Dir: "wal", Group: "g", MemberID: 2})
	require.True(t, failure.Is(err, failure.StorageFailed))
}

// TestCrashKeepsSavedRecords guards against lost or changed records after crashes, combined with segment rotation,
// replaced entries, snapshot marks and dropped segments.
func TestCrashKeepsSavedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		disk := simdisk.New()
		l, _ := open(t, disk, 300)
		var expected []*raftpb.Entry
		term, dropped := uint64(0), uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			term++
			hard := &raftpb.HardState{Term: term}
			last := uint64(len(expected))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				l = crash(t, disk, l, random, expected, term-1, dropped)
				term--
				continue
			case 1:
				dropped = max(dropped, last/2)
				require.NoError(t, l.Mark(&raftpb.SnapshotMeta{Index: dropped}, false))
				require.NoError(t, l.DropBefore(dropped))
				require.NoError(t, l.Save(hard, nil))
			default:
				from := max(dropped, last-min(last, uint64(rapid.IntRange(0, 2).Draw(t, "replace")))) + 1
				added := entries(term, from, rapid.IntRange(1, 5).Draw(t, "count"))
				require.NoError(t, l.Save(hard, added))
				expected = append(expected[:from-1:from-1], added...)
			}
		}
		crash(t, disk, l, random, expected, term, dropped)
	})
}

// crash simulates a crash during a save and checks that all acknowledged saves can be read back.
func crash(t *rapid.T, disk *simdisk.Disk, l *Log, random *rand.Rand, expected []*raftpb.Entry, term, dropped uint64) *Log {
	disk.FailSync(errors.New("crash"))
	require.Error(t, l.Save(nil, entries(term, uint64(len(expected))+1, 1)))
	disk.Crash(random)
	l, contents := open(t, disk, 300)
	require.Equal(t, term, contents.HardState.GetTerm())
	require.Equal(t, dropped, contents.Mark.GetIndex())
	for _, e := range expected[dropped:] {
		require.NotEmpty(t, contents.Entries)
		first := contents.Entries[0].GetIndex()
		require.LessOrEqual(t, first, dropped+1)
		require.True(t, proto.Equal(e, contents.Entries[e.GetIndex()-first]), "entry %d is lost", e.GetIndex())
	}
	return l
}

// FuzzDecodeRecord guards against invalid records that are accepted or crash the reader.
func FuzzDecodeRecord(f *testing.F) {
	payload, err := appendItem(nil, itemEntry, entries(1, 1, 1)[0])
	require.NoError(f, err)
	f.Add(encodeRecord(1, 0, payload), int64(0))
	f.Add(encodeRecord(1, 5, payload), int64(5))
	f.Add([]byte("WRAL\xff\xff\xff\xff1234"), int64(0))
	f.Add([]byte{}, int64(0))
	f.Fuzz(func(t *testing.T, data []byte, offset int64) {
		if offset < 0 || offset > int64(len(data)) {
			return
		}
		_ = eachItem(data, func(itemKind, []byte) error { return nil })
		findRecord(1, data, offset)
		payload, ok := decodeRecord(1, data, offset)
		if ok {
			encoded := encodeRecord(1, offset, payload)
			require.Equal(t, data[offset:offset+int64(len(encoded))], encoded)
		}
	})
}

// steppedDisk calls after each operation that changes the disk, also after one that failed.
type steppedDisk struct {
	*simdisk.Disk
	after func()
}

func (d steppedDisk) Create(name string) (diskfs.File, error) {
	defer d.after()
	file, err := d.Disk.Create(name)
	if err != nil {
		return nil, err
	}
	return &steppedFile{file, d.after}, nil
}

func (d steppedDisk) Append(name string) (diskfs.File, error) {
	file, err := d.Disk.Append(name)
	if err != nil {
		return nil, err
	}
	return &steppedFile{file, d.after}, nil
}

func (d steppedDisk) Remove(name string) error {
	defer d.after()
	return d.Disk.Remove(name)
}

func (d steppedDisk) Truncate(name string, size int64) error {
	defer d.after()
	return d.Disk.Truncate(name, size)
}

func (d steppedDisk) SyncDir(dir string) error {
	defer d.after()
	return d.Disk.SyncDir(dir)
}

type steppedFile struct {
	diskfs.File
	after func()
}

func (f *steppedFile) Write(data []byte) (int, error) {
	defer f.after()
	return f.File.Write(data)
}

func (f *steppedFile) Sync() error {
	defer f.after()
	return f.File.Sync()
}
