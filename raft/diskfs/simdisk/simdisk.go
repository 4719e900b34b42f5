// Package simdisk simulates a disk for tests. It tracks which data is synced, so that a simulated crash can lose any part
// of the unsynced data, and it injects full disks and failed syncs.
package simdisk

import (
	"cmp"
	"io/fs"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
)

// Disk implements diskfs.FS. Disk.mu is a leaf lock: no other lock is acquired while it is held.
type Disk struct {
	mu    sync.Mutex
	names map[string]*inode
	// durable holds the names that survive a crash.
	durable map[string]*inode
	// epoch counts crashes; files opened before the last one are closed.
	epoch int
	// syncs counts successful syncs of files.
	syncs int
	// space is the number of bytes that can still be written, negative for no limit.
	space int
	// capacity limits the size of all files together, 0 for no limit.
	capacity int
	// refusal is the error of a write without room, ENOSPC if it is nil.
	refusal  error
	failSync error
	// lateRefusal makes a full disk refuse syncs instead of writes.
	lateRefusal bool
	// failNames is the error of SyncDir by directory.
	failNames map[string]error
}

var _ diskfs.FS = (*Disk)(nil)

// New returns an empty disk without a size limit.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, space: -1}
}

// SetSpace limits the bytes that can still be written; a negative number means no limit.
func (d *Disk) SetSpace(bytes int) { d.locked(func() { d.space = bytes }) }

// SetCapacity limits the size of all files together; 0 means no limit. Removed files give their room back.
func (d *Disk) SetCapacity(bytes int) { d.locked(func() { d.capacity = bytes }) }

// RefuseWith sets the error of writes without room; nil means ENOSPC.
func (d *Disk) RefuseWith(err error) { d.locked(func() { d.refusal = err }) }

// RefuseLate makes a disk without room accept writes and refuse their sync, as one that allocates blocks late does.
func (d *Disk) RefuseLate(late bool) { d.locked(func() { d.lateRefusal = late }) }

// FailNames makes SyncDir of one directory fail with err until it is called with nil. Names that were not synced can be read.
func (d *Disk) FailNames(dir string, err error) {
	d.locked(func() { d.failNames = map[string]error{filepath.Clean(dir): err} })
}

// noRoom returns the error of a write without room. The caller holds d.mu.
func (d *Disk) noRoom() error {
	if d.refusal != nil {
		return d.refusal
	}
	return syscall.ENOSPC
}

// Used returns the size of all files.
func (d *Disk) Used() (bytes int) {
	d.locked(func() { bytes = d.used() })
	return bytes
}

// used returns the size of all files. The caller holds d.mu.
func (d *Disk) used() (bytes int) {
	for _, f := range d.names {
		bytes += len(f.data)
	}
	return bytes
}

// room returns how many of n bytes can be written. The caller holds d.mu.
func (d *Disk) room(n int) int {
	if d.capacity > 0 && !d.lateRefusal {
		n = min(n, max(0, d.capacity-d.used()))
	}
	if d.space >= 0 {
		n = min(n, d.space)
		d.space -= n
	}
	return n
}

// FailSync makes syncs fail with err until it is called with nil. As on a real disk, the data of a failed sync can be
// read back although it is not durable, and later syncs do not write it.
func (d *Disk) FailSync(err error) { d.locked(func() { d.failSync = err }) }

// Syncs returns the number of successful syncs of files.
func (d *Disk) Syncs() (count int) {
	d.locked(func() { count = d.syncs })
	return count
}

// Corrupt inverts one byte of a file, also in its durable content.
func (d *Disk) Corrupt(name string, offset int) {
	d.locked(func() {
		f := d.names[name]
		f.data = slices.Clone(f.data)
		f.data[offset] ^= 0xff
		f.synced = slices.Clone(f.data)
	})
}

// Crash drops the names that were not made durable by SyncDir and a random part of the unsynced data.
func (d *Disk) Crash(random *rand.Rand) {
	d.locked(func() {
		d.epoch++
		names := map[string]*inode{}
		for _, name := range sortedNames(d.durable) {
			f := d.durable[name]
			f.data = dataAfterCrash(f, random)
			f.synced, f.dropped = slices.Clone(f.data), nil
			names[name] = f
		}
		d.names = names
		d.durable = copyNames(names)
		d.failSync, d.failNames = nil, nil
	})
}

