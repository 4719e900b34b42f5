package coregroup

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
)

// sharedDisk is a file system of which others have taken all but bytes.
type sharedDisk struct {
	*simdisk.Disk
	bytes int
}

func (d sharedDisk) Space(string) (diskfs.Space, error) {
	return diskfs.Space{Total: diskBytes, Free: int64(d.bytes - d.Used())}, nil
}

// Guards against shares of a file system that others fill: its size says that the log may grow, and the log takes the room of the snapshots
// that would shorten it.
func TestLogLeavesRoomOnASharedFileSystem(t *testing.T) {
	t.Parallel()
	const left, documentBytes = 8 << 20, 1 << 20
	nodes := startNodesOn(t, func(int) diskfs.FS {
		d := sharedDisk{simdisk.New(), left}
		d.SetCapacity(left)
		return d
	}, true, true, true)
	document := make([]byte, documentBytes)
	for version := uint64(1); version <= 60; version++ {
		publishDocument(t, nodes, version, document)
	}
	for _, n := range nodes {
		require.EqualValues(t, 60, read(t, n))
	}
}
