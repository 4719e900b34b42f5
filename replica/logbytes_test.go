package replica

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/raft/wal"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

const (
	smallDiskBytes = 2 << 20
	commandBytes   = 20 << 10
)

// startOnSmallDisk starts the only member of a group on a disk of smallDiskBytes.
func startOnSmallDisk(t *testing.T, tune func(*Options)) (*Replica, *simdisk.Disk) {
	disk := simdisk.New()
	disk.SetCapacity(smallDiskBytes)
	options := Options{
		ID: 1, Group: "test", Address: "127.0.0.1:1", Dir: "data", FS: disk, StateMachine: &register{}, SegmentBytes: 64 << 10,
		Bootstrap: []*raftpb.Member{{Id: 1, Address: "127.0.0.1:1"}},
	}
	tune(&options)
	r, err := Start(options)
	require.NoError(t, err)
	t.Cleanup(r.Stop)
	require.Eventually(t, r.Fresh, failoverLimit, 5*time.Millisecond)
	return r, disk
}

// proposeLarge proposes a command of commandBytes.
func proposeLarge(t testing.TB, r *Replica, value uint64) error {
	_, err := r.Propose(t.Context(), append(set(value), make([]byte, commandBytes)...))
	return err
}

// proposeLarge proposes a command of commandBytes on all members in turn until one accepts it.
func (g *group) proposeLarge(value uint64) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		for _, p := range g.members {
			if proposeLarge(g.t, p.Replica, value) == nil {
				return true
			}
		}
		return false
	}, 2*failoverLimit, 5*time.Millisecond, "command %d is refused by all members", value)
}

// Guards against a log that is cut by the number of its entries only: large commands fill the disk long before. Snapshots are saved beside the
// commands, so a busy machine may refuse some of them until the log is short again.
func TestLogIsCutByBytes(t *testing.T) {
	t.Parallel()
	r, disk := startOnSmallDisk(t, func(o *Options) { o.SnapshotBytes, o.TrailingBytes, o.MaxLogBytes = 128<<10, 64<<10, smallDiskBytes/2 })
	for value := uint64(1); value <= 500; value++ {
		require.Eventually(t, func() bool {
			err := proposeLarge(t, r, value)
			require.True(t, err == nil || failure.Of(err).Execution == failure.NotRun, "%v", err)
			return err == nil
		}, failoverLimit, time.Millisecond)
		require.Less(t, disk.Used(), smallDiskBytes*3/4)
	}
	require.Eventually(t, func() bool { return disk.Used() < smallDiskBytes/2 }, failoverLimit, time.Millisecond)
}

// Guards against a leader that takes commands until its disk is full: it refuses them before, as not run, goes on voting and reading, and
// takes them again once a snapshot has shortened the log.
func TestCommandsAreRefusedBeforeTheDiskIsFull(t *testing.T) {
	t.Parallel()
	r, disk := startOnSmallDisk(t, func(o *Options) {
		o.SnapshotBytes, o.MaxLogBytes, o.StateMachine = 1<<40, smallDiskBytes/2, &paddedRegister{}
	})
	// Other files leave room for the log, but not for a snapshot.
	disk.SetCapacity(smallDiskBytes/2 + paddingBytes/2)
	value := uint64(0)
	for err := error(nil); err == nil; value++ {
		if err = proposeLarge(t, r, value); err != nil {
			require.True(t, failure.Is(err, failure.StorageFailed))
			require.Equal(t, failure.NotRun, failure.Of(err).Execution, "%v", err)
		}
	}
	require.NoError(t, r.ReadBarrier(t.Context()))
	require.False(t, r.WaitsForRoom())
	disk.SetCapacity(0)
	require.Eventually(t, func() bool { return proposeLarge(t, r, value) == nil }, failoverLimit, 20*time.Millisecond)
	require.NoError(t, r.Err())
}

