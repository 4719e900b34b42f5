package coregroup

import (
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
)

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
