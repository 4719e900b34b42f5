package objectset

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// MaxDeltas is the number of deltas kept. A watcher that is further behind gets a whole set.
const MaxDeltas = 64

// maxDeltaBytes limits one delta, because drpc refuses messages above 4 MiB. Instead of a larger delta watchers get a
// whole set.
const maxDeltaBytes = 1 << 20

// History holds the current set and the latest deltas that led to it. It is not safe for concurrent use.
type History struct {
	set      *Set
	version  uint64
	operator string
	unixMs   int64
	deltas   []*controlpb.SetDelta
}

// NewHistory returns a History at version 0 with an empty set.
func NewHistory() *History {
	set := &Set{}
	set.normalize()
	return &History{set: set}
}

// Current returns the current set and its version. The set must not be changed.
func (h *History) Current() (*Set, uint64) { return h.set, h.version }

// Author returns the operator who published the current version and the time of the publish.
func (h *History) Author() (operator string, unixMs int64) { return h.operator, h.unixMs }

// Accept makes next the current set if expect is the current version, as a compare-and-set. Otherwise it fails with
// VersionConflict.
func (h *History) Accept(expect uint64, next *Set, operator string, unixMs int64) error {
	return h.accept(expect, next, Diff(h.set, next), operator, unixMs)
}

// AcceptChanges is like Accept for changes against the expected version.
func (h *History) AcceptChanges(expect uint64, changes []*controlpb.ObjectChange, operator string, unixMs int64) error {
	if err := h.checkVersion(expect); err != nil {
		return err
	}
	next, err := Patch(h.set, changes)
	if err != nil {
		return err
	}
	return h.accept(expect, next, changes, operator, unixMs)
}

func (h *History) checkVersion(expect uint64) error {
	if expect != h.version {
		return failure.New(failure.VersionConflict, failure.NotRun,
			"expected version %d, but version %d was published by %q", expect, h.version, h.operator)
	}
	return nil
}

func (h *History) accept(expect uint64, next *Set, changes []*controlpb.ObjectChange, operator string, unixMs int64) error {
	if err := h.checkVersion(expect); err != nil {
		return err
	}
	h.appendDelta(&controlpb.SetDelta{FromVersion: h.version, ToVersion: h.version + 1, Changes: changes})
	h.set, h.version, h.operator, h.unixMs = next, h.version+1, operator, unixMs
	return nil
}

func (h *History) appendDelta(delta *controlpb.SetDelta) {
	if proto.Size(delta) > maxDeltaBytes {
		h.deltas = nil
		return
	}
	h.deltas = append(h.deltas, delta)
	if len(h.deltas) > MaxDeltas {
		h.deltas = slices.Clone(h.deltas[len(h.deltas)-MaxDeltas:])
	}
}

// Since returns the deltas after a version. ok is false if they are not kept and a whole set is needed instead.
func (h *History) Since(version uint64) (deltas []*controlpb.SetDelta, ok bool) {
	if version >= h.version {
		return nil, true
	}
	behind := h.version - version
	if version == 0 || behind > uint64(len(h.deltas)) {
		return nil, false
	}
	return slices.Clone(h.deltas[uint64(len(h.deltas))-behind:]), true
}

// Snapshot returns the whole history.
func (h *History) Snapshot() *controlpb.HistorySnapshot {
	return &controlpb.HistorySnapshot{
		Version: h.version, Operator: h.operator, UnixMs: h.unixMs,
		Document: h.set.Canonical(), Deltas: slices.Clone(h.deltas),
	}
}

// RestoreHistory returns the history of a snapshot.
func RestoreHistory(s *controlpb.HistorySnapshot) (*History, error) {
	h := NewHistory()
	if len(s.GetDocument()) > 0 {
		set, err := FromCanonical(s.Document)
		if err != nil {
			return nil, err
		}
		h.set = set
	}
	h.version, h.operator, h.unixMs = s.GetVersion(), s.GetOperator(), s.GetUnixMs()
	for _, delta := range s.GetDeltas() {
		h.deltas = append(h.deltas, proto.Clone(delta).(*controlpb.SetDelta))
	}
	return h, nil
}
