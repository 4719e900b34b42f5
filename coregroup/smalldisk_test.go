package coregroup

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
)

// smallDisk is a file system of another size than the settings say.
type smallDisk struct {
	*simdisk.Disk
	bytes int
}

func newSmallDisk(bytes int) smallDisk {
	d := smallDisk{simdisk.New(), bytes}
	d.SetCapacity(bytes)
	return d
}

func (d smallDisk) Space(string) (diskfs.Space, error) {
	return diskfs.Space{Total: int64(d.bytes), Free: int64(d.bytes - d.Used())}, nil
}

// slowSnapshots is a file system on which the sync of a snapshot takes long.
type slowSnapshots struct{ smallDisk }

func (s slowSnapshots) Create(name string) (diskfs.File, error) {
	file, err := s.smallDisk.Create(name)
	if err == nil && strings.Contains(name, "/snap/") {
		return slowSnapshotFile{file}, nil
	}
	return file, err
}

type slowSnapshotFile struct{ diskfs.File }

func (f slowSnapshotFile) Sync() error {
	time.Sleep(500 * time.Millisecond)
	return f.File.Sync()
}

// Guards against shares of a disk that are taken from the settings alone: a file system that is smaller is filled before the log counts as
// too long.
func TestLogStaysWithinASmallerFileSystem(t *testing.T) {
	t.Parallel()
	const fileSystemBytes = 16 << 20
	core, logs := observer.New(zapcore.WarnLevel)
	nodes := startNodesLogging(t, zap.New(core), func(int) diskfs.FS { return slowSnapshots{newSmallDisk(fileSystemBytes)} }, true)
	document := make([]byte, 1<<20)
	for version := uint64(1); version <= 40; version++ {
		publishDocument(t, nodes, version, document)
	}
	require.Zero(t, logs.FilterMessage("raft member waits for room on its disk").Len())
	require.NotZero(t, logs.FilterMessage("file system is smaller than the settings say").Len())
}
