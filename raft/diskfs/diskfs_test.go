package diskfs_test

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
)

// noRename refuses to rename, as a full disk does when a directory has to grow.
type noRename struct{ *simdisk.Disk }

func (noRename) Rename(string, string) error { return syscall.ENOSPC }

// Guards against temporary files that stay on a full disk, one for each snapshot whose file could be written but not renamed.
func TestWriteFileLeavesNoTemporaryFile(t *testing.T) {
	disk := simdisk.New()
	require.ErrorIs(t, diskfs.WriteFile(noRename{disk}, "dir/a", []byte("content")), syscall.ENOSPC)
	names, err := disk.List("dir")
	require.NoError(t, err)
	require.Empty(t, names)
}
