package booking

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// claimAndDispatch claims one booking per account and dispatches it to process p.
func claimAndDispatch(t *testing.T, s *Shards, accounts int) {
	for i := range accounts {
		q := claim("c", "h")
		q.Key = &controlpb.BookingKey{Account: fmt.Sprint("account-", i), IdempotencyKey: "k"}
		require.True(t, s.Claim(0, q).Granted)
		d := dispatch(1, "d")
		d.Key = q.Key
		require.True(t, s.Dispatch(d, true).Granted)
	}
}

// TestCaptureStaysTheSame guards against a snapshot that contains changes of commands applied while it was encoded.
func TestCaptureStaysTheSame(t *testing.T) {
	table := NewTable(Limits{})
	requireUnaffected := func(change func()) {
		before := proto.Clone(table.Snapshot())
		capture := table.Capture()
		change()
		require.False(t, proto.Equal(before, table.Snapshot()))
		require.True(t, proto.Equal(before, capture.Snapshot()))
	}
	requireUnaffected(func() { table.Claim(0, claim("c1", "h")) })
	requireUnaffected(func() { table.Release(&controlpb.ReleaseBookingRequest{Key: testKey, ClaimEpoch: 1}) })
	requireUnaffected(func() { table.Claim(1, claim("c2", "h")) })
	requireUnaffected(func() { table.Dispatch(dispatch(2, "d1"), true) })
	requireUnaffected(func() { table.ProcessLost("p") })
	requireUnaffected(func() { table.Finish(finish("d1")) })
	requireUnaffected(func() { table.Retire(1001) })
}

// TestShardsActAsOneTable guards against a command that skips a shard, against limits that apply per shard instead of to
// the sum, and against a restored state that differs.
func TestShardsActAsOneTable(t *testing.T) {
	const accounts = 200
	shards := NewShards(Limits{MaxRecords: accounts})
	claimAndDispatch(t, shards, accounts)
	require.Equal(t, accounts, shards.Len())
	used := map[int]bool{}
	for i := range accounts {
		used[ShardOf(fmt.Sprint("account-", i))] = true
	}
	require.Len(t, used, ShardCount)
	require.Equal(t, failure.Overloaded, kind(shards.Claim(0, claim("c1", "h"))))

	restored, undivided := NewShards(Limits{}), &controlpb.BookingSnapshot{}
	for i, c := range shards.Capture() {
		require.NoError(t, restored.RestoreShard(i, c.Snapshot()))
		undivided.Records = append(undivided.Records, c.Snapshot().Records...)
	}
	old := NewShards(Limits{})
	old.RestoreUndivided(undivided)
	for i, c := range shards.Capture() {
		require.True(t, proto.Equal(c.Snapshot(), restored.tables[i].Snapshot()))
		require.True(t, proto.Equal(c.Snapshot(), old.tables[i].Snapshot()))
	}
	require.Equal(t, accounts, restored.ProcessLost("p"))
	require.Equal(t, accounts, shards.Retire(1001))
	require.Zero(t, shards.Len())
}

// TestRecordInForeignShardIsRefused guards against a record that no command can find because it was restored into the
// wrong shard for its account.
func TestRecordInForeignShardIsRefused(t *testing.T) {
	shards := NewShards(Limits{})
	claimAndDispatch(t, shards, 1)
	shard := ShardOf("account-0")
	snapshot := shards.Capture()[shard].Snapshot()
	err := NewShards(Limits{}).RestoreShard((shard+1)%ShardCount, snapshot)
	require.True(t, failure.Is(err, failure.StorageFailed))
	require.True(t, failure.Is(NewShards(Limits{}).RestoreShard(ShardCount, snapshot), failure.StorageFailed))
}

// TestShardsNeverMove guards against a changed assignment of accounts to shards, with which a member would not find the
// records of its snapshot.
func TestShardsNeverMove(t *testing.T) {
	require.Equal(t, 32, ShardCount)
	require.Equal(t, 12, ShardOf("account-0"))
	require.Equal(t, 29, ShardOf("dealer-17"))
}
