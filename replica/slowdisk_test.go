package replica

import (
	"strings"
	"sync"
	"testing"

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
			g.proposeLarge(value)
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
