// Package wal implements the write-ahead log of a raft member: segments of checksummed records that hold entries, hard
// states and snapshot marks.
//
// Each Save writes one record and syncs once. A torn record at the end of the last segment is truncated at open, because
// its save was never acknowledged. Any other corruption makes Open fail with a *CorruptError. After a failed write or
// sync the state of the file is unknown, so all further calls fail with a *FailedError; the sync is never retried,
// because the kernel may have dropped the dirty pages of the failed one. Open writes the last record, which is the only
// one whose sync may have failed, once more in its place. A write or sync that a full disk refuses is the exception:
// what was written is removed again, the call fails with a *FullError, and it may be repeated.
//
// A Log is owned by one goroutine.
package wal

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Options of a Log.
type Options struct {
	// FS is the file system; default is that of the operating system.
	FS diskfs.FS
	// Dir is the directory of the segments. No other log may use it.
	Dir string
	// Group and MemberID identify the owner; segments of another owner are refused.
	Group    string
	MemberID uint64
	// SegmentBytes is the size at which a new segment is started; default 64 MiB.
	SegmentBytes int64
	// MustExist makes Open fail instead of creating a log. It is set if the member has other files: a lost log may have held votes.
	MustExist bool
}

// Contents is the data that Open read from a log.
type Contents struct {
	HardState *raftpb.HardState
	// Mark is the last snapshot mark, nil if there is none.
	Mark *raftpb.SnapshotMeta
	// Entries have consecutive indexes. They may begin before Mark.
	Entries []*raftpb.Entry
	// TruncatedBytes is the length of the torn tail that was truncated.
	TruncatedBytes int64
}

// Empty reports whether the log was never written.
func (c Contents) Empty() bool {
	return c.HardState == nil && c.Mark == nil && len(c.Entries) == 0
}

// CorruptError reports corruption that is not a torn record at the end of the log.
type CorruptError struct {
	Segment string
	Offset  int64
	Reason  string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("log segment %s is corrupt at byte %d: %s", e.Segment, e.Offset, e.Reason)
}

// Unwrap returns the failure class of the error.
func (e *CorruptError) Unwrap() error {
	return failure.New(failure.StorageFailed, failure.NotRun, "write-ahead log is corrupt")
}

// FailedError reports that this or an earlier write or sync failed. Whether the data is durable is unknown.
type FailedError struct {
	Operation string
	Cause     error
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("log is unusable after a failed %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause with its failure class.
func (e *FailedError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.StorageFailed, failure.Unknown, "write-ahead log %s", e.Operation)
}

// FullError reports that the disk had no room for a record. The log is as it was before the call.
type FullError struct{ Cause error }

func (e *FullError) Error() string {
	return fmt.Sprintf("no room for a record of the log: %v", e.Cause)
}

// Unwrap returns the cause with its failure class.
func (e *FullError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.StorageFailed, failure.Unknown, "write-ahead log write")
}

type segment struct {
	sequence uint64
	// last is the highest entry index in the segment or before it.
	last uint64
	// bytes is the length of a segment that is full; that of the newest one is Log.size.
	bytes int64
}

// Log is an open write-ahead log.
type Log struct {
	options  Options
	segments []segment
	// file is the newest segment, size its length in bytes.
	file diskfs.File
	size int64
	// last is the index of the last written entry.
	last uint64
	// hard and mark are the last written hard state and snapshot mark.
	hard   *raftpb.HardState
	mark   *raftpb.SnapshotMeta
	failed *FailedError
	// recordBytes is the length from which Save begins another record; only tests change it.
	recordBytes int
}

const (
	defaultSegmentBytes = 64 << 20
	// shortenedBytes is the size from which Shorten replaces the newest segment. A new one has some hundred bytes.
	shortenedBytes = 64 << 10
)

