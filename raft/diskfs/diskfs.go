// Package diskfs defines the file system operations that a member uses for its log, snapshots and formation record, and
// implements them with package os. Tests replace it to inject a full disk, a failed sync or a crash that loses unsynced
// data.
package diskfs

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// File is a file open for appending.
type File interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// FS is a file system. Names are paths. The creation, renaming or removal of a name is durable only after SyncDir.
type FS interface {
	// MkdirAll creates a directory with its parents and makes their names durable.
	MkdirAll(dir string) error
	// Create creates an empty file; an existing file of that name is truncated.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// Truncate shortens a file to size and syncs it.
	Truncate(name string, size int64) error
	// Overwrite writes data over as many bytes of an existing file and syncs it.
	Overwrite(name string, offset int64, data []byte) error
	// List returns the sorted base names of the files in a directory.
	List(dir string) ([]string, error)
	SyncDir(dir string) error
}

// tempSuffix marks a file that WriteFile has not finished.
const tempSuffix = ".aside"

// IsTemp reports whether a file is a temporary file of an unfinished WriteFile.
func IsTemp(name string) bool { return filepath.Ext(name) == tempSuffix }

// IsFull reports whether an operation failed because the disk, the quota or the limit on the size of a file has no room.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// WriteFile replaces a file atomically and durably: the content is written to a temporary file and synced, the file is
// renamed, and its directory is synced. After a crash the file holds the complete old or the complete new content.
func WriteFile(disk FS, name string, content []byte) error {
	temp := name + tempSuffix
	file, err := disk.Create(temp)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err == nil {
		err = disk.Rename(temp, name)
	}
	if err != nil {
		// On a full disk the temporary file would keep the room that others need.
		return errors.Join(err, disk.Remove(temp))
	}
	return disk.SyncDir(filepath.Dir(name))
}

const (
	probeName = "probe"
	// probeBytes is more than a log record with a vote, and less than any disk is expected to have left when it counts as usable.
	probeBytes = 64 << 10
)

// Probe writes a file to dir, syncs it and removes it again. It fails if the disk takes no writes. A directory that the disk has refused so
// far is created.
func Probe(disk FS, dir string) error {
	if err := disk.MkdirAll(dir); err != nil {
		return err
	}
	name := filepath.Join(dir, probeName)
	file, err := disk.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(make([]byte, probeBytes))
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close(), disk.Remove(name))
}

// OS is the file system of the operating system.
type OS struct{}

const (
	filePermission = 0o600
	dirPermission  = 0o700
)

// MkdirAll implements FS. It syncs the parent of each directory that it creates.
func (o OS) MkdirAll(dir string) error {
	dir = filepath.Clean(dir)
	err := os.Mkdir(dir, dirPermission)
	if errors.Is(err, fs.ErrNotExist) {
		if err = o.MkdirAll(filepath.Dir(dir)); err != nil {
			return err
		}
		err = os.Mkdir(dir, dirPermission)
	}
	if errors.Is(err, fs.ErrExist) {
		return nil
	}
	if err != nil {
		return err
	}
	return o.SyncDir(filepath.Dir(dir))
}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return open(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return open(name, os.O_WRONLY|os.O_APPEND)
}

func open(name string, flags int) (File, error) {
	f, err := os.OpenFile(name, flags, filePermission)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// Truncate implements FS.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, filePermission)
	if err != nil {
		return err
	}
	return errors.Join(f.Truncate(size), f.Sync(), f.Close())
}

// Overwrite implements FS.
func (OS) Overwrite(name string, offset int64, data []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY, filePermission)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(data, offset)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
