package booking

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// minuteMs is the width of a bucket of Table.byMinute in milliseconds.
const minuteMs = 60_000

func minuteOf(unixMs int64) int64 {
	minute := unixMs / minuteMs
	if unixMs%minuteMs < 0 {
		minute--
	}
	return minute
}

func (t *Table) insert(k key, r *controlpb.BookingRecord) {
	t.records[k] = r
	t.used.records++
	t.used.bytes += len(r.Body)
	t.used.recordBytes += proto.Size(r)
	minute := minuteOf(r.IssuedUnixMs)
	if t.byMinute[minute] == nil {
		t.byMinute[minute] = map[key]bool{}
	}
	t.byMinute[minute][k] = true
	if r.State == controlpb.BookingState_DISPATCHED {
		t.trackDispatched(k, r)
	}
}

func (t *Table) trackDispatched(k key, r *controlpb.BookingRecord) {
	if t.dispatched[r.ProcessId] == nil {
		t.dispatched[r.ProcessId] = map[key]bool{}
	}
	t.dispatched[r.ProcessId][k] = true
}

func (t *Table) untrackDispatched(k key, r *controlpb.BookingRecord) {
	delete(t.dispatched[r.ProcessId], k)
	if len(t.dispatched[r.ProcessId]) == 0 {
		delete(t.dispatched, r.ProcessId)
	}
}

// Retire drops the records issued before a time; their keys are refused from then on. A time that is not later than the
// previous one has no effect.
func (t *Table) Retire(beforeUnixMs int64) (dropped int) {
	if beforeUnixMs <= t.retiredBefore {
		return 0
	}
	t.retiredBefore = beforeUnixMs
	last := minuteOf(beforeUnixMs)
	for minute, keys := range t.byMinute {
		if minute > last {
			continue
		}
		for k := range keys {
			r := t.records[k]
			if r.IssuedUnixMs >= beforeUnixMs {
				continue
			}
			t.untrackDispatched(k, r)
			t.used.records--
			t.used.bytes -= len(r.Body)
			t.used.recordBytes -= proto.Size(r)
			delete(t.records, k)
			delete(keys, k)
			dropped++
		}
		if len(keys) == 0 {
			delete(t.byMinute, minute)
		}
	}
	return dropped
}

// Capture is the state of a table at one moment. Later changes of the table do not affect it.
type Capture struct {
	retiredBefore int64
	records       []*controlpb.BookingRecord
}

// Capture returns the current state. It copies only the list of records, so that commands are delayed little.
func (t *Table) Capture() Capture {
	c := Capture{retiredBefore: t.retiredBefore, records: make([]*controlpb.BookingRecord, 0, len(t.records))}
	for _, r := range t.records {
		c.records = append(c.records, r)
	}
	return c
}

// Snapshot returns the captured state, sorted by key, so that equal tables have equal snapshots.
func (c Capture) Snapshot() *controlpb.BookingSnapshot {
	slices.SortFunc(c.records, func(a, b *controlpb.BookingRecord) int {
		return cmp.Or(cmp.Compare(a.Key.GetAccount(), b.Key.GetAccount()),
			cmp.Compare(a.Key.GetIdempotencyKey(), b.Key.GetIdempotencyKey()))
	})
	return &controlpb.BookingSnapshot{RetiredBeforeUnixMs: c.retiredBefore, Records: c.records}
}

// Snapshot returns the whole table.
func (t *Table) Snapshot() *controlpb.BookingSnapshot { return t.Capture().Snapshot() }

// Restore returns a table with the state of a snapshot. It shares the snapshot's records.
func Restore(s *controlpb.BookingSnapshot, limits Limits) *Table {
	t := NewTable(limits)
	t.restore(s)
	return t
}

func (t *Table) restore(s *controlpb.BookingSnapshot) {
	t.retiredBefore = max(t.retiredBefore, s.GetRetiredBeforeUnixMs())
	for _, r := range s.GetRecords() {
		t.insert(keyOf(r.Key), r)
	}
}
