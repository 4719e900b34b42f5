package replica

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

const (
	// roomAge is how long the free room of the file system is believed. Others may take it at any time, and asking is a system call.
	roomAge = 50 * time.Millisecond
	// roomReserve is left beside the next snapshot, for votes, marks, the heads of records and files, and what sets of weights add to a state.
	roomReserve = 64 << 10
)

// room is the free room of the file system when it was last asked. The loop owns it.
type room struct {
	free  int64
	known bool
	// logBytes is the size of the log at askedAt. What it has grown since is no longer free.
	logBytes int64
	askedAt  time.Time
}

// commandSizes holds the largest command since the last snapshot and since the one before: a snapshot that is being written does not
// include the newest commands.
type commandSizes struct{ current, previous int64 }

func (s *commandSizes) add(bytes int64) { s.current = max(s.current, bytes) }

func (s *commandSizes) snapshotSaved() { s.current, s.previous = 0, s.current }

// freeBytes returns the free room of the file system, less what the log has grown since it was asked, and false if it is unknown.
func (r *Replica) freeBytes() (int64, bool) {
	if r.room.askedAt.IsZero() || time.Since(r.room.askedAt) >= roomAge || r.storage.wal.Bytes() < r.room.logBytes {
		space, known := diskfs.SpaceOf(r.options.FS, r.options.Dir)
		r.room = room{free: space.Free, known: known, logBytes: r.storage.wal.Bytes(), askedAt: time.Now()}
	}
	return r.room.free - (r.storage.wal.Bytes() - r.room.logBytes), r.room.known
}

// nextSnapshotBytes returns the expected size of the next snapshot, whose temporary file is written beside all other files. A command may
// replace the whole state by a larger one.
func (r *Replica) nextSnapshotBytes() int64 {
	return max(r.snapshotBytes.Load(), r.commandSizes.current, r.commandSizes.previous)
}

// hasRoomFor reports whether the file system has room for bytes more of the log, after those that are not saved yet, and then for the next
// snapshot. Without that snapshot nothing shortens the log any more.
func (r *Replica) hasRoomFor(bytes int64) bool {
	free, known := r.freeBytes()
	return !known || free-r.unsavedBytes-bytes >= max(bytes, r.nextSnapshotBytes())+roomReserve
}

// makeRoomFor is hasRoomFor after the removal of what the newest snapshot makes superfluous, if it takes that.
func (r *Replica) makeRoomFor(bytes int64) bool {
	if r.hasRoomFor(bytes) {
		return true
	}
	// The store of snapshots is locked while one is written, which may take long on a slow disk.
	if r.freedIndex >= r.savedIndex || r.saving.Load() {
		return false
	}
	r.freedIndex = r.savedIndex
	// An error of the log is returned by its next use, and one of the snapshots by the next save.
	_ = r.awaitDisk(r.freeRoom)
	return r.hasRoomFor(bytes)
}

// freeRoom removes what the newest snapshot makes superfluous.
func (r *Replica) freeRoom() error {
	before := r.storage.wal.Bytes()
	r.room.askedAt = time.Time{}
	if err := r.storage.dropSuperfluous(); err != nil {
		return err
	}
	if freed := before - r.storage.wal.Bytes(); freed > 0 {
		r.log.Info("raft log compacted", zap.Int64("bytes", freed), r.logBytes(), r.lastSnapshotBytes())
	}
	return nil
}

// addUnsaved counts a command that the core has taken.
func (r *Replica) addUnsaved(bytes int64) {
	r.unsavedBytes += bytes
	r.commandSizes.add(bytes)
}

// acceptedEntries returns how many entries of a message of the leader are taken. The others are dropped as if the network had lost them: their
// leader has other disks, and its own snapshots may be faster, so its entries would take the room of the snapshot that shortens this log. The
// member goes on answering heartbeats and votes, also where no snapshot will make room: a group whose followers wait has no leader, and nobody
// can read.
func (r *Replica) acceptedEntries(entries []*raftpb.Entry) int {
	if len(entries) == 0 {
		return 0
	}
	s := r.node.Status()
	shortens := !r.snapshotFailed.Load() && s.Applied > r.savedIndex
	if shortens && r.logIsTooLong() {
		r.requestSnapshot()
		return 0
	}
	if !r.snapshotFailed.Load() && r.freedIndex < r.savedIndex && r.logIsTooLong() {
		// shortenLog will shorten it.
		return 0
	}
	size, count := int64(0), 0
	for _, e := range entries {
		if e.GetType() == raftpb.EntryType_ENTRY_COMMAND && !r.node.Holds(e) {
			size += int64(len(e.GetData()))
		}
		if size > 0 && (!r.makeRoomFor(size) || r.exceedsLogLimit(r.unsavedBytes+size)) {
			break
		}
		count++
	}
	if count == 0 {
		r.requestSnapshot()
	}
	return count
}

// lacksRoomFor reports whether a follower has no room for the commands of one sync and the next snapshot, and no snapshot will make any. A
// leader refuses commands before. Entries without commands fit into the reserve: without them a group has no leader, and nobody can read.
func (r *Replica) lacksRoomFor(entries []*raftpb.Entry) bool {
	commands := slices.DeleteFunc(slices.Clone(entries), func(e *raftpb.Entry) bool { return e.GetType() != raftpb.EntryType_ENTRY_COMMAND })
	s := r.node.Status()
	if len(commands) == 0 || s.Role == raft.Leader || r.saving.Load() || !r.snapshotFailed.Load() && s.Applied > r.savedIndex {
		return false
	}
	free, known := r.freeBytes()
	return known && free-dataBytes(commands) < r.nextSnapshotBytes()+roomReserve
}

func dataBytes(entries []*raftpb.Entry) (size int64) {
	for _, e := range entries {
		size += int64(len(e.GetData()))
	}
	return size
}
