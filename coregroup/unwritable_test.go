package coregroup

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
)

// failingFS refuses writes with an error that does not say that the disk is full.
type failingFS struct {
	diskfs.OS
	failing *atomic.Bool
}

func (f failingFS) Create(name string) (diskfs.File, error) {
	file, err := f.OS.Create(name)
	return failingFile{file, f.failing}, err
}

func (f failingFS) Append(name string) (diskfs.File, error) {
	file, err := f.OS.Append(name)
	return failingFile{file, f.failing}, err
}

type failingFile struct {
	diskfs.File
	failing *atomic.Bool
}

func (f failingFile) Write(data []byte) (int, error) {
	if f.failing.Load() {
		return 0, syscall.EIO
	}
	return f.File.Write(data)
}

// Guards against members on failing disks that start, elect a leader and end again and again, and against a group that changes sets only
// seconds after its disks take writes again.
func TestMembersStartOnceTheirDisksTakeWrites(t *testing.T) {
	t.Parallel()
	failing := &atomic.Bool{}
	core, logs := observer.New(zapcore.InfoLevel)
	nodes := startNodesLogging(t, zap.New(core), func(int) diskfs.FS { return failingFS{failing: failing} }, true, true, true)
	require.Eventually(t, publish(nodes, 1), convergenceTimeout, 20*time.Millisecond)
	failing.Store(true)
	require.False(t, publish(nodes, 2)())
	// All members end at their first write: the old leader at once, the others when they vote.
	time.Sleep(3 * time.Second)
	started := logs.FilterMessage("raft member started").Len()
	// Restarts with growing pauses would fall into this time.
	time.Sleep(maxRestartDelay + time.Second)
	require.Equal(t, started, logs.FilterMessage("raft member started").Len(), "members start on disks that take no writes")
	failing.Store(false)
	require.Eventually(t, publish(nodes, 3), 3*time.Second, 20*time.Millisecond)
}
