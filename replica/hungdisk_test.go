package replica

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
)

// hangingFS is a file system whose writes wait for a channel while one is set.
type hangingFS struct {
	diskfs.OS
	gate atomic.Pointer[chan struct{}]
}

type hangingFile struct {
	diskfs.File
	disk *hangingFS
}

func (d *hangingFS) Create(name string) (diskfs.File, error) {
	file, err := d.OS.Create(name)
	return &hangingFile{file, d}, err
}

func (f *hangingFile) Write(data []byte) (int, error) {
	if gate := f.disk.gate.Load(); gate != nil {
		<-*gate
	}
	return f.File.Write(data)
}

// Guards against a member that names the leader of the time before its disk hung: callers are sent to a member that has ended meanwhile.
func TestMemberOnAHungDiskForgetsItsLeader(t *testing.T) {
	t.Parallel()
	disks := map[uint64]*hangingFS{1: {}, 2: {}, 3: {}}
	g := newGroup(t, 3, func(o *Options) { o.FS = disks[o.ID] })
	leader := g.write(1, failoverLimit)
	hung := g.members[leader.options.ID%3+1]
	require.Eventually(t, func() bool { id, _ := hung.Leader(); return id == leader.options.ID }, failoverLimit, time.Millisecond)
	gate := make(chan struct{})
	disks[hung.options.ID].gate.Store(&gate)
	release := sync.OnceFunc(func() {
		disks[hung.options.ID].gate.Store(nil)
		close(gate)
	})
	defer release()
	g.write(2, failoverLimit)
	g.kill(leader.options.ID)
	require.Eventually(t, func() bool { id, _ := hung.Leader(); return id == 0 }, 2*hung.options.Election+time.Second, 10*time.Millisecond)
	release()
	require.Eventually(t, func() bool { id, _ := hung.Leader(); return id != 0 }, failoverLimit, 10*time.Millisecond)
}
