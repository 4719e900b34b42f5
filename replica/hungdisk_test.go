package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs/hangdisk"
)

// Guards against a member that names the leader of the time before its disk hung: callers are sent to a member that has ended meanwhile.
func TestMemberOnAHungDiskForgetsItsLeader(t *testing.T) {
	t.Parallel()
	disks := map[uint64]*hangdisk.Disk{1: hangdisk.New(), 2: hangdisk.New(), 3: hangdisk.New()}
	g := newGroup(t, 3, func(o *Options) { o.FS = disks[o.ID] })
	leader := g.write(1, failoverLimit)
	hung := g.members[leader.options.ID%3+1]
	require.Eventually(t, func() bool { id, _ := hung.Leader(); return id == leader.options.ID }, failoverLimit, time.Millisecond)
	release := disks[hung.options.ID].Hang()
	defer release()
	g.write(2, failoverLimit)
	g.kill(leader.options.ID)
	require.Eventually(t, func() bool { id, _ := hung.Leader(); return id == 0 }, 2*hung.options.Election+time.Second, 10*time.Millisecond)
	release()
	require.Eventually(t, func() bool { id, _ := hung.Leader(); return id != 0 }, failoverLimit, 10*time.Millisecond)
}
