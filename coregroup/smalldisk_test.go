package coregroup

import (
	"testing"

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

// Guards against shares of a disk that are taken from the settings alone: a file system that is smaller is filled before the log counts as
// too long.
func TestLogStaysWithinASmallerFileSystem(t *testing.T) {
	t.Parallel()
	const fileSystemBytes = 16 << 20
	core, logs := observer.New(zapcore.WarnLevel)
	nodes := startNodesLogging(t, zap.New(core), func(int) diskfs.FS { return newSmallDisk(fileSystemBytes) }, true, true, true)
	document := make([]byte, 2<<20)
	for version := uint64(1); version <= 40; version++ {
		publishDocument(t, nodes, version, document)
	}
	require.Zero(t, logs.FilterMessage("raft member waits for room on its disk").Len())
	require.NotZero(t, logs.FilterMessage("file system is smaller than the settings say").Len())
}
