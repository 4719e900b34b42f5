package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

func watchStream(t testing.TB, address string, from uint64) (controlpb.DRPCControl_WatchSetClient, func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	conn, err := rpcpool.Dial(ctx, address, time.Second)
	require.NoError(t, err)
	stream, err := controlpb.NewDRPCControlClient(conn).WatchSet(ctx, &controlpb.WatchSetRequest{FromVersion: from})
	require.NoError(t, err)
	return stream, func() {
		cancel()
		_ = conn.Close()
	}
}

// Guards against a change that does not reach every watcher within the 7 s of section 1.4 of the design.
func TestPublishInForceOnFiftyWatchers(t *testing.T) {
	const watchers = 50
	_, _, addresses := startGroup(t, 3, Options{})
	client := newClient(t, addresses)
	_, err := publish(t, client, "op0", 0, setWithAccounts(t, "a"))
	require.NoError(t, err)
	sources := make([]interface{ version() uint64 }, 0, watchers)
	for i := range watchers {
		w, _ := startWatcher(t, fmt.Sprintf("p%d", i), addresses)
		sources = append(sources, versionFunc(func() uint64 { return w.Current().Version }))
	}
	all := func(version uint64) func() bool {
		return func() bool {
			for _, s := range sources {
				if s.version() < version {
					return false
				}
			}
			return true
		}
	}
	eventually(t, all(1), "all watchers have the first version")
	began := time.Now()
	_, err = publish(t, client, "op1", 1, setWithAccounts(t, "b"))
	require.NoError(t, err)
	eventually(t, all(2), "all watchers have the second version")
	require.Less(t, time.Since(began), 7*time.Second)
	t.Logf("in force on %d watchers after %s", watchers, time.Since(began))
}

type versionFunc func() uint64

func (f versionFunc) version() uint64 { return f() }

func largeSet(accounts int) *objectset.Set {
	set := &objectset.Set{}
	for i := range accounts {
		hash := fmt.Sprintf("%064x", i)
		set.Accounts = append(set.Accounts, objectset.Account{Name: fmt.Sprintf("account-%05d", i), KeySHA256: []string{hash}, Weight: 1})
	}
	return set
}

// Measures one change among 10,000 accounts for one watcher: bytes on the wire and the time to patch the set.
func BenchmarkDeltaTenThousandAccounts(b *testing.B) {
	from, err := objectset.Parse(largeSet(10_000).Canonical())
	require.NoError(b, err)
	changed := largeSet(10_000)
	changed.Accounts[5000].Weight = 2
	to, err := objectset.Parse(changed.Canonical())
	require.NoError(b, err)
	delta := &controlpb.SetDelta{FromVersion: 1, ToVersion: 2, Changes: objectset.Diff(from, to)}
	size := proto.Size(&controlpb.SetUpdate{Update: &controlpb.SetUpdate_Delta{Delta: delta}})
	b.ReportAllocs()
	for b.Loop() {
		_, err := objectset.Patch(from, delta.Changes)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(size), "wire-bytes")
}

// Measures complete bookings (claim, dispatch, finish) in the state machine, without the log.
func BenchmarkBookings(b *testing.B) {
	m := NewStateMachine()
	index := uint64(0)
	apply := func(command *controlpb.Command) {
		index++
		m.Apply(index, command)
	}
	for b.Loop() {
		key := &controlpb.BookingKey{Account: "a", IdempotencyKey: fmt.Sprint(index)}
		apply(&controlpb.Command{Command: &controlpb.Command_ClaimBooking{ClaimBooking: &controlpb.ClaimBookingRequest{Key: key, ClaimId: "c"}}})
		apply(&controlpb.Command{Command: &controlpb.Command_DispatchBooking{DispatchBooking: &controlpb.DispatchBookingRequest{Key: key, ClaimEpoch: 1, DispatchId: "d", ProcessId: "p"}}})
		apply(&controlpb.Command{Command: &controlpb.Command_FinishBooking{FinishBooking: &controlpb.FinishBookingRequest{Key: key, DispatchId: "d", Status: 200}}})
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "bookings/s")
}