// Guards against snapshots that are due by the number of entries only, and against a large state that is written again after each command.
func TestSnapshotIsDueByBytes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		applied             uint64
		bytes, lastSnapshot int64
		requested, want     bool
	}{
		{applied: 100, want: true},
		{applied: 99, bytes: 999},
		{applied: 1, bytes: 1000, want: true},
		{applied: 1, bytes: 1000, lastSnapshot: 600},
		{applied: 1, bytes: 1200, lastSnapshot: 600, want: true},
		{applied: 1, requested: true, want: true},
		{requested: true},
	} {
		r := &Replica{options: Options{SnapshotEvery: 100, SnapshotBytes: 1000}}
		r.snapshotBytes.Store(c.lastSnapshot)
		a := &applier{replica: r, last: &raftpb.SnapshotMeta{Index: 50 + c.applied}, lastSnapshot: 50, bytes: c.bytes, due: c.requested}
		require.Equal(t, c.want, a.isSnapshotDue(), "%+v", c)
	}
}

// stallingDisk holds back syncs while stall is locked.
type stallingDisk struct {
	*simdisk.Disk
	stall *sync.RWMutex
}

func (d stallingDisk) Create(name string) (diskfs.File, error) {
	file, err := d.Disk.Create(name)
	return stallingFile{file, d.stall}, err
}

func (d stallingDisk) Append(name string) (diskfs.File, error) {
	file, err := d.Disk.Append(name)
	return stallingFile{file, d.stall}, err
}

type stallingFile struct {
	diskfs.File
	stall *sync.RWMutex
}

func (f stallingFile) Sync() error {
	f.stall.RLock()
	defer f.stall.RUnlock()
	return f.File.Sync()
}

// Guards against a leader that takes more commands for one sync than its disk has room for, because it compares only what is already in the
// log with its limit: it waits without end for room that nothing frees.
func TestCommandsOfOneSyncFitOnTheDisk(t *testing.T) {
	t.Parallel()
	stall := &sync.RWMutex{}
	r, disk := startOnSmallDisk(t, func(o *Options) {
		o.SnapshotBytes, o.TrailingBytes, o.MaxLogBytes = 128<<10, 64<<10, smallDiskBytes/2
		o.FS = stallingDisk{o.FS.(*simdisk.Disk), stall}
	})
	require.NoError(t, proposeLarge(t, r, 1))
	const commands = 2 * smallDiskBytes / commandBytes
	stall.Lock()
	results := make(chan error, commands)
	for value := range uint64(commands) {
		go func() { results <- proposeLarge(t, r, 2+value) }()
	}
	// The first commands wait for their sync, and the others, which alone exceed the disk, in the queue.
	queued := assert.Eventually(t, func() bool { return len(r.proposals) > commands/2 }, failoverLimit, time.Millisecond)
	stall.Unlock()
	require.True(t, queued)
	require.Eventually(t, func() bool { return proposeLarge(t, r, 1000) == nil }, failoverLimit, 10*time.Millisecond)
	for range commands {
		if err := <-results; err != nil {
			require.Equal(t, failure.NotRun, failure.Of(err).Execution, "%v", err)
		}
	}
	require.Less(t, disk.Used(), smallDiskBytes*3/4)
	require.NoError(t, r.Err())
}

// noNewFiles refuses new files while full is set, as a disk without free inodes does.
type noNewFiles struct {
	*simdisk.Disk
	full *atomic.Bool
}

func (d noNewFiles) Create(name string) (diskfs.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	return d.Disk.Create(name)
}

// Guards against a group that refuses commands for ever because its log could not start a new segment: the newest segment is never removed,
// and without commands no new one is started.
func TestLongSegmentIsReplacedOnceThereIsRoom(t *testing.T) {
	t.Parallel()
	full := &atomic.Bool{}
	r, _ := startOnSmallDisk(t, func(o *Options) {
		o.SnapshotBytes, o.TrailingBytes, o.MaxLogBytes = 128<<10, 64<<10, smallDiskBytes/2
		o.FS = noNewFiles{o.FS.(*simdisk.Disk), full}
	})
	full.Store(true)
	value := uint64(1)
	for proposeLarge(t, r, value) == nil {
		value++
	}
	full.Store(false)
	require.Eventually(t, func() bool { return proposeLarge(t, r, value) == nil }, failoverLimit, 20*time.Millisecond)
	require.NoError(t, r.Err())
}

