package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// BenchmarkSnapshotPause measures how long a snapshot of many bookings blocks commands, the time to encode it, its size
// and the memory allocated for it.
func BenchmarkSnapshotPause(b *testing.B) {
	for _, count := range []int{100_000, 500_000, 1_000_000} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			machine := NewStateMachine()
			fillBookings(b, machine, count)
			runtime.GC()
			var pause time.Duration
			var size int
			b.ReportAllocs()
			for b.Loop() {
				begin := time.Now()
				encode := machine.Capture()
				pause = max(pause, time.Since(begin))
				encoded, err := encode()
				require.NoError(b, err)
				size = len(encoded)
			}
			b.ReportMetric(float64(pause.Milliseconds()), "pause-ms")
			b.ReportMetric(float64(size)/(1<<20), "MiB")
		})
	}
}

// responseBytes is the size of a stored response, as in docs/CAPACITY.md.
const responseBytes = 200

// fillBookings finishes one booking per key, over 1,000 accounts.
func fillBookings(tb testing.TB, machine *StateMachine, count int) {
	index := uint64(1)
	apply := func(command *controlpb.Command) {
		index++
		command.UnixMs = int64(index)
		response := machine.Apply(index, command).(*controlpb.BookingResponse)
		require.Nil(tb, response.Failure)
	}
	for i := range count {
		key := &controlpb.BookingKey{Account: fmt.Sprint("account-", i%1000), IdempotencyKey: fmt.Sprintf("0196fa1e-0000-7000-8000-%012d", i)}
		apply(&controlpb.Command{Command: &controlpb.Command_ClaimBooking{ClaimBooking: &controlpb.ClaimBookingRequest{
			Key: key, ClaimId: fmt.Sprint("claim-", i), RequestId: fmt.Sprint("request-", i), PayloadHash: make([]byte, 32), IssuedUnixMs: int64(i), Service: "orders",
		}}})
		apply(&controlpb.Command{Command: &controlpb.Command_DispatchBooking{DispatchBooking: &controlpb.DispatchBookingRequest{
			Key: key, ClaimEpoch: 1, DispatchId: fmt.Sprint("dispatch-", i), ProcessId: "agent-1",
		}}})
		apply(&controlpb.Command{Command: &controlpb.Command_FinishBooking{FinishBooking: &controlpb.FinishBookingRequest{
			Key: key, DispatchId: fmt.Sprint("dispatch-", i), Status: 201, Body: make([]byte, responseBytes),
		}}})
	}
}
