package booking

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

var testKey = &controlpb.BookingKey{Account: "a", IdempotencyKey: "k"}

func claim(id, hash string) *controlpb.ClaimBookingRequest {
	return &controlpb.ClaimBookingRequest{Key: testKey, ClaimId: id, PayloadHash: []byte(hash), IssuedUnixMs: 1000}
}

func dispatch(epoch uint64, id string) *controlpb.DispatchBookingRequest {
	return &controlpb.DispatchBookingRequest{Key: testKey, ClaimEpoch: epoch, DispatchId: id, ProcessId: "p"}
}

func finish(id string) *controlpb.FinishBookingRequest {
	return &controlpb.FinishBookingRequest{Key: testKey, DispatchId: id, Status: 201, Body: []byte("booked")}
}

func kind(r *controlpb.BookingResponse) failure.Kind { return failure.Kind(r.Failure.GetKind()) }

// TestOtherPayloadConflicts guards against a key that is accepted for a call with another payload.
func TestOtherPayloadConflicts(t *testing.T) {
	table := NewTable(Limits{})
	require.True(t, table.Claim(0, claim("c1", "h1")).Granted)
	r := table.Claim(0, claim("c2", "h2"))
	require.Equal(t, failure.KeyConflict, kind(r))
	require.Equal(t, string(failure.NotRun), r.Failure.Execution)
}

// TestReclaimFencesTheOlderClaim guards against two valid claims of one key, and against an older claim that is not fenced.
func TestReclaimFencesTheOlderClaim(t *testing.T) {
	table := NewTable(Limits{})
	require.Equal(t, uint64(1), table.Claim(0, claim("c1", "h")).ClaimEpoch)
	require.Equal(t, failure.InProgress, kind(table.Claim(4999, claim("c2", "h"))))
	second := table.Claim(5000, claim("c2", "h"))
	require.True(t, second.Granted)
	require.Equal(t, uint64(2), second.ClaimEpoch)
	require.Equal(t, failure.Fenced, kind(table.Dispatch(dispatch(1, "d1"), true)))
	require.Equal(t, failure.Fenced, kind(table.Claim(99999, claim("c1", "h"))), "a late resend must not take a third epoch")
	require.Equal(t, failure.Fenced, kind(table.Release(&controlpb.ReleaseBookingRequest{Key: testKey, ClaimEpoch: 1})))
	require.True(t, table.Dispatch(dispatch(2, "d2"), true).Granted)
}

// TestDispatchOnce guards against a second run of a dispatched booking, also after the loss of its process.
func TestDispatchOnce(t *testing.T) {
	table := NewTable(Limits{})
	table.Claim(0, claim("c1", "h"))
	require.Equal(t, failure.Fenced, kind(table.Dispatch(dispatch(1, "d1"), false)), "a dead process gets no permission")
	require.True(t, table.Dispatch(dispatch(1, "d1"), true).Granted)
	require.True(t, table.Dispatch(dispatch(1, "d1"), true).Granted)
	require.False(t, table.Dispatch(dispatch(1, "d2"), true).Granted)
	require.Equal(t, failure.InProgress, kind(table.Claim(99999, claim("c2", "h"))))
	require.Equal(t, 1, table.ProcessLost("p"))
	require.Equal(t, failure.OutcomeUnknown, kind(table.Claim(99999, claim("c2", "h"))))
	require.True(t, table.Finish(finish("d1")).Granted, "a late outcome replaces IN_DOUBT")
	doubt := finish("d1")
	doubt.InDoubt = true
	require.Equal(t, controlpb.BookingState_FINISHED, table.Finish(doubt).State)
	r := table.Claim(99999, claim("c3", "h"))
	require.False(t, r.Granted)
	require.Equal(t, "booked", string(r.Body))
}

// TestReleaseExcludesDispatch guards against a claim that is dispatched after its release was reported as not_run.
func TestReleaseExcludesDispatch(t *testing.T) {
	table := NewTable(Limits{})
	table.Claim(0, claim("c1", "h"))
	require.True(t, table.Release(&controlpb.ReleaseBookingRequest{Key: testKey, ClaimEpoch: 1}).Granted)
	require.False(t, table.Dispatch(dispatch(1, "d1"), true).Granted)
	require.False(t, table.Claim(1, claim("c1", "h")).Granted, "a resend of the released claim")
	require.Equal(t, uint64(2), table.Claim(1, claim("c2", "h")).ClaimEpoch)
}

