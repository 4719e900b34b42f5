package raft

import (
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// entryLog is the in-memory part of the log. Invariants: base <= delivered <= commit <= last and base <= stable <= last.
type entryLog struct {
	// base and baseTerm are the index and term of the last compacted entry.
	base, baseTerm uint64
	// entries[i] has index base+1+i.
	entries []*raftpb.Entry
	// stable is the last synced index, commit the last committed one, delivered the last one returned to the driver for
	// applying.
	stable, commit, delivered uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.term(l.last()) }

// term returns the term of the entry at index, or 0 if the entry is not in memory.
func (l *entryLog) term(index uint64) uint64 {
	if index == l.base {
		return l.baseTerm
	}
	if index < l.base || index > l.last() {
		return 0
	}
	return l.entries[index-l.base-1].GetTerm()
}

// matches reports whether the log holds an entry with this index and term. All entries up to commit match the leader's log.
func (l *entryLog) matches(index, term uint64) bool {
	return index >= l.base && index <= l.last() && l.term(index) == term
}

// upToDate reports whether a log that ends with the given index and term is at least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// conflictHint returns the highest index up to limit whose term is not above term.
func (l *entryLog) conflictHint(limit, term uint64) uint64 {
	index := min(limit, l.last())
	for index > l.base && l.term(index) > term {
		index--
	}
	return index
}

func (l *entryLog) unstable() []*raftpb.Entry {
	return l.entries[l.stable-l.base:]
}

// toApply returns the committed entries that were not yet returned to the driver. They may include entries that are
// still unsynced; the driver syncs the entries of the same Ready first.
func (l *entryLog) toApply() []*raftpb.Entry {
	if l.delivered >= l.commit {
		return nil
	}
	return l.entries[l.delivered-l.base : l.commit-l.base]
}

// slice returns entries starting at index from, up to maxBytes in total but at least one entry.
func (l *entryLog) slice(from uint64, maxBytes int) []*raftpb.Entry {
	if from > l.last() {
		return nil
	}
	all := l.entries[from-l.base-1:]
	size := 0
	for i, e := range all {
		size += len(e.GetData()) + entryOverhead
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// trailingFrom returns the index up to which entries may be dropped after a snapshot, so that at most a number of entries and of bytes
// before the snapshot stay.
func (l *entryLog) trailingFrom(snapshot, entries uint64, maxBytes int64) uint64 {
	from := min(snapshot, l.last())
	for size := int64(0); from > l.base && snapshot-from < entries; from-- {
		if size += int64(len(l.entries[from-l.base-1].GetData()) + entryOverhead); size > maxBytes {
			break
		}
	}
	return from
}

// bytesBetween returns the size of the entries after index from, up to and with index to.
func (l *entryLog) bytesBetween(from, to uint64) (size uint64) {
	for index := max(from, l.base) + 1; index <= min(to, l.last()); index++ {
		size += uint64(len(l.entries[index-l.base-1].GetData()) + entryOverhead)
	}
	return size
}

// entryOverhead is the estimated encoded size of an entry without its data, in bytes.
const entryOverhead = 24

// truncate drops the entries from index on; the caller never passes a committed index. The remaining entries are copied
// to a new array, because queued messages may still refer to the old one.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.base-1]
	l.entries = append(make([]*raftpb.Entry, 0, len(kept)+8), kept...)
	l.stable = min(l.stable, index-1)
}

func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term := l.term(index)
	l.entries = append([]*raftpb.Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index, commit: index, delivered: index}
}
