package booking

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// minuteMs is the length in milliseconds of the retention index's steps.
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
	t.bytes += len(r.Body)
	minute := minuteOf(r.IssuedUnixMs)
	if t.byMinute[minute] == nil {
		t.byMinute[minute] = map[key]bool{}
	}
	t.byMinute[minute][k] = true
	if r.State == controlpb.BookingState_DISPATCHED {
		t.track(k, r)
	}
}

func (t *Table) track(k key, r *controlpb.BookingRecord) {
	if t.dispatched[r.ProcessId] == nil {
		t.dispatched[r.ProcessId] = map[key]bool{}
	}
	t.dispatched[r.ProcessId][k] = true
}

func (t *Table) untrack(k key, r *controlpb.BookingRecord) {
	delete(t.dispatched[r.ProcessId], k)
	if len(t.dispatched[r.ProcessId]) == 0 {
		delete(t.dispatched, r.ProcessId)
	}
}

// Retire drops the records issued before a time and refuses their keys from now on. The time never goes back.
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
			t.untrack(k, r)
			t.bytes -= len(r.Body)
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

// Snapshot returns the whole table, sorted by key so that equal tables have equal snapshots.
// The records are copies.
func (t *Table) Snapshot() *controlpb.BookingSnapshot {
	s := &controlpb.BookingSnapshot{RetiredBeforeUnixMs: t.retiredBefore}
	for _, r := range t.records {
		s.Records = append(s.Records, proto.Clone(r).(*controlpb.BookingRecord))
	}
	slices.SortFunc(s.Records, func(a, b *controlpb.BookingRecord) int {
		return cmp.Or(cmp.Compare(a.Key.GetAccount(), b.Key.GetAccount()),
			cmp.Compare(a.Key.GetIdempotencyKey(), b.Key.GetIdempotencyKey()))
	})
	return s
}

// Restore returns the table of a snapshot.
func Restore(s *controlpb.BookingSnapshot, limits Limits) *Table {
	t := NewTable(limits)
	t.retiredBefore = s.GetRetiredBeforeUnixMs()
	for _, r := range s.GetRecords() {
		t.insert(keyOf(r.Key), proto.Clone(r).(*controlpb.BookingRecord))
	}
	return t
}
