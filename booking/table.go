// Package booking holds the records of non-idempotent calls: one record per client account and idempotency key, which is
// dispatched at most once. The package does no I/O and gets the time from its caller. A Table is not safe for concurrent
// use.
package booking

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// Limits bounds a Table.
type Limits struct {
	// ReclaimAfterMs is the age in milliseconds at which a claim without dispatch may be taken over; default 5,000.
	ReclaimAfterMs int64
	// MaxRecords limits the records; new keys are refused beyond it; default 2,000,000.
	MaxRecords int
	// MaxBytes limits the total size of the stored response bodies; new keys are refused beyond it; default 512 MiB.
	MaxBytes int
	// MaxRecordBytes is the total size of the encoded records beyond which IsFullFor refuses new keys; default 960 MiB. A member accepts a
	// snapshot of 1 GiB, of which the rest is for the other state. Claim does not look at it, because members of an earlier version, which
	// do not know it, must answer a command alike.
	MaxRecordBytes int
	// MaxClaims limits the claims that each record stores to recognize resends; default 16.
	MaxClaims int
}

func (l *Limits) setDefaults() {
	defaults.Set(&l.ReclaimAfterMs, 5000)
	defaults.Set(&l.MaxRecords, 2_000_000)
	defaults.Set(&l.MaxBytes, 512<<20)
	defaults.Set(&l.MaxRecordBytes, 960<<20)
	defaults.Set(&l.MaxClaims, 16)
}

// key identifies a record.
type key struct{ account, id string }

func keyOf(k *controlpb.BookingKey) key { return key{k.GetAccount(), k.GetIdempotencyKey()} }

// usage counts the records and bytes that Limits bounds, over all tables that share it.
type usage struct {
	records int
	// bytes is the total size of the stored response bodies.
	bytes int
	// recordBytes is the total size of the encoded records: keys, claims, headers and bodies.
	recordBytes int
}

// Table holds the bookings. Invariants: a record's claim epoch only increases; a record has at most one dispatch id, which
// is set once; retiredBefore only increases and no record was issued before it. A record is never changed in place,
// because a snapshot that is being encoded may read it; it is replaced by a changed copy.
type Table struct {
	limits        Limits
	used          *usage
	retiredBefore int64
	records       map[key]*controlpb.BookingRecord
	// dispatched holds the keys of the records in state DISPATCHED by process.
	dispatched map[string]map[key]bool
	// byMinute holds the keys by the minute of their issue time, so that Retire needs no full scan.
	byMinute map[int64]map[key]bool
}

// NewTable returns an empty Table with defaults for unset limits.
func NewTable(limits Limits) *Table { return newTable(limits, &usage{}) }

