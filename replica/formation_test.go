package replica

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// newFirst creates the list of first members without starting them. Their log lines go to the observer.
func newFirst(t *testing.T, size int) (*group, *observer.ObservedLogs) {
	core, logs := observer.New(zap.WarnLevel)
	g := newGroup(t, 0, func(o *Options) { o.Logger = zap.New(core) })
	for id := uint64(1); id <= uint64(size); id++ {
		g.first = append(g.first, g.member(id))
	}
	return g, logs
}

// requireRefused requires that a member stops because the group has formed without its data directory.
func requireRefused(t *testing.T, p *process) {
	t.Helper()
	select {
	case <-p.Done():
	case <-time.After(failoverLimit):
		require.Fail(t, "the member with an empty directory continues")
	}
	require.True(t, failure.Is(p.Err(), failure.IdentityLost), "%v", p.Err())
	require.ErrorContains(t, p.Err(), "--join")
	require.False(t, p.Status().MayVote)
}

// TestLostDiskWithBootstrapIsRefused guards against a member that lost its disk, is started with its old settings and
// votes although its votes and entries are lost; also while another member is down.
func TestLostDiskWithBootstrapIsRefused(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3, nil)
	g.write(1, failoverLimit)
	g.kill(3)
	require.NoError(t, os.RemoveAll(filepath.Join(g.dir, "3")))
	requireRefused(t, g.start(g.first[2], g.first))
	g.members[3].stop()
	delete(g.members, 3)
	g.write(2, failoverLimit)

	g.kill(2)
	requireRefused(t, g.start(g.first[2], g.first))
}

// TestFirstMemberWaitsForAllOthers guards against forming a second group while another one was formed without the
// reachable members, and against first members that wait for each other forever.
func TestFirstMemberWaitsForAllOthers(t *testing.T) {
	t.Parallel()
	g, logs := newFirst(t, 3)
	g.start(g.first[0], g.first)
	g.start(g.first[1], g.first)
	require.Eventually(t, func() bool {
		waiting := map[any]bool{}
		for _, line := range logs.FilterMessage("waiting for first members").All() {
			fields := line.ContextMap()
			if missing := fields["silent"].([]any); len(missing) == 1 && missing[0] == uint64(3) {
				waiting[fields["member"]] = true
			}
		}
		return len(waiting) == 2
	}, failoverLimit, 5*time.Millisecond, "both members log the missing one")
	for _, p := range g.members {
		require.False(t, p.Status().MayVote)
		require.Zero(t, p.Status().LastIndex)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err := p.Propose(ctx, set(1))
		cancel()
		require.Equal(t, failure.NotRun, failure.Of(err).Execution)
	}
	g.start(g.first[2], g.first)
	g.write(1, failoverLimit)
}

// TestJoinedMemberIsNoFirstMember guards against forming a group with the answer of a member that lost its disk and waits
// to join as a new member.
func TestJoinedMemberIsNoFirstMember(t *testing.T) {
	t.Parallel()
	var answers inquiry
	answers.add(1, 2, &raftpb.InquireResponse{})
	require.Equal(t, []uint64{2}, answers.unconfirmed)
}

// failingLog is a file system whose syncs block until fail is closed and then fail, once a formation record is stored.
type failingLog struct {
	diskfs.OS
	records atomic.Int32
	fail    chan struct{}
}

type failingFile struct {
	diskfs.File
	disk *failingLog
}

func (d *failingLog) Create(name string) (diskfs.File, error) {
	file, err := d.OS.Create(name)
	return &failingFile{File: file, disk: d}, err
}

func (d *failingLog) Append(name string) (diskfs.File, error) {
	file, err := d.OS.Append(name)
	return &failingFile{File: file, disk: d}, err
}

func (d *failingLog) Rename(from, to string) error {
	if filepath.Base(to) == formationName {
		d.records.Add(1)
	}
	return d.OS.Rename(from, to)
}

func (f *failingFile) Sync() error {
	if f.disk.records.Load() > 0 {
		<-f.disk.fail
		return syscall.EIO
	}
	return f.File.Sync()
}

// TestFirstMemberRestartsDuringFormation guards against treating a first member as one with a lost disk because it
// restarted before the others formed the group, or after that but before it had stored its first state.
func TestFirstMemberRestartsDuringFormation(t *testing.T) {
	t.Parallel()
	g, _ := newFirst(t, 3)
	g.start(g.first[0], g.first)
	g.start(g.first[2], g.first).stop()
	disk := &failingLog{fail: make(chan struct{})}
	g.tune = func(o *Options) { o.FS = disk }
	failing := g.start(g.first[2], g.first)
	g.tune = nil
	delete(g.members, 3)
	g.start(g.first[1], g.first)
	g.write(1, failoverLimit)
	close(disk.fail)
	require.Eventually(t, func() bool { return failing.Err() != nil }, failoverLimit, 5*time.Millisecond)
	require.True(t, failure.Is(failing.Err(), failure.StorageFailed), "%v", failing.Err())
	failing.stop()
	p := g.start(g.first[2], g.first)
	require.Eventually(t, func() bool { return p.Status().MayVote }, failoverLimit, 5*time.Millisecond)
	require.EqualValues(t, 1, g.read(p))
}

// TestDamagedFormationRecordIsRefused guards against an identity that is read from a corrupt record.
func TestDamagedFormationRecordIsRefused(t *testing.T) {
	dir := t.TempDir()
	f, err := openFormation(diskfs.OS{}, dir, false)
	require.NoError(t, err)
	require.NoError(t, f.createIncarnation())
	path := filepath.Join(dir, formationName)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	reopened, err := openFormation(diskfs.OS{}, dir, false)
	require.NoError(t, err)
	require.Equal(t, f.incarnation(), reopened.incarnation())
	content[3] ^= 1
	require.NoError(t, os.WriteFile(path, content, 0o600))
	_, err = openFormation(diskfs.OS{}, dir, false)
	require.True(t, failure.Is(err, failure.StorageFailed))
}
