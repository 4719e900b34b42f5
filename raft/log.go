package raft

import (
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// entryLog is the log in memory. Invariants: base <= handed <= commit <= last and base <= stable <= last.
type entryLog struct {
	// base and baseTerm describe the last entry that was compacted.
	base, baseTerm uint64
	// entries[i] has index base+1+i.
	entries []*raftpb.Entry
	// stable is the last synced index, commit the last committed one, handed the last one given out to be applied.
	stable, commit, handed uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.term(l.last()) }

// term returns the term of an entry, or 0 if the entry is not in memory.
func (l *entryLog) term(index uint64) uint64 {
	if index == l.base {
		return l.baseTerm
	}
	if index < l.base || index > l.last() {
		return 0
	}
	return l.entries[index-l.base-1].GetTerm()
}

// matches reports whether the log holds the entry. Everything up to commit is known to match.
func (l *entryLog) matches(index, term uint64) bool {
	return index >= l.base && index <= l.last() && l.term(index) == term
}

func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// hint returns the highest index up to limit whose term is not above term.
func (l *entryLog) hint(limit, term uint64) uint64 {
	index := min(limit, l.last())
	for index > l.base && l.term(index) > term {
		index--
	}
	return index
}

func (l *entryLog) unstable() []*raftpb.Entry {
	return l.entries[l.stable-l.base:]
}

// toApply returns the committed entries not yet given out. A driver syncs entries of the same Ready first.
func (l *entryLog) toApply() []*raftpb.Entry {
	if l.handed >= l.commit {
		return nil
	}
	return l.entries[l.handed-l.base : l.commit-l.base]
}

// slice returns entries from index on, limited by bytes but at least one.
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

// entryOverhead estimates the bytes of an encoded entry besides its data.
const entryOverhead = 24

// truncate drops the entries from index on. Committed entries are never dropped. The rest is copied, because the
// old array may still be read by messages in transit.
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
	*l = entryLog{base: index, baseTerm: term, stable: index, commit: index, handed: index}
}