func newTable(limits Limits, used *usage) *Table {
	limits.setDefaults()
	return &Table{
		limits:     limits,
		used:       used,
		records:    map[key]*controlpb.BookingRecord{},
		dispatched: map[string]map[key]bool{},
		byMinute:   map[int64]map[key]bool{},
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// RetiredBefore returns the issue time in Unix milliseconds before which every key is refused.
func (t *Table) RetiredBefore() int64 { return t.retiredBefore }

// refuse returns a response with a failure; r may be nil.
func refuse(r *controlpb.BookingRecord, kind failure.Kind, execution failure.Execution, message string) *controlpb.BookingResponse {
	response := &controlpb.BookingResponse{
		Failure: &controlpb.Failure{Kind: string(kind), Execution: string(execution), Message: message},
	}
	if r != nil {
		response.State, response.ClaimEpoch = r.State, r.ClaimEpoch
	}
	return response
}

// respond returns a response with the state of a record, and with its outcome if it is finished.
func respond(r *controlpb.BookingRecord, granted bool) *controlpb.BookingResponse {
	response := &controlpb.BookingResponse{State: r.State, ClaimEpoch: r.ClaimEpoch, Granted: granted}
	if r.State == controlpb.BookingState_FINISHED {
		response.Status, response.Headers, response.Body = r.Status, r.Headers, r.Body
	}
	return response
}

// Claim claims a key for a request, or returns the outcome of the existing record.
func (t *Table) Claim(unixMs int64, q *controlpb.ClaimBookingRequest) *controlpb.BookingResponse {
	k := keyOf(q.Key)
	r := t.records[k]
	if r == nil {
		return t.claimNew(unixMs, k, q)
	}
	if !bytes.Equal(r.PayloadHash, q.PayloadHash) {
		return refuse(r, failure.KeyConflict, failure.NotRun, "the idempotency key was used with another payload")
	}
	if r.IssuedUnixMs != q.IssuedUnixMs {
		return refuse(r, failure.KeyConflict, failure.NotRun, "the idempotency key was used with another issue time")
	}
	if r.State == controlpb.BookingState_FINISHED {
		return respond(r, false)
	}
	if epoch := claimEpoch(r, q.ClaimId); epoch != 0 {
		return repeatClaim(r, epoch)
	}
	switch r.State {
	case controlpb.BookingState_IN_DOUBT:
		return refuse(r, failure.OutcomeUnknown, failure.Unknown, "the call was dispatched and its outcome is not known")
	case controlpb.BookingState_DISPATCHED:
		return refuse(r, failure.InProgress, failure.Unknown, "the call is running")
	case controlpb.BookingState_CLAIMED:
		if unixMs-r.ClaimedUnixMs < t.limits.ReclaimAfterMs {
			return refuse(r, failure.InProgress, failure.Unknown, "another request has claimed the key")
		}
	}
	return respond(t.replaceWithCopy(k, r, func(next *controlpb.BookingRecord) { t.nextClaim(unixMs, next, q) }), true)
}

// replaceWithCopy replaces a record in the table by a changed copy and returns the copy.
func (t *Table) replaceWithCopy(k key, r *controlpb.BookingRecord, change func(*controlpb.BookingRecord)) *controlpb.BookingRecord {
	next := &controlpb.BookingRecord{
		Key: r.Key, PayloadHash: r.PayloadHash, IssuedUnixMs: r.IssuedUnixMs, State: r.State,
		ClaimEpoch: r.ClaimEpoch, ClaimedUnixMs: r.ClaimedUnixMs, Claims: r.Claims,
		DispatchId: r.DispatchId, ProcessId: r.ProcessId, Status: r.Status, Headers: r.Headers, Body: r.Body,
		Service: r.Service, RequestId: r.RequestId,
	}
	change(next)
	t.used.recordBytes += proto.Size(next) - proto.Size(r)
	t.records[k] = next
	return next
}

func (t *Table) claimNew(unixMs int64, k key, q *controlpb.ClaimBookingRequest) *controlpb.BookingResponse {
	if q.IssuedUnixMs < t.retiredBefore {
		// An earlier call with this key may have run, so the execution of the refusal is unknown and not not_run.
		return refuse(nil, failure.KeyTooOld, failure.Unknown, "the idempotency key is older than the retention of bookings")
	}
	if t.used.records >= t.limits.MaxRecords || t.used.bytes >= t.limits.MaxBytes {
		return refuse(nil, failure.Overloaded, failure.NotRun, "the booking table is full")
	}
	r := &controlpb.BookingRecord{Key: q.Key, PayloadHash: q.PayloadHash, IssuedUnixMs: q.IssuedUnixMs, Service: q.Service}
	t.nextClaim(unixMs, r, q)
	t.insert(k, r)
	return respond(r, true)
}

// IsFullFor reports whether a claim must be refused before it becomes a command, because the encoded records have reached
// Limits.MaxRecordBytes. A claim of a key that has a record, or that is older than the retention, gets its answer from Claim.
func (t *Table) IsFullFor(q *controlpb.ClaimBookingRequest) bool {
	return t.used.recordBytes >= t.limits.MaxRecordBytes && t.records[keyOf(q.Key)] == nil && q.IssuedUnixMs >= t.retiredBefore
}

// nextClaim records a new claim, whose higher epoch fences the older claims.
func (t *Table) nextClaim(unixMs int64, r *controlpb.BookingRecord, q *controlpb.ClaimBookingRequest) {
	r.ClaimEpoch++
	r.State = controlpb.BookingState_CLAIMED
	r.ClaimedUnixMs = unixMs
	r.RequestId = q.RequestId
	r.Claims = append(r.Claims, &controlpb.BookingClaim{ClaimId: q.ClaimId, Epoch: r.ClaimEpoch})
	if excess := len(r.Claims) - t.limits.MaxClaims; excess > 0 {
		r.Claims = append([]*controlpb.BookingClaim(nil), r.Claims[excess:]...)
	}
}

// claimEpoch returns the epoch of a stored claim, or 0 if there is none with this id.
func claimEpoch(r *controlpb.BookingRecord, claimID string) uint64 {
	for _, c := range r.Claims {
		if c.ClaimId == claimID {
			return c.Epoch
		}
	}
	return 0
}

// repeatClaim answers a resent claim without creating a new one.
func repeatClaim(r *controlpb.BookingRecord, epoch uint64) *controlpb.BookingResponse {
	switch {
	case epoch != r.ClaimEpoch:
		return refuse(r, failure.Fenced, failure.Unknown, "a later claim has taken over the key")
	case r.State == controlpb.BookingState_CLAIMED:
		return respond(r, true)
	case r.State == controlpb.BookingState_RELEASED:
		return refuse(r, failure.Fenced, failure.NotRun, "the claim was released")
	case r.State == controlpb.BookingState_IN_DOUBT:
		return refuse(r, failure.OutcomeUnknown, failure.Unknown, "the call was dispatched and its outcome is not known")
	}
	return refuse(r, failure.InProgress, failure.Unknown, "the call is running")
}

// Dispatch permits one run of a claimed booking. A repeated call with the same dispatch id gets the same response. alive
// is whether the dispatching process is alive with the epoch that it sent; a process that is not gets no new permission.
func (t *Table) Dispatch(q *controlpb.DispatchBookingRequest, alive bool) *controlpb.BookingResponse {
	k := keyOf(q.Key)
	r := t.records[k]
	if r == nil {
		return refuse(nil, failure.Fenced, failure.NotRun, "the booking does not exist")
	}
	if r.DispatchId != "" && r.DispatchId == q.DispatchId && r.ClaimEpoch == q.ClaimEpoch {
		return respond(r, true)
	}
	if q.ClaimEpoch != r.ClaimEpoch {
		return refuse(r, failure.Fenced, failure.NotRun, "the claim epoch is not the current one")
	}
	if !alive {
		return refuse(r, failure.Fenced, failure.NotRun, "the dispatching process was declared dead or replaced")
	}
	if r.State != controlpb.BookingState_CLAIMED || q.DispatchId == "" {
		return refuse(r, failure.Fenced, failure.NotRun, "the booking cannot be dispatched in its current state")
	}
	r = t.replaceWithCopy(k, r, func(next *controlpb.BookingRecord) {
		next.State = controlpb.BookingState_DISPATCHED
		next.DispatchId, next.ProcessId = q.DispatchId, q.ProcessId
	})
	t.trackDispatched(k, r)
	return respond(r, true)
}

// Finish records the outcome of a dispatch. A known outcome replaces the state IN_DOUBT, never the reverse.
func (t *Table) Finish(q *controlpb.FinishBookingRequest) *controlpb.BookingResponse {
	k := keyOf(q.Key)
	r := t.records[k]
	if r == nil {
		return refuse(nil, failure.NotFound, failure.Unknown, "the booking does not exist")
	}
	if r.DispatchId == "" || r.DispatchId != q.DispatchId {
		return refuse(r, failure.Fenced, failure.Unknown, "the booking was not dispatched under this id")
	}
	if r.State == controlpb.BookingState_FINISHED {
		return respond(r, true)
	}
	t.untrackDispatched(k, r)
	r = t.replaceWithCopy(k, r, func(next *controlpb.BookingRecord) {
		if q.InDoubt {
			next.State = controlpb.BookingState_IN_DOUBT
			return
		}
		next.State = controlpb.BookingState_FINISHED
		next.Status, next.Headers, next.Body = q.Status, q.Headers, q.Body
	})
	t.used.bytes += len(r.Body)
	return respond(r, true)
}

// Release releases a claim that was not dispatched.
func (t *Table) Release(q *controlpb.ReleaseBookingRequest) *controlpb.BookingResponse {
	k := keyOf(q.Key)
	r := t.records[k]
	if r == nil {
		return refuse(nil, failure.NotFound, failure.Unknown, "the booking does not exist")
	}
	if r.ClaimEpoch != q.ClaimEpoch {
		return refuse(r, failure.Fenced, failure.Unknown, "a later claim has taken over the key")
	}
	switch r.State {
	case controlpb.BookingState_CLAIMED, controlpb.BookingState_RELEASED:
		r = t.replaceWithCopy(k, r, func(next *controlpb.BookingRecord) { next.State = controlpb.BookingState_RELEASED })
		return respond(r, true)
	case controlpb.BookingState_DISPATCHED:
		return refuse(r, failure.InProgress, failure.Unknown, "the call is running")
	case controlpb.BookingState_FINISHED:
		return refuse(r, failure.Fenced, failure.Ran, "the call has finished")
	}
	return refuse(r, failure.OutcomeUnknown, failure.Unknown, "the call was dispatched and its outcome is not known")
}

// ProcessLost sets the dispatched bookings of a lost process to IN_DOUBT and returns their number.
func (t *Table) ProcessLost(processID string) int {
	lost := t.dispatched[processID]
	for k := range lost {
		t.replaceWithCopy(k, t.records[k], func(next *controlpb.BookingRecord) { next.State = controlpb.BookingState_IN_DOUBT })
	}
	delete(t.dispatched, processID)
	return len(lost)
}
