package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/hangdisk"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
)

// slowSync is how long a sync of a slow disk takes, below contactLimit.
const slowSync = 500 * time.Millisecond

// slowFS is a file system whose syncs of files take slowSync, and not also the time that the disk of the machine takes beside other load.
type slowFS struct{ *simdisk.Disk }

func (d slowFS) Create(name string) (diskfs.File, error) {
	file, err := d.Disk.Create(name)
	return slowFile{file}, err
}

type slowFile struct{ diskfs.File }

func (f slowFile) Sync() error {
	time.Sleep(slowSync)
	return f.File.Sync()
}

// Guards against elections and refused commands because the loop of a member waits for a sync of half a second, which the other members take for
// silence.
func TestSlowSyncsKeepTheLeader(t *testing.T) {
	t.Parallel()
	const election = 600 * time.Millisecond
	requireUnlessStalled(t, election, func() error {
		g := newGroup(t, 3, func(o *Options) { o.FS, o.Election, o.Tick = slowFS{simdisk.New()}, election, 40*time.Millisecond })
		leader := g.write(1, 2*failoverLimit)
		term := leader.Status().Term
		accepted := uint64(0)
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); accepted++ {
			if _, err := leader.Propose(t.Context(), set(accepted)); err != nil {
				return err
			}
		}
		if now := g.highestTerm(); now != term {
			return fmt.Errorf("term %d after term %d", now, term)
		}
		// A command takes a sync of the leader and one of a follower.
		if accepted < 5 {
			return fmt.Errorf("%d commands accepted", accepted)
		}
		return nil
	})
}

// Guards against a leader that keeps its leadership although its disk hangs, because it goes on sending heartbeats: no command is accepted then.
func TestLeaderOnAHungDiskIsReplaced(t *testing.T) {
	t.Parallel()
	disks := map[uint64]*hangdisk.Disk{1: hangdisk.New(), 2: hangdisk.New(), 3: hangdisk.New()}
	g := newGroup(t, 3, func(o *Options) { o.FS = disks[o.ID] })
	leader := g.write(1, failoverLimit)
	defer disks[leader.options.ID].Hang()()
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := leader.Propose(ctx, set(2))
	require.Error(t, err)
	g.awaitOtherLeader(leader, contactLimit+2*leader.options.Election+time.Second)
	require.Eventually(t, func() bool { return !leader.Fresh() }, contactLimit+2*time.Second, time.Millisecond)
}

// Guards against the state of a member without contact that passes for current.
func TestStateAgeGrowsWithoutContact(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3, func(*Options) {})
	leader := g.write(1, failoverLimit)
	age := func() time.Duration {
		age, known := leader.StateAge()
		require.True(t, known)
		return age
	}
	require.Eventually(t, func() bool { return age() < contactLimit }, failoverLimit, time.Millisecond)
	g.isolate(leader.options.ID)
	at := time.Now()
	require.Eventually(t, func() bool { return !leader.Fresh() }, contactLimit+2*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, age(), time.Second, "not fresh")
	time.Sleep(500 * time.Millisecond)
	// What was on its way when the links ended may still have arrived.
	require.Greater(t, age(), time.Since(at)-500*time.Millisecond)
}

// awaitOtherLeader waits until another member than the old leader leads.
func (g *group) awaitOtherLeader(old *process, limit time.Duration) {
	require.True(g.t, g.otherLeads(old, limit), "no other leader within %v", limit)
}

// otherLeads reports whether another member than the old leader leads within a time.
func (g *group) otherLeads(old *process, limit time.Duration) bool {
	began := time.Now()
	for ; time.Since(began) < limit; time.Sleep(time.Millisecond) {
		for _, p := range g.members {
			if id, _ := p.Leader(); p != old && id == p.options.ID {
				g.t.Logf("another leader after %v", time.Since(began))
				return true
			}
		}
	}
	return false
}

// refusingFS is a file system whose writes take slowSync and are refused for lack of room while full is set.
type refusingFS struct {
	diskfs.OS
	full atomic.Bool
}

func (d *refusingFS) Create(name string) (diskfs.File, error) {
	file, err := d.OS.Create(name)
	return refusingFile{file, d}, err
}

type refusingFile struct {
	diskfs.File
	disk *refusingFS
}

func (f refusingFile) Write(data []byte) (int, error) {
	if f.disk.full.Load() {
		time.Sleep(slowSync)
		return 0, syscall.ENOSPC
	}
	return f.File.Write(data)
}

// Guards against a leader on a full disk that keeps its leadership, because each of its attempts to write is slow and it sends heartbeats meanwhile.
func TestLeaderOnAFullSlowDiskIsReplaced(t *testing.T) {
	t.Parallel()
	disks := map[uint64]*refusingFS{1: {}, 2: {}, 3: {}}
	g := newGroup(t, 3, func(o *Options) { o.FS = disks[o.ID] })
	leader := g.write(1, failoverLimit)
	disks[leader.options.ID].full.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := leader.Propose(ctx, set(2))
	require.Error(t, err)
	g.awaitOtherLeader(leader, contactLimit+2*leader.options.Election+time.Second)
	disks[leader.options.ID].full.Store(false)
	g.write(3, failoverLimit)
	g.requireValue(leader, 3)
}
