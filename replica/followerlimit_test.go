package replica

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
)

// largeMachine is a register with a state of ninthBytes.
type largeMachine struct{ *register }

// ninthBytes is the size of a command of which nine fill the disk.
const ninthBytes = smallDiskBytes / 9

func (m largeMachine) Snapshot() func() ([]byte, error) {
	encode := m.register.Snapshot()
	return func() ([]byte, error) {
		data, err := encode()
		return append(data, make([]byte, ninthBytes)...), err
	}
}

// Guards against a follower without snapshots whose log leaves room for two of them before it takes the next entries, and not afterwards: with
// large commands no snapshot fits any more, and the member waits without end.
func TestLargeEntriesLeaveRoomForSnapshots(t *testing.T) {
	t.Parallel()
	full := map[uint64]*atomic.Bool{1: {}, 2: {}, 3: {}}
	g := newGroup(t, 3, func(o *Options) {
		disk := simdisk.New()
		disk.SetCapacity(smallDiskBytes)
		o.FS, o.StateMachine = noNewFiles{disk, full[o.ID]}, largeMachine{o.StateMachine.(*register)}
		o.SnapshotBytes, o.TrailingBytes, o.MaxLogBytes, o.SegmentBytes = 64<<10, 32<<10, smallDiskBytes/2, 64<<10
	})
	propose := func(value uint64) {
		command := append(set(value), make([]byte, ninthBytes)...)
		require.Eventually(t, func() bool {
			for _, p := range g.members {
				if _, err := p.Propose(t.Context(), command); err == nil {
					return true
				}
			}
			return false
		}, 2*failoverLimit, 5*time.Millisecond, "command %d is refused by all members", value)
	}
	leader := g.write(1, failoverLimit)
	follower := g.members[leader.options.ID%3+1]
	value := uint64(2)
	for ; follower.snapshotBytes.Load() < ninthBytes; value++ {
		propose(value)
	}
	full[follower.options.ID].Store(true)
	disk := follower.options.FS.(noNewFiles).Disk
	// The log and the snapshot that was saved before. Votes and the heads of records take some bytes.
	limit := int(follower.options.MaxLogBytes*3/2) + ninthBytes + 4<<10
	for last := value + 20; value < last; value++ {
		propose(value)
		require.LessOrEqual(t, disk.Used(), limit)
	}
}