func (o *Options) setDefaults() {
	if o.FS == nil {
		o.FS = diskfs.OS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
}

func (o *Options) path(sequence uint64) string {
	return filepath.Join(o.Dir, fmt.Sprintf("%020d.wal", sequence))
}

// Save appends entries and the hard state and syncs them. An entry replaces earlier entries of the same and higher
// indexes.
func (l *Log) Save(hard *raftpb.HardState, entries []*raftpb.Entry) error {
	size, last, active := l.size, l.last, l.segments[len(l.segments)-1]
	err := l.save(hard, entries)
	if !errors.As(err, new(*FullError)) || l.size == size {
		return err
	}
	// The first records of a long save are taken back: each repetition of it would add them again.
	if truncated := l.options.FS.Truncate(l.options.path(active.sequence), size); truncated != nil {
		return l.fail("truncate", errors.Join(err, truncated))
	}
	l.size, l.last, l.segments[len(l.segments)-1] = size, last, active
	return err
}

func (l *Log) save(hard *raftpb.HardState, entries []*raftpb.Entry) error {
	var payload []byte
	var err error
	for _, e := range entries {
		if payload, err = appendItem(payload, itemEntry, e); err != nil {
			return err
		}
		if len(payload) >= l.recordBytes {
			if err = l.write(payload, e.GetIndex()); err != nil {
				return err
			}
			payload = nil
		}
	}
	if hard != nil {
		if payload, err = appendItem(payload, itemHardState, hard); err != nil {
			return err
		}
	}
	last := l.last
	if k := len(entries); k > 0 {
		last = entries[k-1].GetIndex()
	}
	if err = l.write(payload, last); err != nil {
		return err
	}
	if hard != nil {
		l.hard = hard
	}
	return l.rotateIfFull()
}

// Mark records that the snapshot meta is durable. With reset set, the snapshot came from another member and invalidates
// all entries of the log.
func (l *Log) Mark(meta *raftpb.SnapshotMeta, reset bool) error {
	kind := itemMark
	last := l.last
	if reset {
		kind, last = itemReset, meta.GetIndex()
	}
	payload, err := appendItem(nil, kind, meta)
	if err != nil {
		return err
	}
	if err := l.write(payload, last); err != nil {
		return err
	}
	l.mark = meta
	// A segment that has its size goes on if there was no room for the next one. No Save may follow, because commands are refused while the
	// log is too long.
	return l.rotateIfFull()
}

// DropBefore removes the segments whose entries are all at or below index. The newest segment is always kept.
func (l *Log) DropBefore(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	dropped := 0
	for dropped < len(l.segments)-1 && l.segments[dropped].last <= index {
		if err := l.options.FS.Remove(l.options.path(l.segments[dropped].sequence)); err != nil {
			return l.fail("remove", err)
		}
		// Removals become durable from the oldest segment on, so that a crash never leaves a gap.
		if err := l.options.FS.SyncDir(l.options.Dir); err != nil {
			return l.fail("directory sync", err)
		}
		dropped++
	}
	l.segments = l.segments[dropped:]
	return nil
}

// Shorten is DropBefore for a disk with little room: if the newest segment is superfluous too, it starts a new one first.
func (l *Log) Shorten(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	if l.segments[len(l.segments)-1].last <= index && l.size >= shortenedBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	return l.DropBefore(index)
}

// Segments returns the number of segments.
func (l *Log) Segments() int { return len(l.segments) }

// Bytes returns the length of all segments.
func (l *Log) Bytes() int64 {
	total := l.size
	for _, s := range l.segments[:max(0, len(l.segments)-1)] {
		total += s.bytes
	}
	return total
}

// Close closes the newest segment.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	if l.failed == nil {
		l.failed = &FailedError{Operation: "close", Cause: failure.New(failure.Draining, failure.NotRun, "the write-ahead log is closed")}
	}
	if err != nil {
		return &FailedError{Operation: "close", Cause: err}
	}
	return nil
}

