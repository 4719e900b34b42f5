package member

import (
	"cmp"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/replica"
)

// The following are shares of the file system. Between snapshots the log grows by snapshotShare, or by twice the size of the state. Commands
// are refused from maxLogShare on, so that votes and a snapshot still have room.
const (
	snapshotShare = 128
	trailingShare = 128
	segmentShare  = 64
	maxLogShare   = 2
	// maxSnapshotBytes, maxTrailingBytes and maxSegmentBytes are the defaults of package replica, for a large file system.
	maxSnapshotBytes = 64 << 20
	maxTrailingBytes = 16 << 20
	maxSegmentBytes  = 64 << 20
)

// limitLog derives the limits of the log that are not set from the size of the file system.
func limitLog(o *replica.Options) {
	fs := cmp.Or[diskfs.FS](o.FS, diskfs.OS{})
	// The size of a file system is known for existing directories only. Start reports a directory that cannot be created.
	_ = fs.MkdirAll(o.Dir)
	space, known := diskfs.SpaceOf(fs, o.Dir)
	if !known {
		return
	}
	defaults.Set(&o.SnapshotBytes, min(maxSnapshotBytes, space.Total/snapshotShare))
	defaults.Set(&o.TrailingBytes, min(maxTrailingBytes, space.Total/trailingShare))
	defaults.Set(&o.SegmentBytes, min(maxSegmentBytes, space.Total/segmentShare))
	defaults.Set(&o.MaxLogBytes, space.Total/maxLogShare)
}
