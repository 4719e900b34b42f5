package diskfs

import (
	"cmp"
	"errors"
	"syscall"
)

// Space is the size of a file system in bytes.
type Space struct {
	// Total is the room for files of all its users, Free what a process without privileges can still write.
	Total, Free int64
}

// SpaceReporter is implemented by an FS that knows its size.
type SpaceReporter interface {
	Space(dir string) (Space, error)
}

// SpaceOf returns the size of the file system that holds dir, and false if it is unknown.
func SpaceOf(disk FS, dir string) (Space, bool) {
	reporter, ok := disk.(SpaceReporter)
	if !ok {
		return Space{}, false
	}
	space, err := reporter.Space(dir)
	return space, err == nil && space.Total > 0
}

// Space implements SpaceReporter. Blocks that only a privileged process may use do not count.
func (OS) Space(dir string) (Space, error) {
	var stat syscall.Statfs_t
	if err := syscall.Statfs(dir, &stat); err != nil {
		return Space{}, err
	}
	return spaceOf(&stat), nil
}

// spaceOf converts the size in blocks.
func spaceOf(stat *syscall.Statfs_t) Space {
	// Blocks have the size Frsize; Bsize is that of transfers, and the same on most file systems.
	block := cmp.Or(stat.Frsize, stat.Bsize)
	reserved := stat.Bfree - min(stat.Bavail, stat.Bfree)
	return Space{
		Total: int64(stat.Blocks-min(reserved, stat.Blocks)) * block,
		Free:  int64(stat.Bavail) * block,
	}
}

// Errno returns the error number of the system call that failed, and 0 if none is known.
func Errno(err error) syscall.Errno {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno
	}
	return 0
}
