package replica

import (
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/raft/snap"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// paddedRegister is a register with a large snapshot.
type paddedRegister struct{ register }

const paddingBytes = 200 << 10

func (r *paddedRegister) Snapshot() func() ([]byte, error) {
	encode := r.register.Snapshot()
	return func() ([]byte, error) {
		data, err := encode()
		return append(data, make([]byte, paddingBytes)...), err
	}
}

// Guards against a member that ends itself, and starts an election after each start, because its disk has no room for a snapshot: it can
// go on without.
func TestSnapshotWithoutRoomDoesNotStopTheMember(t *testing.T) {
	t.Parallel()
	disk := simdisk.New()
	machine := &paddedRegister{}
	r, err := Start(Options{
		ID: 1, Group: "test", Address: "127.0.0.1:1", Dir: "data", FS: disk, StateMachine: machine, SnapshotEvery: 10, TrailingEntries: 5,
		Bootstrap: []*raftpb.Member{{Id: 1, Address: "127.0.0.1:1"}},
	})
	require.NoError(t, err)
	t.Cleanup(r.Stop)
	require.Eventually(t, r.Fresh, failoverLimit, 5*time.Millisecond)
	disk.SetCapacity(disk.Used() + paddingBytes/2)
	for value := uint64(1); value <= 200; value++ {
		_, err := r.Propose(t.Context(), set(value))
		require.NoError(t, err, "command %d", value)
	}
	require.NoError(t, r.Err())
	disk.SetCapacity(0)
	require.Eventually(t, func() bool {
		_, err := r.Propose(t.Context(), set(201))
		return err == nil && r.Status().FirstIndex > 1
	}, failoverLimit, 10*time.Millisecond, "no snapshot is saved once there is room")
}

// startWithDisks starts a group of three whose members have simulated disks.
func startWithDisks(t *testing.T) (*group, map[uint64]*simdisk.Disk) {
	disks := map[uint64]*simdisk.Disk{1: simdisk.New(), 2: simdisk.New(), 3: simdisk.New()}
	return newGroup(t, 3, func(o *Options) { o.FS = disks[o.ID] }), disks
}

// fillDisk leaves no room on a disk; the other files on it take the rest.
func fillDisk(disk *simdisk.Disk) { disk.SetCapacity(disk.Used()) }

// requireValue reads from a member, which may notice a moment later than the others that its disk has room.
func (g *group) requireValue(p *process, want uint64) {
	g.t.Helper()
	require.Eventually(g.t, func() bool { return p.ReadBarrier(g.t.Context()) == nil }, failoverLimit, 10*time.Millisecond)
	require.EqualValues(g.t, want, p.machine.get())
}

func (g *group) highestTerm() (term uint64) {
	for _, p := range g.members {
		term = max(term, p.Status().Term)
	}
	return term
}

// Guards against members that end or elect a leader again and again while their disks are full, and against a group that does not go on by
// itself once they have room.
func TestGroupGoesOnOnceFullDisksHaveRoom(t *testing.T) {
	t.Parallel()
	g, disks := startWithDisks(t)
	g.write(1, failoverLimit)
	for _, disk := range disks {
		fillDisk(disk)
	}
	for _, p := range g.members {
		_, err := p.Propose(t.Context(), set(2))
		require.Error(t, err)
	}
	// Each member stands for election once, within twice the election timeout, and cannot store its own vote.
	time.Sleep(3 * time.Second)
	term := g.highestTerm()
	time.Sleep(2 * time.Second)
	require.Equal(t, term, g.highestTerm(), "the members elect without end")
	for _, p := range g.members {
		require.NoError(t, p.Err())
		_, err := p.Propose(t.Context(), set(3))
		require.Equal(t, failure.NotRun, failure.Of(err).Execution, "%v", err)
	}
	for _, disk := range disks {
		disk.SetCapacity(0)
	}
	g.write(4, failoverLimit)
	for _, p := range g.members {
		g.requireValue(p, 4)
	}
}

// Guards against members that end, and start elections, because a quota or a limit on the size of files refuses writes, which has errors of
// its own.
func TestQuotaAndFileLimitDoNotEndTheMember(t *testing.T) {
	t.Parallel()
	for _, refusal := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		disk := simdisk.New()
		disk.RefuseWith(refusal)
		r, _, err := single(t, disk)
		require.NoError(t, err)
		_, err = r.Propose(t.Context(), set(1))
		require.NoError(t, err)
		fillDisk(disk)
		_, err = r.Propose(t.Context(), set(2))
		require.Error(t, err)
		require.True(t, r.WaitsForRoom(), "%v", refusal)
		disk.SetCapacity(0)
		require.Eventually(t, func() bool {
			_, err := r.Propose(t.Context(), set(3))
			return err == nil
		}, failoverLimit, 10*time.Millisecond, "%v", refusal)
		require.NoError(t, r.Err())
		r.Stop()
	}
}

// Guards against a group that refuses or does not answer commands after the disks of its members were full one after another, each for a
// moment.
func TestDisksFullInTurnLeaveTheGroupWorking(t *testing.T) {
	t.Parallel()
	g, disks := startWithDisks(t)
	value := uint64(1)
	g.write(value, failoverLimit)
	for range 3 {
		for id := uint64(1); id <= 3; id++ {
			fillDisk(disks[id])
			for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				value++
				g.write(value, failoverLimit)
			}
			disks[id].SetCapacity(0)
		}
	}
	for _, p := range g.members {
		require.NoError(t, p.Err())
		g.requireValue(p, value)
	}
}

