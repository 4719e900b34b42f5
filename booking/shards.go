package booking

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// ShardCount is the number of shards. It must not change, because snapshots and a later distribution of the shards over
// several groups depend on it. At most 7 VMs are dedicated to control, so each of them can get at least four of 32 shards,
// which helps to balance large accounts. At 2 million records, the largest state, a shard holds 62,500 on average.
const ShardCount = 32

// Shards distributes the bookings over tables by client account. All records of an account are in one shard. The limits of
// records and bytes apply to the sum over all shards, because a few accounts have most of the bookings.
type Shards struct {
	tables [ShardCount]*Table
	used   *usage
}

// NewShards returns empty shards with defaults for unset limits.
func NewShards(limits Limits) *Shards {
	s := &Shards{used: &usage{}}
	for i := range s.tables {
		s.tables[i] = newTable(limits, s.used)
	}
	return s
}

// ShardOf returns the shard of an account.
func ShardOf(account string) int { return int(xxhash.Sum64String(account) % ShardCount) }

func (s *Shards) table(k *controlpb.BookingKey) *Table { return s.tables[ShardOf(k.GetAccount())] }

// Len returns the number of records.
func (s *Shards) Len() int { return s.used.records }

// Claim calls Table.Claim on the shard of the account.
func (s *Shards) Claim(unixMs int64, q *controlpb.ClaimBookingRequest) *controlpb.BookingResponse {
	return s.table(q.Key).Claim(unixMs, q)
}

// IsFullFor calls Table.IsFullFor on the shard of the account.
func (s *Shards) IsFullFor(q *controlpb.ClaimBookingRequest) bool { return s.table(q.Key).IsFullFor(q) }

// RecordBytes returns the total size of the encoded records.
func (s *Shards) RecordBytes() int { return s.used.recordBytes }

// Dispatch calls Table.Dispatch on the shard of the account.
func (s *Shards) Dispatch(q *controlpb.DispatchBookingRequest, alive bool) *controlpb.BookingResponse {
	return s.table(q.Key).Dispatch(q, alive)
}

// Finish calls Table.Finish on the shard of the account.
func (s *Shards) Finish(q *controlpb.FinishBookingRequest) *controlpb.BookingResponse {
	return s.table(q.Key).Finish(q)
}

// Release calls Table.Release on the shard of the account.
func (s *Shards) Release(q *controlpb.ReleaseBookingRequest) *controlpb.BookingResponse {
	return s.table(q.Key).Release(q)
}

// ProcessLost calls Table.ProcessLost on all shards and returns the number of bookings set to IN_DOUBT.
func (s *Shards) ProcessLost(processID string) (lost int) {
	for _, t := range s.tables {
		lost += t.ProcessLost(processID)
	}
	return lost
}

// Retire calls Table.Retire on all shards and returns the number of dropped records.
func (s *Shards) Retire(beforeUnixMs int64) (dropped int) {
	for _, t := range s.tables {
		dropped += t.Retire(beforeUnixMs)
	}
	return dropped
}

// Capture returns the current state of all shards.
func (s *Shards) Capture() [ShardCount]Capture {
	var captures [ShardCount]Capture
	for i, t := range s.tables {
		captures[i] = t.Capture()
	}
	return captures
}

// RestoreShard restores the snapshot of one shard, which must be empty.
func (s *Shards) RestoreShard(shard int, snapshot *controlpb.BookingSnapshot) error {
	if shard < 0 || shard >= ShardCount {
		return failure.New(failure.StorageFailed, failure.NotRun, "snapshot of booking shard %d, but there are only %d shards", shard, ShardCount)
	}
	for _, r := range snapshot.GetRecords() {
		if ShardOf(r.Key.GetAccount()) != shard {
			return failure.New(failure.StorageFailed, failure.NotRun, "the snapshot of booking shard %d contains a record of shard %d", shard, ShardOf(r.Key.GetAccount()))
		}
	}
	s.tables[shard].restore(snapshot)
	return nil
}

// RestoreUndivided restores a snapshot of a single table, as written by older versions, into the shards.
func (s *Shards) RestoreUndivided(snapshot *controlpb.BookingSnapshot) {
	var parts [ShardCount]controlpb.BookingSnapshot
	for _, r := range snapshot.GetRecords() {
		part := &parts[ShardOf(r.Key.GetAccount())]
		part.Records = append(part.Records, r)
	}
	for i := range parts {
		parts[i].RetiredBeforeUnixMs = snapshot.GetRetiredBeforeUnixMs()
		s.tables[i].restore(&parts[i])
	}
}
