package diskfs

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against blocks that are counted in the transfer size, which some file systems give as a multiple of the block size: the file system
// seems to be larger than it is.
func TestSpaceCountsBlocks(t *testing.T) {
	t.Parallel()
	space := spaceOf(&syscall.Statfs_t{Bsize: 1 << 20, Frsize: 4096, Blocks: 1000, Bfree: 500, Bavail: 400})
	require.Equal(t, Space{Total: 900 * 4096, Free: 400 * 4096}, space)
	space = spaceOf(&syscall.Statfs_t{Bsize: 4096, Blocks: 1000, Bfree: 500, Bavail: 400})
	require.Equal(t, Space{Total: 900 * 4096, Free: 400 * 4096}, space)
	// A file system that reports more room for users than in all has no reserved blocks.
	space = spaceOf(&syscall.Statfs_t{Bsize: 4096, Blocks: 1000, Bfree: 0, Bavail: 400})
	require.Equal(t, int64(1000*4096), space.Total)
}
