package coregroup

import (
	"crypto/rand"
	"io/fs"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// diskBytes is the size of the disk of a core member, as users have it.
const diskBytes = 64 << 20

// usedBytes returns the size of all files of a directory.
func usedBytes(t *testing.T, dir string) (total int64) {
	t.Helper()
	require.NoError(t, filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			// Segments and snapshots are removed meanwhile.
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	}))
	return total
}

// publishDocument publishes a set through whichever member leads.
func publishDocument(t *testing.T, nodes []*testNode, version uint64, document []byte) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			command := &nodepb.Command{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: version, Document: document}}}
			if n.group.Propose(t.Context(), command) == nil {
				return true
			}
		}
		return false
	}, 15*time.Second, 10*time.Millisecond)
}

// Guards against a log that is bounded by the number of its entries only: large sets fill the disk of every member, and no change can be
// made any more.
func TestLargeSetsDoNotFillTheDisk(t *testing.T) {
	t.Parallel()
	nodes := startNodes(t, true)
	document := make([]byte, 250_000)
	_, _ = rand.Read(document)
	for version := uint64(1); version <= 150; version++ {
		publishDocument(t, nodes, version, document)
		require.Less(t, usedBytes(t, nodes[0].dir), int64(diskBytes/4), "version %d", version)
	}
}

// fullFS refuses new files and writes while full is set.
type fullFS struct {
	diskfs.OS
	full *atomic.Bool
}

func (f fullFS) Create(name string) (diskfs.File, error) {
	if f.full.Load() {
		return nil, syscall.ENOSPC
	}
	file, err := f.OS.Create(name)
	return fullFile{file, f.full}, err
}

func (f fullFS) Append(name string) (diskfs.File, error) {
	file, err := f.OS.Append(name)
	return fullFile{file, f.full}, err
}

type fullFile struct {
	diskfs.File
	full *atomic.Bool
}

func (f fullFile) Write(data []byte) (int, error) {
	if f.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(data)
}

// Guards against a group that never forms because the disk of its founder was full when it was appointed.
func TestGroupFormsAfterAFullDiskAtItsFirstStart(t *testing.T) {
	t.Parallel()
	full := &atomic.Bool{}
	full.Store(true)
	nodes := startNodesOn(t, func(int) diskfs.FS { return fullFS{full: full} }, true, true, true)
	time.Sleep(2 * restartDelay)
	full.Store(false)
	require.Eventually(t, publish(nodes, 1), convergenceTimeout, 20*time.Millisecond)
}

// Guards against a member on a failing disk that is started, and takes part in an election, twice a second.
func TestRestartsOfAFailingMemberBecomeRarer(t *testing.T) {
	t.Parallel()
	delay := restartDelay / 2
	for _, want := range []time.Duration{restartDelay, 2 * restartDelay, 4 * restartDelay, maxRestartDelay, maxRestartDelay} {
		delay = nextRestartDelay(delay, true)
		require.Equal(t, want, delay)
	}
	require.Equal(t, restartDelay, nextRestartDelay(delay, false))
}

// Guards against a group that accepts no changes after the disks of its members were full one after another, each for longer than the time
// after which a spare takes the place of a member, which then comes back under a new identity.
func TestDisksFullInTurnWithSparesLeaveTheGroupWorking(t *testing.T) {
	t.Parallel()
	var nodes []*testNode
	var disks []*atomic.Bool
	nodes = startNodesOn(t, func(int) diskfs.FS {
		disks = append(disks, &atomic.Bool{})
		return fullFS{full: disks[len(disks)-1]}
	}, true, true, true, true, true)
	version := uint64(1)
	require.Eventually(t, publish(nodes, version), convergenceTimeout, 20*time.Millisecond)
	for _, disk := range disks {
		disk.Store(true)
		for end := time.Now().Add(replaceAfter + time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			version++
			require.Eventually(t, publish(nodes, version), convergenceTimeout, 20*time.Millisecond)
		}
		disk.Store(false)
	}
	version++
	require.Eventually(t, publish(nodes, version), convergenceTimeout, 20*time.Millisecond)
	for _, n := range nodes {
		require.Equal(t, version, read(t, n))
	}
}
