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

// Guards against acknowledged entries that are lost with the power because they follow a snapshot whose name was never durable: the sync of its
// directory had failed, or the process was killed before, and the next start read it.
func TestEntriesAfterAnUnsyncedSnapshotSurviveAPowerLoss(t *testing.T) {
	t.Parallel()
	disk := simdisk.New()
	options := Options{ID: 2, Group: "test", Address: "127.0.0.1:1", Dir: "data", FS: disk}
	s, _, err := openStorage(options)
	require.NoError(t, err)
	disk.FailNames("data/snap", syscall.EIO)
	require.ErrorIs(t, s.saveSnapshot(snap.Snapshot{Meta: &raftpb.SnapshotMeta{Index: 7, Term: 2}}), syscall.EIO)
	require.NoError(t, s.close())
	disk.FailNames("data/snap", nil)

	s, loaded, err := openStorage(options)
	require.NoError(t, err)
	require.EqualValues(t, 7, loaded.snapshot.Meta.GetIndex())
	require.NoError(t, s.wal.Save(nil, []*raftpb.Entry{{Index: 8, Term: 2}}))
	require.NoError(t, s.close())
	disk.Crash(rand.New(rand.NewPCG(1, 1)))
	_, loaded, err = openStorage(options)
	require.NoError(t, err)
	require.Len(t, loaded.state.Entries, 1)
}

// Guards against an incarnation that other members have recorded and that is lost with the power: the member would be taken for one that has
// lost its disk.
func TestIncarnationSurvivesAPowerLossAfterAFailedSync(t *testing.T) {
	t.Parallel()
	disk := simdisk.New()
	options := Options{
		ID: 1, Group: "test", Address: "127.0.0.1:1", Dir: "data", FS: disk,
		Bootstrap: []*raftpb.Member{{Id: 1, Address: "127.0.0.1:1"}, {Id: 2, Address: "127.0.0.1:2"}},
	}
	disk.FailNames("data", syscall.EIO)
	_, _, err := openStorage(options)
	require.ErrorIs(t, err, syscall.EIO)
	disk.FailNames("data", nil)
	s, loaded, err := openStorage(options)
	require.NoError(t, err)
	incarnation := loaded.formation.incarnation()
	require.NoError(t, s.close())
	disk.Crash(rand.New(rand.NewPCG(1, 1)))
	_, loaded, err = openStorage(options)
	require.NoError(t, err)
	require.Equal(t, incarnation, loaded.formation.incarnation())
}

// Guards against a group that refuses commands for ever because the directory of a snapshot could not be synced: the next attempt finds the
// snapshot stored, and nothing shortens the log.
func TestSnapshotWithAFailedLastStepShortensTheLog(t *testing.T) {
	t.Parallel()
	for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
		r, disk := startOnSmallDisk(t, func(o *Options) { o.SnapshotBytes, o.TrailingBytes, o.MaxLogBytes = 128<<10, 64<<10, smallDiskBytes/2 })
		disk.FailNames("data/snap", cause)
		value := uint64(1)
		for err := error(nil); err == nil; value++ {
			if err = proposeLarge(t, r, value); err != nil {
				require.Equal(t, failure.NotRun, failure.Of(err).Execution, "%v", err)
			}
		}
		// Refused commands ask for further attempts, of which the first includes the last entry.
		for end := time.Now().Add(2 * snapshotRetryInterval); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			require.Error(t, proposeLarge(t, r, value))
		}
		disk.FailNames("data/snap", nil)
		require.Eventually(t, func() bool { return proposeLarge(t, r, value) == nil }, failoverLimit, 20*time.Millisecond, "%v", cause)
		require.NoError(t, r.Err())
	}
}

// Guards against members that end, and start elections, because their disks refuse the sync of a record for lack of room and not its write, as
// those do that allocate blocks late, or the sync of a directory.
func TestLateRefusalsDoNotEndTheMembers(t *testing.T) {
	t.Parallel()
	g, disks := startWithDisks(t)
	g.write(1, failoverLimit)
	for _, disk := range disks {
		disk.RefuseLate(true)
		fillDisk(disk)
	}
	for id, p := range g.members {
		disks[id].FailNames(p.options.Dir+"/snap", syscall.ENOSPC)
		_, err := p.Propose(t.Context(), set(2))
		require.Error(t, err)
	}
	// Each member stands for election once, within twice the election timeout, and cannot store its own vote.
	time.Sleep(3 * time.Second)
	term := g.highestTerm()
	time.Sleep(2 * time.Second)
	require.Equal(t, term, g.highestTerm(), "the members elect without end")
	for id, disk := range disks {
		require.NoError(t, g.members[id].Err())
		disk.SetCapacity(0)
		disk.FailNames(g.members[id].options.Dir+"/snap", nil)
	}
	g.write(3, failoverLimit)
	for _, p := range g.members {
		g.requireValue(p, 3)
	}
}

