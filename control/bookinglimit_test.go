package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/booking"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// startGroupWithLimit starts a group whose members have room for few bytes of bookings.
func startGroupWithLimit(t *testing.T, members, maxRecordBytes int) (*fakeGroup, []string) {
	t.Helper()
	group, _, addresses := startGroup(t, members, Options{})
	for _, m := range group.members {
		m.machine.mu.Lock()
		m.machine.bookings = booking.NewShards(booking.Limits{MaxRecordBytes: maxRecordBytes})
		m.machine.mu.Unlock()
	}
	return group, addresses
}

func claimOf(id, claimID string) *controlpb.ClaimBookingRequest {
	return &controlpb.ClaimBookingRequest{
		Key: &controlpb.BookingKey{Account: "a", IdempotencyKey: id}, ClaimId: claimID, IssuedUnixMs: time.Now().UnixMilli(), PayloadHash: []byte("h"),
	}
}

// Guards against a limit of bytes that leaves out the response headers: the records outgrow the memory, the disk and the largest snapshot
// that a new member accepts, with the limit never reached. The answers that are stored stay available.
func TestBytesOfHeadersCount(t *testing.T) {
	group, addresses := startGroupWithLimit(t, 3, 1000)
	client := newClient(t, addresses)
	ctx := context.Background()
	first := claimOf("1", "c1")
	claimed, err := client.ClaimBooking(ctx, first)
	require.NoError(t, err)
	require.True(t, claimed.Granted)
	dispatched, err := client.DispatchBooking(ctx, &controlpb.DispatchBookingRequest{Key: first.Key, ClaimEpoch: claimed.ClaimEpoch, DispatchId: "d", ProcessId: "p"})
	require.NoError(t, err)
	require.True(t, dispatched.Granted)
	headers := map[string]string{"x-answer": strings.Repeat("h", 2000)}
	_, err = client.FinishBooking(ctx, &controlpb.FinishBookingRequest{Key: first.Key, DispatchId: "d", Status: 200, Headers: headers})
	require.NoError(t, err)

	_, err = client.ClaimBooking(ctx, claimOf("2", "c2"))
	require.True(t, failure.Is(err, failure.Overloaded), "%v", err)
	require.Equal(t, failure.NotRun, failure.Of(err).Execution)
	require.Equal(t, fullRetryAfter, failure.Of(err).RetryAfter)
	again := claimOf("1", "c3")
	again.IssuedUnixMs = first.IssuedUnixMs
	stored, err := client.ClaimBooking(ctx, again)
	require.NoError(t, err)
	require.Equal(t, headers, stored.Headers)
	for _, m := range group.members {
		require.Equal(t, 1, m.machine.Bookings(), "no member has the refused key")
	}
}

// Guards against keys and claims that do not count.
func TestBytesOfKeysCount(t *testing.T) {
	_, addresses := startGroupWithLimit(t, 1, 1000)
	client := newClient(t, addresses)
	var err error
	granted := 0
	for ; err == nil && granted < 100; granted++ {
		_, err = client.ClaimBooking(context.Background(), claimOf(fmt.Sprintf("%0200d", granted), "c"))
	}
	require.True(t, failure.Is(err, failure.Overloaded))
	require.LessOrEqual(t, granted, 6)
}

// Guards against a refusal that says "not run" of a key whose earlier claim is in the log but not applied yet, and against one for a key
// that retention has dropped, whose call may have run.
func TestFullTableKnowsEarlierClaims(t *testing.T) {
	group, addresses := startGroupWithLimit(t, 1, 1)
	client := newClient(t, addresses)
	_, err := client.ClaimBooking(context.Background(), claimOf("1", "c"))
	require.NoError(t, err)
	earlier := claimOf("2", "c1")
	group.mu.Lock()
	group.log = append(group.log, &controlpb.Command{UnixMs: time.Now().UnixMilli(), Command: &controlpb.Command_ClaimBooking{ClaimBooking: earlier}})
	group.mu.Unlock()
	later := claimOf("2", "c2")
	later.IssuedUnixMs = earlier.IssuedUnixMs
	_, err = client.ClaimBooking(context.Background(), later)
	require.True(t, failure.Is(err, failure.InProgress), "%v", err)

	group.mu.Lock()
	group.log = append(group.log, &controlpb.Command{Command: &controlpb.Command_RetireBookings{
		RetireBookings: &controlpb.RetireBookings{RetiredBeforeUnixMs: time.Now().Add(time.Minute).UnixMilli()},
	}})
	group.mu.Unlock()
	_, err = client.ClaimBooking(context.Background(), claimOf("3", "c"))
	require.True(t, failure.Is(err, failure.KeyTooOld), "%v", err)
	require.Equal(t, failure.Unknown, failure.Of(err).Execution)
}
