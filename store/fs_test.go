package store

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"maps"
	"os"
	"sync"
	"syscall"
	"time"
)

var errSync = errors.New("sync error")

// memFS is an FS in memory with a volatile and a durable state. Tests can make it full, fail a sync and crash it.
type memFS struct {
	mu      sync.Mutex
	names   map[string]*memFile
	durable map[string]*memFile
	// space is the number of bytes that may still be written; negative means no limit.
	space int64
	// refusal is the error of a write without space; ENOSPC if it is nil.
	refusal error
	// failSync and failDirSync make the next sync of a file and of the directory fail.
	failSync, failDirSync bool
	// onCreate and onOpen are called, without the lock, for each file created or opened; they may be nil.
	onCreate, onOpen func(name string)
}

type memFile struct {
	fs              *memFS
	content, synced []byte
}

func newMemFS() *memFS {
	return &memFS{names: map[string]*memFile{}, durable: map[string]*memFile{}, space: -1}
}

type memHandle struct {
	*memFile
	reader *bytes.Reader
}

func (m *memFS) Create(name string) (File, error) {
	if m.onCreate != nil {
		m.onCreate(name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] != nil {
		return nil, os.ErrExist
	}
	f := &memFile{fs: m}
	m.names[name] = f
	return memHandle{f, nil}, nil
}

func (m *memFS) Open(name string) (File, error) {
	if m.onOpen != nil {
		m.onOpen(name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return memHandle{f, bytes.NewReader(bytes.Clone(f.content))}, nil
}

func (m *memFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[from] == nil {
		return os.ErrNotExist
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] == nil {
		return os.ErrNotExist
	}
	delete(m.names, name)
	return nil
}

func (m *memFS) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failDirSync {
		m.failDirSync = false
		return errSync
	}
	m.durable = maps.Clone(m.names)
	return nil
}

func (m *memFS) List() ([]FileInfo, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []FileInfo
	for name, f := range m.names {
		list = append(list, FileInfo{Name: name, Size: int64(len(f.content)), ModTime: time.Unix(1, 0)})
	}
	return list, nil
}

// crash discards data that was not synced. keepName decides whether an unsynced change of a name survives, and keepBytes
// how many bytes of a file with unsynced content survive.
func (m *memFS) crash(keepName func() bool, keepBytes func(limit int) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := maps.Clone(m.durable)
	for name, f := range m.names {
		if m.durable[name] == nil && keepName() {
			after[name] = f
		}
	}
	for name := range m.durable {
		if m.names[name] == nil && keepName() {
			delete(after, name)
		}
	}
	for _, f := range after {
		if len(f.synced) < len(f.content) {
			f.content = f.content[:max(len(f.synced), keepBytes(len(f.content)))]
		}
		f.synced = f.content
	}
	m.names, m.durable = after, maps.Clone(after)
}

// change edits the content of all files.
func (m *memFS) change(edit func(content []byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.names {
		f.content = edit(bytes.Clone(f.content))
	}
}

func (m *memFS) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.names)
}

func (m *memFS) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

func (h memHandle) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	n := len(p)
	if h.fs.space >= 0 {
		n = int(min(h.fs.space, int64(n)))
		h.fs.space -= int64(n)
	}
	h.content = append(h.content, p[:n]...)
	if n < len(p) {
		return n, &os.PathError{Op: "write", Err: cmp.Or[error](h.fs.refusal, syscall.ENOSPC)}
	}
	return n, nil
}

func (h memHandle) Read(p []byte) (int, error) {
	if h.reader == nil {
		return 0, io.EOF
	}
	return h.reader.Read(p)
}

func (h memHandle) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.fs.failSync {
		h.fs.failSync = false
		return errSync
	}
	h.synced = bytes.Clone(h.content)
	return nil
}

func (h memHandle) Close() error { return nil }
