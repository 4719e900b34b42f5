package replica

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
)

// slowSnapshots holds back syncs of snapshots while stall is locked.
type slowSnapshots struct {
	*simdisk.Disk
	stall *sync.RWMutex
}

func (d slowSnapshots) Create(name string) (diskfs.File, error) {
	file, err := d.Disk.Create(name)
	if err == nil && strings.Contains(name, snapName) {
		file = stallingFile{file, d.stall}
	}
	return file, err
}

// Guards against a member that waits for room without end: while its snapshots are slow, the entries of its leader take the whole disk, and the
// snapshot that would shorten the log has no room any more. And against a leader that refuses commands for as long as its snapshots are slow,
// although the other members are well.
func TestSlowSnapshotsOfOneMember(t *testing.T) {
	t.Parallel()
	for _, offset := range []uint64{0, 1} {
		stalls := map[uint64]*sync.RWMutex{1: {}, 2: {}, 3: {}}
		g := newGroup(t, 3, func(o *Options) {
			disk := simdisk.New()
			disk.SetCapacity(smallDiskBytes)
			o.FS, o.StateMachine = slowSnapshots{disk, stalls[o.ID]}, paddedMachine{o.StateMachine.(*register)}
			o.SnapshotBytes, o.TrailingBytes, o.MaxLogBytes, o.SegmentBytes = 64<<10, 32<<10, smallDiskBytes/2, 64<<10
		})
		leader := g.write(1, failoverLimit)
		slow := g.members[(leader.options.ID+offset-1)%3+1]
		stall := stalls[slow.options.ID]
		stall.Lock()
		unstall := sync.OnceFunc(stall.Unlock)
		t.Cleanup(unstall)
		for value := uint64(2); value < 200; value++ {
			command := append(set(value), make([]byte, commandBytes)...)
			require.Eventually(t, func() bool {
				// The slow member does not answer while it stores a snapshot of its leader after its own, so the last leader is asked first.
				for _, p := range slices.Concat([]*process{leader}, slices.Collect(maps.Values(g.members))) {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					_, err := p.Propose(ctx, command)
					cancel()
					if err == nil {
						leader = p
						return true
					}
				}
				return false
			}, 2*failoverLimit, 5*time.Millisecond, "command %d is refused by all members", value)
			require.False(t, slow.WaitsForRoom(), "command %d", value)
		}
		require.NotZero(t, slow.Status().Leader, "the member does not follow")
		unstall()
		for _, p := range g.members {
			require.NoError(t, p.Err())
			g.requireValue(p, 199)
		}
	}
}

// countingDisk counts the reads of snapshots.
type countingDisk struct {
	*simdisk.Disk
	reads *atomic.Int64
}

func (d countingDisk) ReadFile(name string) ([]byte, error) {
	if strings.Contains(name, snapName) {
		d.reads.Add(1)
	}
	return d.Disk.ReadFile(name)
}

// Guards against a waiting member that reads its newest snapshot, which may have some MB, with each attempt to write.
func TestWaitingMemberDoesNotReadItsSnapshotsAllTheTime(t *testing.T) {
	t.Parallel()
	reads := &atomic.Int64{}
	r, disk := startOnSmallDisk(t, func(o *Options) {
		o.SnapshotBytes = 64 << 10
		o.FS = countingDisk{o.FS.(*simdisk.Disk), reads}
	})
	for value := range uint64(20) {
		require.NoError(t, proposeLarge(t, r, value))
	}
	require.Eventually(t, func() bool { return r.snapshotBytes.Load() > 0 }, failoverLimit, time.Millisecond)
	disk.SetSpace(0)
	require.Error(t, proposeLarge(t, r, 20))
	require.True(t, r.WaitsForRoom())
	before := reads.Load()
	time.Sleep(10 * roomInterval)
	require.LessOrEqual(t, reads.Load()-before, int64(6))
	disk.SetSpace(-1)
	require.Eventually(t, func() bool { return proposeLarge(t, r, 21) == nil }, failoverLimit, 20*time.Millisecond)
}
