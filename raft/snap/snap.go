// Package snap stores the snapshots of a raft member: one checksummed file per snapshot, written to a temporary file,
// synced, renamed and made durable by a directory sync. The two newest are kept; the newest valid one is used.
package snap

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Format of a file: magic (8 bytes), length of the metadata (4, little-endian), metadata (protobuf SnapshotMeta), data,
// blake3 checksum of everything before it (32).
const (
	fileMagic     = "WSNAPv1\n"
	lengthBytes   = 4
	checksumBytes = 32
	suffix        = ".snap"
)

// retainedSnapshots is the number of snapshots kept on disk: the newest, and one more in case the newest is corrupt.
const retainedSnapshots = 2

// Snapshot is the state of a state machine after applying the entry Meta.Index.
type Snapshot struct {
	Meta *raftpb.SnapshotMeta
	Data []byte
}

// Store manages a directory of snapshots. It is safe for concurrent use. Store.mu is a leaf lock: no other lock is
// acquired while it is held.
type Store struct {
	fs  diskfs.FS
	dir string
	// mu serializes all accesses to the directory.
	mu sync.Mutex
}

// Open returns the store of a directory and removes temporary files of unfinished saves. If fs is nil, it uses the file
// system of the operating system.
func Open(fs diskfs.FS, dir string) (*Store, error) {
	if fs == nil {
		fs = diskfs.OS{}
	}
	s := &Store{fs: fs, dir: dir}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, storageError(err, "create the directory of")
	}
	names, err := fs.List(dir)
	if err != nil {
		return nil, storageError(err, "list")
	}
	for _, name := range names {
		if diskfs.IsTemp(name) {
			if err := fs.Remove(filepath.Join(dir, name)); err != nil {
				return nil, storageError(err, "clean up")
			}
		}
	}
	// The last Save may have ended before its snapshot had a durable name. Entries that follow it count from now on.
	if err := fs.SyncDir(dir); err != nil {
		return nil, storageError(err, "sync the directory of")
	}
	return s, nil
}

func storageError(cause error, operation string) error {
	return failure.Wrap(cause, failure.StorageFailed, failure.Unknown, "%s snapshots", operation)
}

// Save stores a snapshot durably and removes all but the two newest. It refuses a snapshot that is not newer than the
// newest valid one.
func (s *Store) Save(snapshot Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest, err := s.newest()
	if err != nil {
		return err
	}
	if newest != nil && newest.Meta.GetIndex() >= snapshot.Meta.GetIndex() {
		return failure.New(failure.VersionConflict, failure.NotRun, "snapshot %d is not newer than %d", snapshot.Meta.GetIndex(), newest.Meta.GetIndex())
	}
	content, err := encode(snapshot)
	if err != nil {
		return err
	}
	if err := diskfs.WriteFile(s.fs, s.path(snapshot.Meta.GetIndex()), content); err != nil {
		return storageError(err, "write")
	}
	return s.removeOld()
}

// Confirm reports whether the newest valid snapshot was taken at index, and makes its name durable if so: a Save that failed in its last step
// leaves a readable snapshot, and refuses to store it again.
func (s *Store) Confirm(index uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest, err := s.newest()
	if err != nil || newest == nil || newest.Meta.GetIndex() != index {
		return false, err
	}
	if err = s.fs.SyncDir(s.dir); err != nil {
		return false, storageError(err, "sync the directory of")
	}
	return true, nil
}

func (s *Store) path(index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%020d%s", index, suffix))
}

func (s *Store) removeOld() error {
	indexes, err := s.indexes()
	if err != nil {
		return err
	}
	return s.remove(indexes[min(retainedSnapshots, len(indexes)):])
}

// DropOld removes all snapshots but the newest valid one, to make room on a full disk. It syncs the directory first, because a Save that
// failed in its last step leaves a readable snapshot that a crash may remove.
func (s *Store) DropOld() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fs.SyncDir(s.dir); err != nil {
		return storageError(err, "sync the directory of")
	}
	newest, err := s.newest()
	if err != nil || newest == nil {
		return err
	}
	indexes, err := s.indexes()
	if err != nil {
		return err
	}
	return s.remove(slices.DeleteFunc(indexes, func(index uint64) bool { return index == newest.Meta.GetIndex() }))
}

