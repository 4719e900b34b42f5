package replica

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

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
