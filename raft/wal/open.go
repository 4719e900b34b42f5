package wal

import (
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Open reads the log in a directory, or creates an empty one, and truncates a torn tail.
func Open(options Options) (*Log, Contents, error) {
	options.setDefaults()
	l := &Log{options: options, recordBytes: maxItemBytes}
	if err := options.FS.MkdirAll(options.Dir); err != nil {
		return nil, Contents{}, l.fail("create directory", err)
	}
	sequences, err := l.listSegments()
	if err != nil {
		return nil, Contents{}, err
	}
	r := &reader{log: l}
	for i, sequence := range sequences {
		if err := r.readSegment(sequence, i == len(sequences)-1); err != nil {
			return nil, Contents{}, err
		}
	}
	if options.MustExist && !r.owned {
		return nil, Contents{}, failure.New(failure.StorageFailed, failure.NotRun, "the log, which may have held votes, is missing")
	}
	l.hard, l.mark, l.last = r.contents.HardState, r.contents.Mark, r.last()
	if err := r.openTail(); err != nil {
		if l.file != nil {
			err = errors.Join(err, l.file.Close())
		}
		return nil, Contents{}, err
	}
	return l, r.contents, nil
}

func (l *Log) listSegments() ([]uint64, error) {
	names, err := l.options.FS.List(l.options.Dir)
	if err != nil {
		return nil, l.fail("list", err)
	}
	var sequences []uint64
	for _, name := range names {
		var sequence uint64
		if _, err := fmt.Sscanf(name, "%020d.wal", &sequence); err != nil {
			continue
		}
		if k := len(sequences); k > 0 && sequences[k-1]+1 != sequence {
			return nil, &CorruptError{Segment: name, Reason: "a segment before it is missing"}
		}
		sequences = append(sequences, sequence)
	}
	slices.Sort(sequences)
	return sequences, nil
}

// reader collects the contents of the segments in order.
type reader struct {
	log      *Log
	contents Contents
	// owned is set once the header of a segment has named this member.
	owned bool
	// tail is the offset in the newest segment after its last valid record.
	tail int64
	// lastRecord is the last valid record of the log.
	lastRecord []byte
}

func (r *reader) last() uint64 {
	if k := len(r.contents.Entries); k > 0 {
		return r.contents.Entries[k-1].GetIndex()
	}
	return r.contents.Mark.GetIndex()
}

func (r *reader) readSegment(sequence uint64, newest bool) error {
	name := r.log.options.path(sequence)
	data, err := r.log.options.FS.ReadFile(name)
	if err != nil {
		return r.log.fail("read", err)
	}
	r.log.segments = append(r.log.segments, segment{sequence: sequence, last: r.last(), bytes: int64(len(data))})
	r.tail = 0
	for r.tail < int64(len(data)) {
		payload, ok := decodeRecord(sequence, data, r.tail)
		if !ok {
			return r.tornTail(name, sequence, data, newest)
		}
		if err := eachItem(payload, r.readItem); err != nil {
			return &CorruptError{Segment: name, Offset: r.tail, Reason: err.Error()}
		}
		end := r.tail + headerBytes + int64(len(payload))
		r.lastRecord = data[r.tail:end]
		r.tail = end
	}
	if r.tail == 0 && !newest {
		return &CorruptError{Segment: name, Reason: "segment is empty"}
	}
	return nil
}

// tornTail accepts an invalid record only at the very end of the log: each record is synced before the next one is
// written, so a crash can damage only the last one.
func (r *reader) tornTail(name string, sequence uint64, data []byte, newest bool) error {
	if !newest || findRecord(sequence, data, r.tail+1) {
		return &CorruptError{Segment: name, Offset: r.tail, Reason: "invalid record before the end of the log"}
	}
	r.contents.TruncatedBytes = int64(len(data)) - r.tail
	return nil
}

func (r *reader) readItem(kind itemKind, data []byte) error {
	switch kind {
	case itemEntry:
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(data, e); err != nil {
			return err
		}
		return r.addEntry(e)
	case itemHardState:
		r.contents.HardState = &raftpb.HardState{}
		return proto.Unmarshal(data, r.contents.HardState)
	case itemMark, itemReset:
		r.contents.Mark = &raftpb.SnapshotMeta{}
		if kind == itemReset {
			r.contents.Entries = nil
		}
		return proto.Unmarshal(data, r.contents.Mark)
	case itemHeader:
		r.owned = true
		return r.checkOwner(data)
	}
	return failure.New(failure.StorageFailed, failure.NotRun, "unknown item kind %d", kind)
}

func (r *reader) checkOwner(data []byte) error {
	owner := &raftpb.Message{}
	if err := proto.Unmarshal(data, owner); err != nil {
		return err
	}
	o := r.log.options
	if owner.GetGroup() != o.Group || owner.GetFrom() != o.MemberID {
		return failure.New(failure.StorageFailed, failure.NotRun,
			"log belongs to member %d of group %q, this is member %d of group %q", owner.GetFrom(), owner.GetGroup(), o.MemberID, o.Group)
	}
	return nil
}

func (r *reader) addEntry(e *raftpb.Entry) error {
	entries := r.contents.Entries
	if k := len(entries); k > 0 {
		first := entries[0].GetIndex()
		if e.GetIndex() > first+uint64(k) {
			return failure.New(failure.StorageFailed, failure.NotRun, "entry %d follows entry %d", e.GetIndex(), first+uint64(k)-1)
		}
		// An entry at or before the first one replaces all entries.
		entries = entries[:max(int(e.GetIndex())-int(first), 0)]
	}
	r.contents.Entries = append(entries, e)
	active := &r.log.segments[len(r.log.segments)-1]
	active.last = max(active.last, e.GetIndex())
	return nil
}

// openTail truncates the torn tail and opens the newest segment for appending. A segment without a valid record has no header. It is removed,
// durably before the log goes on with the one before it; the first one is created again, for which a full disk may have no room.
func (r *reader) openTail() error {
	l := r.log
	if len(l.segments) == 0 {
		return l.startSegment(1)
	}
	active := l.segments[len(l.segments)-1]
	name := l.options.path(active.sequence)
	if r.tail == 0 {
		l.segments = l.segments[:len(l.segments)-1]
		if len(l.segments) == 0 {
			return l.startSegment(active.sequence)
		}
		if err := errors.Join(l.options.FS.Remove(name), l.options.FS.SyncDir(l.options.Dir)); err != nil {
			return l.fail("remove", err)
		}
		active = l.segments[len(l.segments)-1]
		name, r.tail = l.options.path(active.sequence), active.bytes
	} else if r.contents.TruncatedBytes > 0 {
		if err := l.options.FS.Truncate(name, r.tail); err != nil {
			return l.fail("truncate", err)
		}
	}
	// A killed process may have written the last record, or created the segment, without a sync. What counts from now on must
	// survive a power loss. A sync alone is not enough: after a failed one the kernel keeps the record readable and does not write it any
	// more. The same bytes in the same place need no room, and change nothing that was durable if the power is lost meanwhile.
	if err := l.options.FS.Overwrite(name, r.tail-int64(len(r.lastRecord)), r.lastRecord); err != nil {
		return l.fail("sync", err)
	}
	file, err := l.options.FS.Append(name)
	if err != nil {
		return l.fail("open", err)
	}
	l.file, l.size = file, r.tail
	if err := l.options.FS.SyncDir(l.options.Dir); err != nil {
		return l.fail("directory sync", err)
	}
	return nil
}
