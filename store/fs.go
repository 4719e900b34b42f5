package store

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// FS is the directory that holds piece files. Names are plain file names.
type FS interface {
	// Create creates a file and fails if the name exists.
	Create(name string) (File, error)
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
	List() ([]FileInfo, error)
}

// File is an open file of an FS.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	// Sync makes the content durable. After an error the state of the content is unknown.
	Sync() error
}

// FileInfo is one file of an FS.
type FileInfo struct {
	Name    string
	Size    int64
	ModTime time.Time
}

// DirFS implements FS in a directory of the operating system.
type DirFS struct {
	path string
}

// NewDirFS returns the FS of a directory and creates the directory if it is missing.
func NewDirFS(path string) (*DirFS, error) {
	if err := errors.Join(os.MkdirAll(path, 0o750), syncDir(filepath.Dir(path))); err != nil {
		return nil, diskError(err, "create directory of")
	}
	return &DirFS{path: path}, nil
}

// Create creates a file and fails if the name exists.
func (d *DirFS) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
}

// Open opens a file for reading.
func (d *DirFS) Open(name string) (File, error) { return os.Open(filepath.Join(d.path, name)) }

// Rename renames a file.
func (d *DirFS) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

// Remove removes a file.
func (d *DirFS) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

// Sync syncs the directory.
func (d *DirFS) Sync() error { return syncDir(d.path) }

// List returns the regular files.
func (d *DirFS) List() ([]FileInfo, error) {
	listed, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	files := make([]FileInfo, 0, len(listed))
	for _, entry := range listed {
		info, err := entry.Info()
		if errors.Is(err, fs.ErrNotExist) || err == nil && !info.Mode().IsRegular() {
			continue
		}
		if err != nil {
			return nil, err
		}
		files = append(files, FileInfo{Name: entry.Name(), Size: info.Size(), ModTime: info.ModTime()})
	}
	return files, nil
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