// Guards against a group that takes no commands, although a quorum of its members is well, because the disk of its leader has no room for a
// snapshot and its log has reached its limit.
func TestLeaderWithoutRoomForSnapshotsHandsOver(t *testing.T) {
	t.Parallel()
	full := map[uint64]*atomic.Bool{1: {}, 2: {}, 3: {}}
	g := newGroup(t, 3, func(o *Options) {
		o.FS = noNewFiles{simdisk.New(), full[o.ID]}
		o.SnapshotBytes, o.TrailingBytes, o.MaxLogBytes, o.SegmentBytes = 64<<10, 32<<10, 512<<10, 64<<10
	})
	leader := g.write(1, failoverLimit)
	full[leader.options.ID].Store(true)
	for value := uint64(2); value < 60; value++ {
		g.proposeLarge(value)
	}
	full[leader.options.ID].Store(false)
	for _, p := range g.members {
		require.NoError(t, p.Err())
		g.requireValue(p, 59)
	}
}

// Guards against a follower that never comes back because its log has taken the whole disk while no snapshot could be saved: nothing of the log
// can be removed then, and a snapshot has no room any more.
func TestLogOfFollowerLeavesRoomForSnapshots(t *testing.T) {
	t.Parallel()
	full := map[uint64]*atomic.Bool{1: {}, 2: {}, 3: {}}
	g := newGroup(t, 3, func(o *Options) {
		disk := simdisk.New()
		disk.SetCapacity(smallDiskBytes)
		o.FS, o.StateMachine = noNewFiles{disk, full[o.ID]}, paddedMachine{o.StateMachine.(*register)}
		o.SnapshotBytes, o.TrailingBytes, o.MaxLogBytes, o.SegmentBytes = 64<<10, 32<<10, smallDiskBytes/2, 64<<10
	})
	leader := g.write(1, failoverLimit)
	follower := g.members[leader.options.ID%3+1]
	full[follower.options.ID].Store(true)
	for value := uint64(2); value < 200; value++ {
		g.proposeLarge(value)
	}
	full[follower.options.ID].Store(false)
	for _, p := range g.members {
		require.NoError(t, p.Err())
		g.requireValue(p, 199)
	}
}

// Guards against a follower that takes many entries at once although no snapshot can be saved, so that none has room any more.
func TestEntriesOfOneSyncLeaveRoomForSnapshots(t *testing.T) {
	t.Parallel()
	r, _ := startOnSmallDisk(t, func(o *Options) { o.MaxLogBytes = smallDiskBytes / 2 })
	r.Stop()
	ready := func(bytes int) raft.Ready {
		return raft.Ready{Entries: []*raftpb.Entry{{Data: make([]byte, bytes/2)}, {Data: make([]byte, bytes/2)}}}
	}
	require.NoError(t, r.checkLogLimit(ready(smallDiskBytes)))
	r.snapshotFailed.Store(true)
	require.NoError(t, r.checkLogLimit(ready(smallDiskBytes/2)))
	require.ErrorAs(t, r.checkLogLimit(ready(smallDiskBytes*3/4)), new(*wal.FullError))
	r.options.MaxCommandBytes = smallDiskBytes / 16
	require.NoError(t, r.checkLogLimit(ready(smallDiskBytes/2)))
	require.ErrorAs(t, r.checkLogLimit(ready(smallDiskBytes*9/16)), new(*wal.FullError))
}

// Guards against a follower that waits with more than one entry beyond its limit: it writes them once a first snapshot is saved, which does not
// shorten the log yet, and then the second snapshot has no room.
func TestFollowerWithoutSnapshotsTakesEntriesUpToItsLimit(t *testing.T) {
	t.Parallel()
	requireTakenInPart(t, Options{FS: simdisk.New(), MaxLogBytes: smallDiskBytes / 4}, func(r *Replica) { r.snapshotFailed.Store(true) })
}
