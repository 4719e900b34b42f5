package replica

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// sharedDisk is a file system that reports its size, of which others take a part.
type sharedDisk struct {
	*simdisk.Disk
	left *atomic.Int64
}

func newSharedDisk(left int) sharedDisk {
	d := sharedDisk{simdisk.New(), &atomic.Int64{}}
	d.leave(left)
	return d
}

// leave sets what others leave to this member.
func (d sharedDisk) leave(bytes int) {
	d.left.Store(int64(bytes))
	d.SetCapacity(bytes)
}

func (d sharedDisk) Space(string) (diskfs.Space, error) {
	return diskfs.Space{Total: 64 << 20, Free: max(0, d.left.Load()-int64(d.Used()))}, nil
}

// startOnSharedDisk starts the only member of a group, whose limits are those of a disk of 64 MiB.
func startOnSharedDisk(t *testing.T, left int) (*Replica, sharedDisk) {
	disk := newSharedDisk(left)
	r, _ := startOnSmallDisk(t, func(o *Options) {
		o.FS, o.StateMachine = disk, &paddedRegister{}
		o.SnapshotBytes, o.TrailingBytes, o.MaxLogBytes, o.SegmentBytes = 512<<10, 512<<10, 32<<20, 64<<20
	})
	return r, disk
}

// Guards against a log that takes the room of the snapshot that would shorten it because its limits follow the size of the file system, and
// against one that is never shortened because all its entries are in one segment.
func TestLogLeavesRoomForTheNextSnapshot(t *testing.T) {
	t.Parallel()
	r, _ := startOnSharedDisk(t, smallDiskBytes)
	for value := uint64(1); value <= 300; value++ {
		require.Eventually(t, func() bool {
			err := proposeLarge(t, r, value)
			require.True(t, err == nil || failure.Of(err).Execution == failure.NotRun, "%v", err)
			return err == nil
		}, failoverLimit, time.Millisecond, "command %d", value)
	}
	require.NoError(t, r.Err())
}

// Guards against a member that waits for room, and neither votes nor reads, although it could have refused commands before others took the
// last room; and against one that refuses them although its older snapshot and superfluous segments are in the way.
func TestCommandsAreRefusedWhileOthersTakeTheRoom(t *testing.T) {
	t.Parallel()
	r, disk := startOnSharedDisk(t, 4*smallDiskBytes)
	value := uint64(1)
	for ; value <= 120; value++ {
		require.NoError(t, proposeLarge(t, r, value))
	}
	// Both snapshots of 200 kB and a log of 0.5 MB at least are there.
	disk.leave(disk.Used() + paddingBytes/2)
	require.Eventually(t, func() bool { return proposeLarge(t, r, value) == nil }, failoverLimit, time.Millisecond, "nothing superfluous is removed")
	disk.leave(disk.Used() + 2*commandBytes)
	time.Sleep(2 * roomAge)
	var err error
	require.Eventually(t, func() bool {
		err = proposeLarge(t, r, value)
		require.True(t, err == nil || failure.Of(err).Execution == failure.NotRun, "%v", err)
		require.False(t, r.WaitsForRoom())
		disk.leave(min(int(disk.left.Load()), disk.Used()+2*commandBytes))
		return err != nil
	}, failoverLimit, time.Millisecond)
	require.True(t, failure.Is(err, failure.StorageFailed))
	require.NoError(t, r.ReadBarrier(t.Context()))
	disk.leave(4 * smallDiskBytes)
	require.Eventually(t, func() bool { return proposeLarge(t, r, value) == nil }, failoverLimit, 20*time.Millisecond)
	require.NoError(t, r.Err())
}

// Guards against a follower that waits without end with the entries of one message because they do not fit together, although the first ones
// do and a snapshot would then make room for the others.
func TestEntriesOfOneMessageAreTakenAsFarAsTheyFit(t *testing.T) {
	t.Parallel()
	requireTakenInPart(t, Options{FS: newSharedDisk(smallDiskBytes / 2)}, func(*Replica) {})
}

// requireTakenInPart sends a member the entries of one message, of which some fit, and checks that it takes these and does not wait.
func requireTakenInPart(t *testing.T, options Options, prepare func(r *Replica)) {
	t.Helper()
	const count = 60
	options.ID, options.Group, options.Address, options.Dir, options.StateMachine = 2, "test", "127.0.0.1:1", "data", &register{}
	r, err := Start(options)
	require.NoError(t, err)
	t.Cleanup(r.Stop)
	prepare(r)
	message := &raftpb.Message{Type: raftpb.MessageType_APPEND, Group: "test", From: 1, To: 2, Term: 3}
	for index := uint64(1); index <= count; index++ {
		message.Entries = append(message.Entries, &raftpb.Entry{
			Index: index, Term: 3, Type: raftpb.EntryType_ENTRY_COMMAND, Data: append(set(index), make([]byte, commandBytes)...),
		})
	}
	require.NoError(t, r.receive(inbound{message: message}))
	require.Eventually(t, func() bool { return r.Status().LastIndex > 0 }, failoverLimit, time.Millisecond)
	require.Less(t, r.Status().LastIndex, uint64(count))
	require.False(t, r.WaitsForRoom())
	require.NoError(t, r.Err())
}
