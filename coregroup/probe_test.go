package coregroup

import (
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
)

// brokenDisk is a simulated disk whose writes to the log fail once failing is set.
type brokenDisk struct {
	*simdisk.Disk
	failing *atomic.Bool
}

func (d brokenDisk) Create(name string) (diskfs.File, error) {
	file, err := d.Disk.Create(name)
	return brokenFile(d, name, file), err
}

func (d brokenDisk) Append(name string) (diskfs.File, error) {
	file, err := d.Disk.Append(name)
	return brokenFile(d, name, file), err
}

func brokenFile(d brokenDisk, name string, file diskfs.File) diskfs.File {
	if filepath.Ext(name) != ".wal" {
		return file
	}
	return failingFile{file, d.failing}
}

// Guards against a member that waits for room which only it can make: after another failure of a disk that has a few bytes left, because the
// log and the snapshots of the member take the rest.
func TestMemberStartsOnADiskThatIsAlmostFull(t *testing.T) {
	t.Parallel()
	failing := &atomic.Bool{}
	disk := brokenDisk{simdisk.New(), failing}
	nodes := startNodesOn(t, func(int) diskfs.FS { return disk }, true)
	require.Eventually(t, publish(nodes, 1), convergenceTimeout, 20*time.Millisecond)
	disk.SetCapacity(disk.Used() + 16<<10)
	failing.Store(true)
	require.False(t, publish(nodes, 2)())
	failing.Store(false)
	require.Eventually(t, publish(nodes, 3), 3*maxRestartDelay, 20*time.Millisecond)
}

// missingDirFS refuses to create directories while failing is set.
type missingDirFS struct {
	diskfs.OS
	failing *atomic.Bool
}

func (f missingDirFS) MkdirAll(dir string) error {
	if f.failing.Load() {
		return syscall.EIO
	}
	return f.OS.MkdirAll(dir)
}

// Guards against a member that waits without end because a failing disk refused its data directory: a test file needs the directory.
func TestMemberStartsAfterItsDirectoryWasRefused(t *testing.T) {
	t.Parallel()
	failing := &atomic.Bool{}
	failing.Store(true)
	n := &testNode{t: t, address: "127.0.0.1:0", dir: filepath.Join(t.TempDir(), "data"), fs: missingDirFS{failing: failing}, first: true}
	n.address = freeAddress(t)
	n.seeds = []string{n.address}
	n.start()
	time.Sleep(2 * restartDelay)
	failing.Store(false)
	require.Eventually(t, publish([]*testNode{n}, 1), 3*maxRestartDelay, 20*time.Millisecond)
}

// flickeringFS refuses writes to the log, and every second test file.
type flickeringFS struct {
	failingFS
	probes *atomic.Int64
}

func (f flickeringFS) Create(name string) (diskfs.File, error) {
	if filepath.Base(name) == "probe" && f.failing.Load() && f.probes.Add(1)%2 == 1 {
		return nil, syscall.EIO
	}
	if strings.Contains(name, "wal") {
		return f.failingFS.Create(name)
	}
	return f.OS.Create(name)
}

// Guards against members that start and end several times a second because test files are written now and then to a disk that refuses the
// log.
func TestRestartsBecomeRarerOnAFlickeringDisk(t *testing.T) {
	t.Parallel()
	failing := &atomic.Bool{}
	core, logs := observer.New(zapcore.InfoLevel)
	nodes := startNodesLogging(t, zap.New(core), func(int) diskfs.FS { return flickeringFS{failingFS{failing: failing}, &atomic.Int64{}} }, true)
	require.Eventually(t, publish(nodes, 1), convergenceTimeout, 20*time.Millisecond)
	failing.Store(true)
	require.False(t, publish(nodes, 2)())
	time.Sleep(2 * maxRestartDelay)
	// The pauses before the starts are 0.2 s for the first test files, then 0.5, 1, 2 and 4 s.
	require.LessOrEqual(t, logs.FilterMessage("raft member started").Len(), 1+5)
	failing.Store(false)
	require.Eventually(t, publish(nodes, 3), 2*maxRestartDelay, 20*time.Millisecond)
}