// Clone returns a copy of the disk, to which what happens to this one does not happen.
func (d *Disk) Clone() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	copies := map[*inode]*inode{}
	cloneNames := func(m map[string]*inode) map[string]*inode {
		c := make(map[string]*inode, len(m))
		for name, f := range m {
			if copies[f] == nil {
				copies[f] = &inode{data: slices.Clone(f.data), synced: slices.Clone(f.synced), dropped: slices.Clone(f.dropped)}
			}
			c[name] = copies[f]
		}
		return c
	}
	return &Disk{
		names: cloneNames(d.names), durable: cloneNames(d.durable), epoch: d.epoch, space: d.space, capacity: d.capacity, lateRefusal: d.lateRefusal,
	}
}

func (d *Disk) locked(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
}

func sortedNames(m map[string]*inode) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func copyNames(m map[string]*inode) map[string]*inode {
	c := make(map[string]*inode, len(m))
	for name, f := range m {
		c[name] = f
	}
	return c
}

type file struct {
	disk  *Disk
	inode *inode
	epoch int
}

func (f *file) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return 0, fs.ErrClosed
	}
	n := f.disk.room(len(data))
	f.inode.data = append(f.inode.data, data[:n]...)
	if n < len(data) {
		return n, f.disk.noRoom()
	}
	return n, nil
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	switch {
	case f.epoch != f.disk.epoch:
		return fs.ErrClosed
	}
	return f.disk.sync(f.inode)
}

// sync makes the content of a file durable. The caller holds d.mu.
func (d *Disk) sync(f *inode) error {
	err := d.failSync
	if late := d.lateRefusal && d.capacity > 0 && d.used() > d.capacity && len(f.data) > len(f.synced); err == nil && late {
		err = d.noRoom()
	}
	if err != nil {
		f.drop()
		return err
	}
	f.synced = f.writable()
	d.syncs++
	return nil
}

func (f *file) Close() error { return nil }

// MkdirAll implements diskfs.FS. Directories are not simulated.
func (d *Disk) MkdirAll(string) error { return nil }

// Create implements diskfs.FS.
func (d *Disk) Create(name string) (diskfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.space == 0 || d.capacity > 0 && !d.lateRefusal && d.used() >= d.capacity {
		return nil, d.noRoom()
	}
	f := &inode{}
	d.names[name] = f
	return &file{disk: d, inode: f, epoch: d.epoch}, nil
}

// Append implements diskfs.FS.
func (d *Disk) Append(name string) (diskfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &file{disk: d, inode: f, epoch: d.epoch}, nil
}

// ReadFile implements diskfs.FS.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

// Rename implements diskfs.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = f
	return nil
}

// Remove implements diskfs.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.names[name]; !ok {
		return fs.ErrNotExist
	}
	delete(d.names, name)
	return nil
}

// Truncate implements diskfs.FS.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.names[name]
	if !ok {
		return fs.ErrNotExist
	}
	f.data = slices.Clone(f.data[:size])
	f.clip(int(size), math.MaxInt)
	if len(f.synced) > int(size) {
		f.synced = slices.Clone(f.synced[:size])
	}
	return d.sync(f)
}

// Overwrite implements diskfs.FS. It needs no room.
func (d *Disk) Overwrite(name string, offset int64, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.names[name]
	if !ok {
		return fs.ErrNotExist
	}
	f.overwrite(int(offset), data)
	err := d.sync(f)
	if err != nil {
		f.dropOverwritten(int(offset), int(offset)+len(data))
	}
	return err
}

// List implements diskfs.FS.
func (d *Disk) List(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, name := range sortedNames(d.names) {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

// SyncDir implements diskfs.FS. It makes the current names of the directory durable.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := cmp.Or(d.failSync, d.failNames[filepath.Clean(dir)]); err != nil {
		return err
	}
	for name := range d.durable {
		if filepath.Dir(name) == filepath.Clean(dir) && d.names[name] == nil {
			delete(d.durable, name)
		}
	}
	for name, f := range d.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			d.durable[name] = f
		}
	}
	return nil
}
