package linksched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func run(l *Link, chunks int, chunkTime time.Duration) []string {
	var ids []string
	for range chunks {
		grant, ok := l.Next()
		if !ok {
			break
		}
		ids = append(ids, grant.ID)
		l.Done(chunkTime)
	}
	return ids
}

// TestBulkPreempted guards against bulk transfers that delay the transfers of callers, and against bulk transfers that
// never get their share under load.
func TestBulkPreempted(t *testing.T) {
	l := New(Defaults(100 << 20))
	require.True(t, pushed(l, Transfer{ID: "bulk", Bytes: 100 << 20, Bulk: true}))
	require.Equal(t, []string{"bulk", "bulk"}, run(l, 2, time.Millisecond))
	for i := range 60 {
		require.True(t, pushed(l, Transfer{ID: fmt.Sprint(i), Bytes: 1 << 20, Order: 1}))
	}
	require.True(t, pushed(l, Transfer{ID: "urgent", Bytes: 2 << 20}))
	require.Equal(t, []string{"urgent", "urgent", "0"}, run(l, 3, time.Millisecond))
	bulk := 0
	for _, id := range run(l, 57, time.Millisecond) {
		if id == "bulk" {
			bulk++
		}
	}
	require.InDelta(t, 3, bulk, 1)
}

// TestBandwidthMeasured guards against plans based on the configured bandwidth of a link that became slow.
func TestBandwidthMeasured(t *testing.T) {
	l := New(Defaults(100 << 20))
	l.Push(Transfer{ID: "a", Bytes: 100 << 20})
	run(l, 20, 100*time.Millisecond)
	require.InDelta(t, 10<<20, l.BytesPerSecond(), 1<<20)
	require.InDelta(t, 8, l.Wait(0).Seconds(), 1)
	require.Equal(t, int64(80<<20), l.Queued())
}

func pushed(l *Link, t Transfer) bool {
	_, ok := l.Push(t)
	return ok
}

// TestCancelAndBounds guards against canceled transfers that occupy the link and against unbounded queues.
func TestCancelAndBounds(t *testing.T) {
	settings := Defaults(1 << 20)
	settings.MaxQueued = 2
	l := New(settings)
	require.True(t, pushed(l, Transfer{ID: "a", Bytes: 5 << 20}))
	require.True(t, pushed(l, Transfer{ID: "b", Bytes: 5 << 20, Bulk: true}))
	require.False(t, pushed(l, Transfer{ID: "c", Bytes: 1, Bulk: true}))
	displaced, ok := l.Push(Transfer{ID: "c", Bytes: 1})
	require.True(t, ok, "a bulk transfer is displaced")
	require.Equal(t, "b", displaced)
	require.False(t, l.Cancel("b"))
	_, ok = l.Next()
	require.True(t, ok)
	require.True(t, l.Cancel("a"))
	require.Equal(t, []string{"c"}, run(l, 5, time.Millisecond))
	require.Zero(t, l.Queued())
}
