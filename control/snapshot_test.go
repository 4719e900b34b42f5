package control

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// TestUndividedSnapshotIsRead guards against a member that loses its bookings, or does not start, when the snapshot was
// written by an older version with a single booking table.
func TestUndividedSnapshotIsRead(t *testing.T) {
	machine := NewStateMachine()
	machine.Apply(1, publishCommand("op1", 0, "dana", setWithAccounts(t, "a")))
	fillBookings(t, machine, 100)
	current, err := machine.Snapshot()
	require.NoError(t, err)
	state, shards, err := decodeSnapshot(current)
	require.NoError(t, err)
	state.Bookings = &controlpb.BookingSnapshot{}
	for _, c := range shards.Capture() {
		state.Bookings.Records = append(state.Bookings.Records, c.Snapshot().Records...)
	}
	old, err := proto.Marshal(state)
	require.NoError(t, err)
	restored := NewStateMachine()
	require.NoError(t, restored.Restore(old))
	require.Equal(t, 100, restored.Bookings())
	reencoded, err := restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, current, reencoded)
}

// TestSnapshotHoldsOneMoment guards against a snapshot that includes commands applied while it is encoded. The race
// detector also finds records that are changed in place.
func TestSnapshotHoldsOneMoment(t *testing.T) {
	machine := NewStateMachine()
	fillBookings(t, machine, 2000)
	before, err := machine.Snapshot()
	require.NoError(t, err)
	encode := machine.Capture()
	result := make(chan []byte)
	go func() {
		encoded, _ := encode()
		result <- encoded
	}()
	for index := machine.applied + 1; index < 20_000; index++ {
		machine.Apply(index, &controlpb.Command{UnixMs: int64(index), Command: &controlpb.Command_RetireBookings{
			RetireBookings: &controlpb.RetireBookings{RetiredBeforeUnixMs: int64(index - 6000)},
		}})
	}
	require.Zero(t, machine.Bookings())
	require.Equal(t, before, <-result)
}

// TestDamagedSnapshotIsRefused guards against a truncated snapshot that is restored without its last shards.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	machine := NewStateMachine()
	fillBookings(t, machine, 10)
	encoded, err := machine.Snapshot()
	require.NoError(t, err)
	for _, length := range []int{len(snapshotMagic), len(snapshotMagic) + 3, len(encoded) / 2, len(encoded) - 1} {
		require.True(t, failure.Is(NewStateMachine().Restore(encoded[:length]), failure.StorageFailed), "%d bytes", length)
	}
	require.True(t, failure.Is(NewStateMachine().Restore(append(encoded, 0)), failure.StorageFailed))
}

// TestCaptureIsNotEncoding guards against a capture that blocks commands while it copies or encodes records: it may
// allocate little more than a list of pointers to them.
func TestCaptureIsNotEncoding(t *testing.T) {
	const records, pointerBytes = 20_000, 8
	machine := NewStateMachine()
	fillBookings(t, machine, records)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	encode := machine.Capture()
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(4*records*pointerBytes))
	encoded, err := encode()
	require.NoError(t, err)
	require.Greater(t, len(encoded), records*responseBytes)
}