// TestRetiredKeysAreRefused guards against a key that runs again after its record was dropped, and against a retirement
// time that decreases.
func TestRetiredKeysAreRefused(t *testing.T) {
	table := NewTable(Limits{})
	table.Claim(0, claim("c1", "h"))
	require.Equal(t, 0, table.Retire(1000))
	require.Equal(t, 1, table.Retire(1001))
	table.Retire(500)
	r := table.Claim(0, claim("c2", "h"))
	require.Equal(t, failure.KeyTooOld, kind(r))
	// An earlier call with the key may have run, so the execution must not be not_run.
	require.Equal(t, string(failure.Unknown), r.Failure.Execution)
	full := NewTable(Limits{MaxRecords: 1})
	full.Claim(0, claim("c1", "h"))
	other := claim("c1", "h")
	other.Key = &controlpb.BookingKey{Account: "a", IdempotencyKey: "k2"}
	require.Equal(t, failure.Overloaded, kind(full.Claim(0, other)))
	large := NewTable(Limits{MaxBytes: 1})
	large.Claim(0, claim("c1", "h"))
	large.Dispatch(dispatch(1, "d1"), true)
	large.Finish(finish("d1"))
	require.Equal(t, failure.Overloaded, kind(large.Claim(0, other)))
	require.Equal(t, 1, large.Retire(1001))
	other.IssuedUnixMs = 2000
	require.True(t, large.Claim(0, other).Granted, "retirement frees the space")
}

// run is one random schedule of commands on a table, with the grants seen so far.
type run struct {
	t          *rapid.T
	table      *Table
	now        int64
	epochs     map[string]uint64
	claims     map[string]uint64
	dispatches map[string]string
	finished   map[string]string
}

func (r *run) key() *controlpb.BookingKey {
	return &controlpb.BookingKey{Account: "a", IdempotencyKey: rapid.SampledFrom([]string{"k1", "k2"}).Draw(r.t, "key")}
}

func (r *run) id(prefix string) string {
	return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, 5).Draw(r.t, prefix))
}

func (r *run) claim() {
	key, id := r.key(), r.id("c")
	r.now += rapid.Int64Range(0, 6000).Draw(r.t, "ms")
	response := r.table.Claim(r.now, &controlpb.ClaimBookingRequest{
		Key: key, ClaimId: id, IssuedUnixMs: 1000, PayloadHash: []byte(rapid.SampledFrom([]string{"h", "h", "h2"}).Draw(r.t, "hash")),
	})
	require.GreaterOrEqual(r.t, max(response.ClaimEpoch, r.epochs[key.IdempotencyKey]), response.ClaimEpoch)
	if !response.Granted {
		return
	}
	require.GreaterOrEqual(r.t, response.ClaimEpoch, r.epochs[key.IdempotencyKey])
	r.epochs[key.IdempotencyKey] = response.ClaimEpoch
	name := key.IdempotencyKey + id
	if before, ok := r.claims[name]; ok {
		require.Equal(r.t, before, response.ClaimEpoch, "one claim id has one epoch")
	}
	r.claims[name] = response.ClaimEpoch
	require.Empty(r.t, r.dispatches[key.IdempotencyKey], "no claim after a dispatch")
}

func (r *run) dispatch() {
	key, id := r.key(), r.id("d")
	response := r.table.Dispatch(&controlpb.DispatchBookingRequest{
		Key: key, DispatchId: id, ProcessId: r.id("p"), ClaimEpoch: rapid.Uint64Range(1, 4).Draw(r.t, "epoch"),
	}, true)
	if !response.Granted {
		return
	}
	if before := r.dispatches[key.IdempotencyKey]; before != "" {
		require.Equal(r.t, before, id, "two dispatch grants for one record")
	}
	r.dispatches[key.IdempotencyKey] = id
	require.Equal(r.t, r.epochs[key.IdempotencyKey], response.ClaimEpoch, "only the latest claim dispatches")
}

