package coregroup

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
)

const (
	// defaultDiskBytes is the size of a disk that is not known.
	defaultDiskBytes = 64 << 20
	// probeInterval is the pause between attempts to write to a disk that refused a write.
	probeInterval = 200 * time.Millisecond
)

// diskBytes returns the size of the disk: the smaller one of the settings and the file system, whose tables take a part of the device and
// which may be shared with others.
func (g *Group) diskBytes() int64 {
	disk := cmp.Or(g.options.DiskBytes, defaultDiskBytes)
	if space, known := diskfs.SpaceOf(g.options.FS, g.options.Dir); known && space.Total < disk {
		g.options.Log.Warn("file system is smaller than the settings say", zap.Int64("disk_bytes", disk), zap.Int64("filesystem_bytes", space.Total))
		disk = space.Total
	}
	return disk
}

// awaitWritableDisk waits until the data directory takes writes again, and for delay at least. A member that starts on such a disk stands for
// election and ends at its first write, which costs the group an election each time. Without room for the test file the wait ends after
// maxRestartDelay: a member runs with less, and removes the part of its log that fills the disk. It starts at once when there is room, since a
// member on a full disk waits instead of ending.
func (g *Group) awaitWritableDisk(ctx context.Context, delay time.Duration) {
	began := time.Now()
	full := false
	for refused := false; ctx.Err() == nil; refused = true {
		err := diskfs.Probe(g.options.FS, g.options.Dir)
		if err == nil {
			if !full {
				clock.Sleep(ctx, delay-time.Since(began))
			}
			return
		}
		if full = diskfs.IsFull(err); full && time.Since(began) >= maxRestartDelay {
			return
		}
		if !refused {
			g.options.Log.Error("core member waits for a writable disk", zap.Int("errno", int(diskfs.Errno(err))), zap.Error(err))
		}
		clock.Sleep(ctx, probeInterval)
	}
}
