package replica

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
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

// Guards against a follower whose log exceeds its limit by all entries that wait for their commit, because its newest snapshot holds all that is
// applied and the log still begins at the older one.
func TestEntriesBeforeTheirCommitStayWithinTheLimit(t *testing.T) {
	t.Parallel()
	const snapshotEvery = 19
	disk := simdisk.New()
	r, err := Start(Options{
		ID: 2, Group: "test", Address: "127.0.0.1:1", Dir: "data", FS: disk, StateMachine: &register{},
		SnapshotEvery: snapshotEvery, TrailingBytes: 32 << 10, MaxLogBytes: smallDiskBytes / 2, SegmentBytes: 64 << 10,
	})
	require.NoError(t, err)
	t.Cleanup(r.Stop)
	most := 0
	// The leader sends one entry at a time, again if it was dropped.
	appendUntil := func(last, commit uint64) {
		require.Eventually(t, func() bool {
			most = max(most, disk.Used())
			s := r.Status()
			if s.LastIndex == last && s.Applied >= commit {
				return true
			}
			m := &raftpb.Message{Type: raftpb.MessageType_APPEND, Group: "test", From: 1, To: 2, Term: 3, LogIndex: s.LastIndex, LogTerm: 3, Commit: commit}
			if s.LastIndex == 0 {
				m.LogTerm = 0
			}
			if s.LastIndex < last {
				m.Entries = []*raftpb.Entry{{Index: s.LastIndex + 1, Term: 3, Data: append(set(1), make([]byte, commandBytes)...)}}
			}
			_ = r.receive(inbound{message: m})
			return false
		}, failoverLimit, time.Millisecond)
	}
	for _, index := range []uint64{snapshotEvery, 2 * snapshotEvery} {
		appendUntil(index, index)
		require.Eventually(t, func() bool {
			newest, err := r.storage.snaps.Newest()
			return err == nil && newest != nil && newest.Meta.GetIndex() == index
		}, failoverLimit, time.Millisecond)
	}
	appendUntil(4*snapshotEvery, 2*snapshotEvery)
	require.Less(t, most, smallDiskBytes/2+2*commandBytes)
}