func (r *run) finish() {
	key, id := r.key(), r.id("d")
	response := r.table.Finish(&controlpb.FinishBookingRequest{
		Key: key, DispatchId: id, InDoubt: rapid.Bool().Draw(r.t, "doubt"), Body: []byte(fmt.Sprint(r.now)),
	})
	if response.State != controlpb.BookingState_FINISHED || !response.Granted {
		return
	}
	if before, ok := r.finished[key.IdempotencyKey]; ok {
		require.Equal(r.t, before, string(response.Body), "the stored answer never changes")
	}
	r.finished[key.IdempotencyKey] = string(response.Body)
	require.Equal(r.t, r.dispatches[key.IdempotencyKey], id)
}

// TestRandomSchedules guards against two dispatches of one record, decreasing epochs, stored answers that change, and state
// that a snapshot loses, under random orders of commands with resends and late messages.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &run{
			t: t, table: NewTable(Limits{}), epochs: map[string]uint64{}, claims: map[string]uint64{},
			dispatches: map[string]string{}, finished: map[string]string{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim":    func(*rapid.T) { r.claim() },
			"dispatch": func(*rapid.T) { r.dispatch() },
			"finish":   func(*rapid.T) { r.finish() },
			"release": func(*rapid.T) {
				r.table.Release(&controlpb.ReleaseBookingRequest{Key: r.key(), ClaimEpoch: rapid.Uint64Range(1, 4).Draw(t, "epoch")})
			},
			"lost": func(*rapid.T) { r.table.ProcessLost(r.id("p")) },
			"restore": func(*rapid.T) {
				restored := Restore(r.table.Snapshot(), Limits{})
				require.True(t, proto.Equal(r.table.Snapshot(), restored.Snapshot()))
				r.table = restored
			},
		})
	})
}

// Guards against members of two releases that answer the same command differently: an earlier release counts bodies only, and a replica that
// refuses a claim which another one grants has another state from then on.
func TestSizeOfRecordsChangesNoAnswer(t *testing.T) {
	table, earlier := NewTable(Limits{MaxRecordBytes: 1, MaxBytes: 1000}), NewTable(Limits{MaxBytes: 1000})
	for _, both := range []func(*Table) *controlpb.BookingResponse{
		func(t *Table) *controlpb.BookingResponse { return t.Claim(0, claim("c1", "h")) },
		func(t *Table) *controlpb.BookingResponse { return t.Dispatch(dispatch(1, "d1"), true) },
		func(t *Table) *controlpb.BookingResponse {
			q := finish("d1")
			q.Headers = map[string]string{"x-answer": strings.Repeat("h", 2000)}
			return t.Finish(q)
		},
		func(t *Table) *controlpb.BookingResponse {
			q := claim("c2", "h")
			q.Key = &controlpb.BookingKey{Account: "a", IdempotencyKey: "other"}
			return t.Claim(0, q)
		},
	} {
		require.True(t, proto.Equal(both(earlier), both(table)))
	}
	require.True(t, proto.Equal(earlier.Snapshot(), table.Snapshot()))
	require.Equal(t, 2, table.Len())
}

// recordBytes returns the size of the records of a table as a snapshot holds them.
func recordBytes(t *Table) (total int) {
	for _, r := range t.records {
		total += proto.Size(r)
	}
	return total
}

// Guards against a size of the records that drifts from what is stored: new keys are refused for ever, or never.
func TestSizeOfRecordsIsKept(t *testing.T) {
	table := NewTable(Limits{MaxClaims: 2})
	change := func(f func()) {
		before := table.used.recordBytes
		f()
		require.NotEqual(t, before, table.used.recordBytes)
		require.Equal(t, recordBytes(table), table.used.recordBytes)
	}
	change(func() { table.Claim(0, claim("c1", "h")) })
	change(func() { table.Claim(6000, claim("c2", "h")) })
	table.Claim(12_000, claim("c3", "h"))
	change(func() { table.Dispatch(dispatch(3, "d1"), true) })
	table.ProcessLost("p")
	change(func() {
		q := finish("d1")
		q.Headers = map[string]string{"x-answer": strings.Repeat("h", 2000)}
		table.Finish(q)
	})
	require.Equal(t, recordBytes(table), Restore(table.Snapshot(), Limits{}).used.recordBytes)
	change(func() { table.Retire(1 << 40) })
	require.Zero(t, table.used.recordBytes)
}
