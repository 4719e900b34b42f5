// Package hangdisk is a file system for tests whose writes and syncs hang on demand.
package hangdisk

import (
	"sync"
	"sync/atomic"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
)

// Disk is the operating system's file system, which hangs between a call of Hang and its release.
type Disk struct {
	diskfs.OS
	gate    atomic.Pointer[chan struct{}]
	waiting chan struct{}
	once    sync.Once
}

type file struct {
	diskfs.File
	disk *Disk
}

// New returns a Disk that does not hang.
func New() *Disk { return &Disk{waiting: make(chan struct{})} }

// Hang makes writes and syncs wait until release is called. release may be called more than once.
func (d *Disk) Hang() (release func()) {
	gate := make(chan struct{})
	d.gate.Store(&gate)
	return sync.OnceFunc(func() {
		d.gate.Store(nil)
		close(gate)
	})
}

// Waiting returns a channel that is closed when a write or sync waits for the first time.
func (d *Disk) Waiting() <-chan struct{} { return d.waiting }

func (d *Disk) await() {
	if gate := d.gate.Load(); gate != nil {
		d.once.Do(func() { close(d.waiting) })
		<-*gate
	}
}

// Create implements diskfs.FS.
func (d *Disk) Create(name string) (diskfs.File, error) {
	f, err := d.OS.Create(name)
	return &file{f, d}, err
}

// Append implements diskfs.FS.
func (d *Disk) Append(name string) (diskfs.File, error) {
	f, err := d.OS.Append(name)
	return &file{f, d}, err
}

func (f *file) Write(data []byte) (int, error) {
	f.disk.await()
	return f.File.Write(data)
}

func (f *file) Sync() error {
	f.disk.await()
	return f.File.Sync()
}
