// Package diskfs is the small part of a file system that the log, the snapshots and the formation record of a member use.
// Tests replace it to inject a full disk, a failed sync or a crash that loses unsynced data.
package diskfs

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// File is a file open for appending.
type File interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// FS is a file system. Names are paths. A created, renamed or removed name is durable only after SyncDir.
type FS interface {
	// MkdirAll creates a directory and makes its name durable.
	MkdirAll(dir string) error
	// Create makes a new empty file; an existing file of that name is emptied.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// Truncate cuts a file and syncs it.
	Truncate(name string, size int64) error
	// List returns the sorted base names of the files in a directory.
	List(dir string) ([]string, error)
	SyncDir(dir string) error
}

// asideSuffix marks a file that is still being written.
const asideSuffix = ".aside"

// IsAside reports whether a file was left by a WriteFile that did not end.
func IsAside(name string) bool { return filepath.Ext(name) == asideSuffix }

// WriteFile replaces a file durably: it is written aside, synced, renamed, and its directory synced. After a crash the name
// holds the old or the new content, never a part.
func WriteFile(disk FS, name string, content []byte) error {
	aside := name + asideSuffix
	file, err := disk.Create(aside)
	if err != nil {
		return err
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := disk.Rename(aside, name); err != nil {
		return err
	}
	return disk.SyncDir(filepath.Dir(name))
}

// OS is the file system of the machine.
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