func (s *Store) remove(indexes []uint64) error {
	for _, index := range indexes {
		if err := s.fs.Remove(s.path(index)); err != nil {
			return storageError(err, "remove old")
		}
	}
	return nil
}

// indexes returns the indexes of all files, newest first.
func (s *Store) indexes() ([]uint64, error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return nil, storageError(err, "list")
	}
	var indexes []uint64
	for _, name := range names {
		var index uint64
		if _, err := fmt.Sscanf(name, "%020d"+suffix, &index); err == nil && strings.HasSuffix(name, suffix) {
			indexes = append([]uint64{index}, indexes...)
		}
	}
	return indexes, nil
}

// Newest returns the newest valid snapshot, nil if there is none. Corrupt files are skipped.
func (s *Store) Newest() (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest()
}

func (s *Store) newest() (*Snapshot, error) {
	indexes, err := s.indexes()
	if err != nil {
		return nil, err
	}
	for _, index := range indexes {
		if snapshot, err := s.read(index); err == nil {
			return snapshot, nil
		}
	}
	return nil, nil
}

// Load returns the snapshot taken at index.
func (s *Store) Load(index uint64) (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(index)
}

// Oldest returns the index of the oldest stored snapshot, or 0 if there are fewer than two. No stored snapshot needs the
// log entries up to this index.
func (s *Store) Oldest() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	indexes, err := s.indexes()
	if err != nil || len(indexes) < retainedSnapshots {
		return 0, err
	}
	return indexes[len(indexes)-1], nil
}

func (s *Store) read(index uint64) (*Snapshot, error) {
	content, err := s.fs.ReadFile(s.path(index))
	if err != nil {
		return nil, storageError(err, "read")
	}
	snapshot, err := decode(content)
	if err != nil {
		return nil, err
	}
	if snapshot.Meta.GetIndex() != index {
		return nil, corruptError("file of index %[2]d holds index %[1]d", snapshot.Meta.GetIndex(), index)
	}
	return snapshot, nil
}

func corruptError(format string, args ...any) error {
	return failure.New(failure.StorageFailed, failure.NotRun, "corrupt snapshot: "+format, args...)
}

func encode(snapshot Snapshot) ([]byte, error) {
	meta, err := proto.Marshal(snapshot.Meta)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode a snapshot")
	}
	content := make([]byte, 0, len(fileMagic)+lengthBytes+len(meta)+len(snapshot.Data)+checksumBytes)
	content = append(content, fileMagic...)
	content = binary.LittleEndian.AppendUint32(content, uint32(len(meta)))
	content = append(content, meta...)
	content = append(content, snapshot.Data...)
	sum := blake3.Sum256(content)
	return append(content, sum[:]...), nil
}

func decode(content []byte) (*Snapshot, error) {
	fixed := len(fileMagic) + lengthBytes
	if len(content) < fixed+checksumBytes || !bytes.HasPrefix(content, []byte(fileMagic)) {
		return nil, corruptError("header missing")
	}
	body := content[:len(content)-checksumBytes]
	if sum := blake3.Sum256(body); !bytes.Equal(sum[:], content[len(body):]) {
		return nil, corruptError("checksum mismatch")
	}
	length := int64(binary.LittleEndian.Uint32(body[len(fileMagic):]))
	if length > int64(len(body)-fixed) {
		return nil, corruptError("invalid metadata length")
	}
	meta := &raftpb.SnapshotMeta{}
	if err := proto.Unmarshal(body[fixed:int64(fixed)+length], meta); err != nil {
		return nil, corruptError("invalid metadata")
	}
	return &Snapshot{Meta: meta, Data: body[int64(fixed)+length:]}, nil
}