// Guards against acknowledged writes that are not durable on a full disk, against reads of a member that may be outdated, and against a wait
// that a stop does not end.
func TestMemberWithFullDiskAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	disk := simdisk.New()
	r, machine, err := single(t, disk)
	require.NoError(t, err)
	_, err = r.Propose(t.Context(), set(1))
	require.NoError(t, err)
	disk.SetSpace(5)
	_, err = r.Propose(t.Context(), set(2))
	require.Equal(t, failure.Unknown, failure.Of(err).Execution, "%v", err)
	require.True(t, r.WaitsForRoom())
	require.False(t, r.Fresh())
	require.EqualValues(t, 1, machine.get())
	_, err = r.Propose(t.Context(), set(3))
	require.True(t, failure.Is(err, failure.StorageFailed))
	require.Equal(t, failure.NotRun, failure.Of(err).Execution)
	require.True(t, failure.Is(r.ReadBarrier(t.Context()), failure.StorageFailed))
	r.Stop()
	require.True(t, failure.Is(r.Err(), failure.StorageFailed))
	disk.SetSpace(-1)
	disk.Crash(rand.New(rand.NewPCG(1, 1)))
	_, machine, err = single(t, disk)
	require.NoError(t, err)
	require.EqualValues(t, 1, machine.get())
}

// Guards against a new member that can never start again because it ended between saving its first snapshot and marking it in the log.
func TestNewMemberStartsAfterAnUnmarkedSnapshot(t *testing.T) {
	t.Parallel()
	disk := simdisk.New()
	options := Options{ID: 2, Group: "test", Address: "127.0.0.1:1", Dir: "data", FS: disk, StateMachine: &register{}}
	r, err := Start(options)
	require.NoError(t, err)
	meta := &raftpb.SnapshotMeta{Index: 7, Term: 2, Members: &raftpb.Members{Members: []*raftpb.Member{{Id: 1, Address: "127.0.0.1:2"}}}}
	require.NoError(t, r.storage.snaps.Save(snap.Snapshot{Meta: meta, Data: set(5)}))
	r.Stop()
	machine := &register{}
	options.StateMachine = machine
	r, err = Start(options)
	require.NoError(t, err)
	t.Cleanup(r.Stop)
	require.EqualValues(t, 5, machine.get())
	require.NoError(t, disk.Remove("data/wal/00000000000000000001.wal"))
	for range 2 {
		_, err = Start(options)
		require.True(t, failure.Is(err, failure.StorageFailed), "a lost log, which held votes, is taken for an empty one")
	}
}

// unsyncedDirectory refuses to sync one directory while failing is set.
type unsyncedDirectory struct {
	*simdisk.Disk
	dir     string
	failing *atomic.Bool
}

func (d unsyncedDirectory) SyncDir(dir string) error {
	if dir == d.dir && d.failing.Load() {
		return syscall.EIO
	}
	return d.Disk.SyncDir(dir)
}

// Guards against entries that are lost because a full disk had the log cut by a snapshot whose name was never durable: its save had failed in
// the last step, and the file was there to be read.
func TestLogIsNotCutBySnapshotThatIsNotDurable(t *testing.T) {
	t.Parallel()
	disk := simdisk.New()
	failing := &atomic.Bool{}
	options := Options{
		ID: 1, Group: "test", Address: "127.0.0.1:1", Dir: "data", FS: unsyncedDirectory{disk, "data/snap", failing}, SegmentBytes: 100,
		Bootstrap: []*raftpb.Member{{Id: 1, Address: "127.0.0.1:1"}},
	}
	s, loaded, err := openStorage(options)
	require.NoError(t, err)
	term := loaded.state.HardState.GetTerm()
	last := loaded.state.Entries[len(loaded.state.Entries)-1].GetIndex()
	for range 10 {
		last++
		require.NoError(t, s.wal.Save(nil, []*raftpb.Entry{{Index: last, Term: term, Data: make([]byte, 100)}}))
	}
	require.NoError(t, s.saveSnapshot(snap.Snapshot{Meta: &raftpb.SnapshotMeta{Index: last - 8, Term: term}}))
	failing.Store(true)
	require.Error(t, s.saveSnapshot(snap.Snapshot{Meta: &raftpb.SnapshotMeta{Index: last - 2, Term: term}}))
	for _, fails := range []bool{true, false} {
		failing.Store(fails)
		if err := s.dropSuperfluous(); fails {
			require.ErrorIs(t, err, syscall.EIO)
		} else {
			require.NoError(t, err)
		}
		crashed := disk.Clone()
		crashed.Crash(rand.New(rand.NewPCG(1, 1)))
		again := options
		again.FS = crashed
		_, loaded, err := openStorage(again)
		require.NoError(t, err)
		require.Equal(t, last, loaded.state.Entries[len(loaded.state.Entries)-1].GetIndex())
	}
}

// paddedMachine is a register with a large snapshot.
type paddedMachine struct{ *register }

func (m paddedMachine) Snapshot() func() ([]byte, error) {
	encode := m.register.Snapshot()
	return func() ([]byte, error) {
		data, err := encode()
		return append(data, make([]byte, paddingBytes)...), err
	}
}
