// Package audit keeps the audit trail of operators' actions, both accepted and refused.
package audit

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// MaxRecords is the minimum number of latest records that a Trail keeps: about nine days at 11,000 changes a day.
const MaxRecords = 100_000

// MaxPage limits the records of one page.
const MaxPage = 1000

// maxReasonBytes limits the stored reason; longer ones are truncated.
const maxReasonBytes = 500

// Trail holds the records of the most recent actions. Sequence numbers start at 1 and have no gaps. A Trail is not safe
// for concurrent use.
type Trail struct {
	// last is the sequence number of the newest record.
	last    uint64
	records []*controlpb.AuditRecord
}

// Append adds a record under the next sequence number.
func (t *Trail) Append(record *controlpb.AuditRecord) {
	t.last++
	record.Sequence = t.last
	if len(record.Reason) > maxReasonBytes {
		record.Reason = record.Reason[:maxReasonBytes]
	}
	t.records = append(t.records, record)
	if len(t.records) > MaxRecords+MaxRecords/10 {
		t.records = slices.Clone(t.records[len(t.records)-MaxRecords:])
	}
}

// Page returns copies of the records after a sequence number, oldest first.
func (t *Trail) Page(after uint64, limit int) []*controlpb.AuditRecord {
	if limit <= 0 || limit > MaxPage {
		limit = MaxPage
	}
	start, _ := slices.BinarySearchFunc(t.records, after+1, func(r *controlpb.AuditRecord, sequence uint64) int {
		return int(int64(r.Sequence) - int64(sequence))
	})
	end := min(start+limit, len(t.records))
	page := make([]*controlpb.AuditRecord, 0, end-start)
	for _, r := range t.records[start:end] {
		page = append(page, proto.Clone(r).(*controlpb.AuditRecord))
	}
	return page
}

// Snapshot returns the whole trail. The records are shared, because they are immutable.
func (t *Trail) Snapshot() *controlpb.AuditSnapshot {
	return &controlpb.AuditSnapshot{LastSequence: t.last, Records: slices.Clone(t.records)}
}

// Restore returns the trail of a snapshot.
func Restore(s *controlpb.AuditSnapshot) *Trail {
	return &Trail{last: s.GetLastSequence(), records: slices.Clone(s.GetRecords())}
}