// Guards against a member that ends because a snapshot of its leader is refused late: at its sync, at its rename or at the sync of its directory.
func TestLateRefusalOfAReceivedSnapshot(t *testing.T) {
	t.Parallel()
	for _, step := range []func(disk lateDisk, full bool){
		func(d lateDisk, full bool) {
			d.RefuseLate(full)
			if full {
				fillDisk(d.Disk)
			} else {
				d.SetCapacity(0)
			}
		},
		func(d lateDisk, full bool) { d.noRename.Store(full) },
		func(d lateDisk, full bool) {
			if full {
				d.FailNames("data/snap", syscall.ENOSPC)
			} else {
				d.FailNames("data/snap", nil)
			}
		},
	} {
		disk := lateDisk{simdisk.New(), &atomic.Bool{}}
		machine := &register{}
		r, err := Start(Options{ID: 2, Group: "test", Address: "127.0.0.1:1", Dir: "data", FS: disk, StateMachine: machine})
		require.NoError(t, err)
		step(disk, true)
		members := &raftpb.Members{Members: []*raftpb.Member{{Id: 1, Address: "127.0.0.1:2"}, {Id: 2, Address: "127.0.0.1:1"}}}
		message := &raftpb.Message{
			Type: raftpb.MessageType_SNAPSHOT, Group: "test", From: 1, To: 2, Term: 3,
			Snapshot: &raftpb.SnapshotMeta{Index: 7, Term: 2, Members: members},
		}
		require.NoError(t, r.receive(inbound{message: message, data: set(5)}))
		require.Eventually(t, r.WaitsForRoom, failoverLimit, time.Millisecond)
		step(disk, false)
		require.Eventually(t, func() bool { return machine.get() == 5 }, failoverLimit, 5*time.Millisecond)
		require.NoError(t, r.Err())
		r.Stop()
	}
}

// Guards against a member that comes back only after the leader's timeout of 30 s, because it dropped a snapshot that counts as delivered while
// it waited for room.
func TestSnapshotThatArrivesWhileWaitingIsInstalled(t *testing.T) {
	t.Parallel()
	disk := simdisk.New()
	machine := &register{}
	r, err := Start(Options{ID: 2, Group: "test", Address: "127.0.0.1:1", Dir: "data", FS: disk, StateMachine: machine})
	require.NoError(t, err)
	t.Cleanup(r.Stop)
	fillDisk(disk)
	require.NoError(t, r.receive(inbound{message: &raftpb.Message{Type: raftpb.MessageType_HEARTBEAT, Group: "test", From: 1, To: 2, Term: 3}}))
	require.Eventually(t, r.WaitsForRoom, failoverLimit, time.Millisecond)
	members := &raftpb.Members{Members: []*raftpb.Member{{Id: 1, Address: "127.0.0.1:2"}, {Id: 2, Address: "127.0.0.1:1"}}}
	require.NoError(t, r.receive(inbound{data: set(5), message: &raftpb.Message{
		Type: raftpb.MessageType_SNAPSHOT, Group: "test", From: 1, To: 2, Term: 3,
		Snapshot: &raftpb.SnapshotMeta{Index: 7, Term: 2, Members: members},
	}}))
	time.Sleep(2 * roomInterval)
	disk.SetCapacity(0)
	require.Eventually(t, func() bool { return machine.get() == 5 }, failoverLimit, 5*time.Millisecond)
}

// lateDisk refuses renames for lack of room while noRename is set.
type lateDisk struct {
	*simdisk.Disk
	noRename *atomic.Bool
}

func (d lateDisk) Rename(from, to string) error {
	if d.noRename.Load() {
		return syscall.ENOSPC
	}
	return d.Disk.Rename(from, to)
}
