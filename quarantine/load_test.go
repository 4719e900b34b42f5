package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against requests that wait for each other at the lock of the list after an outage, when all suspects have many
// crashes.
func TestCheckOfFullList(t *testing.T) {
	l, now := New("node"), time.Unix(1000, 0)
	var parts []uint64
	for part := range uint64(maxSuspects) {
		parts = append(parts, part)
	}
	for i := range maxCrashes {
		now = now.Add(sameCrash + time.Second)
		l.RecordCrash(fmt.Sprint(i), parts, now)
	}
	// A node gets fewer requests per second.
	const checks, checksPerSecond = 200, 200
	start := time.Now()
	for range checks {
		_, ok := l.Check(parts[:1], now)
		require.False(t, ok)
	}
	require.Less(t, time.Since(start), checks*time.Second/checksPerSecond)
}

// Guards against a comparison of the ordered crashes of two parts that skips some of them.
func TestExplains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		draw := func(name string) (out *suspect) {
			out = &suspect{}
			for i, tenths := range rapid.SliceOfN(rapid.IntRange(0, 40), 1, 6).Draw(t, name) {
				c := crash{instance: uint32(i), at: start.Add(time.Duration(tenths) * 100 * time.Millisecond)}
				c.cleared = rapid.IntRange(0, 3).Draw(t, "cleared") == 0
				out.add(c, start)
			}
			return out
		}
		cause, other := draw("cause"), draw("other")
		expected := !slices.ContainsFunc(other.open(), func(c crash) bool { return !slices.ContainsFunc(cause.open(), c.isNear) })
		require.Equal(t, expected, cause.explains(other))
	})
}