// write appends one record and syncs it.
func (l *Log) write(payload []byte, last uint64) error {
	if l.failed != nil {
		return l.failed
	}
	active := &l.segments[len(l.segments)-1]
	record := encodeRecord(active.sequence, l.size, payload)
	if _, err := l.file.Write(record); err != nil {
		return l.refused("write", err)
	}
	if err := l.file.Sync(); err != nil {
		return l.refused("sync", err)
	}
	l.size += int64(len(record))
	l.last = last
	active.last = max(active.last, last)
	return nil
}

// refused removes what a full disk has taken of a record, so that it can be written again. A sync may be the first to say that the disk is full;
// it is not repeated, since the record is new data then. After any other error the log is unusable.
func (l *Log) refused(operation string, cause error) error {
	if !diskfs.IsFull(cause) {
		return l.fail(operation, cause)
	}
	active := l.segments[len(l.segments)-1]
	if err := l.options.FS.Truncate(l.options.path(active.sequence), l.size); err != nil {
		return l.fail("truncate", errors.Join(cause, err))
	}
	return &FullError{Cause: cause}
}

func (l *Log) fail(operation string, cause error) error {
	l.failed = &FailedError{Operation: operation, Cause: cause}
	return l.failed
}

// rotateIfFull starts a new segment if the newest one has its size.
func (l *Log) rotateIfFull() error {
	if l.size < l.options.SegmentBytes {
		return nil
	}
	return l.rotate()
}

// rotate starts a new segment. Without room for it the newest one goes on.
func (l *Log) rotate() error {
	full, size, file := len(l.segments)-1, l.size, l.file
	sequence := l.segments[full].sequence + 1
	err := l.startSegment(sequence)
	if errors.As(err, new(*FullError)) {
		return l.discardSegment(sequence, file, size)
	}
	if err != nil {
		return err
	}
	l.segments[full].bytes = size
	if err := file.Close(); err != nil {
		return l.fail("close", err)
	}
	return nil
}

// discardSegment removes a segment that could not be started, and goes on with the one before it. The removal has to be durable first:
// the header of the removed segment would set the hard state back.
func (l *Log) discardSegment(sequence uint64, file diskfs.File, size int64) error {
	if l.file != file {
		if err := l.file.Close(); err != nil {
			return l.fail("close", err)
		}
		if err := l.options.FS.Remove(l.options.path(sequence)); err != nil {
			return l.fail("remove", err)
		}
		if err := l.options.FS.SyncDir(l.options.Dir); err != nil {
			return l.fail("directory sync", err)
		}
		l.segments = l.segments[:len(l.segments)-1]
	}
	l.file, l.size = file, size
	return nil
}

// startSegment creates a segment that begins with the owner and the current hard state and mark, so that it does not
// depend on older segments, which can then be removed.
func (l *Log) startSegment(sequence uint64) error {
	file, err := l.options.FS.Create(l.options.path(sequence))
	if diskfs.IsFull(err) {
		return &FullError{Cause: err}
	}
	if err != nil {
		return l.fail("create", err)
	}
	l.file, l.size = file, 0
	l.segments = append(l.segments, segment{sequence: sequence, last: l.last})
	payload, err := l.segmentHeader()
	if err != nil {
		return err
	}
	if err := l.write(payload, l.last); err != nil {
		return err
	}
	if err := l.options.FS.SyncDir(l.options.Dir); err != nil {
		return l.fail("directory sync", err)
	}
	return nil
}

func (l *Log) segmentHeader() ([]byte, error) {
	// The owner is stored as a raftpb.Message with only Group and From set.
	owner := &raftpb.Message{Group: l.options.Group, From: l.options.MemberID}
	payload, err := appendItem(nil, itemHeader, owner)
	if err == nil && l.hard != nil {
		payload, err = appendItem(payload, itemHardState, l.hard)
	}
	if err == nil && l.mark != nil {
		payload, err = appendItem(payload, itemMark, l.mark)
	}
	return payload, err
}
