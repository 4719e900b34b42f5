package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node that counts the time for which it is behind from the wrong version: too short after it has taken in one of
// several, or too long after it has taken in the newest.
func TestLagCountsFromTheOldestMissingVersion(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	l := &versionLag{}
	require.Zero(t, l.behindSince())
	l.announce(4, at(0))
	require.Equal(t, 100*time.Millisecond, l.advance(4, at(100)))
	require.Zero(t, l.behindSince())
	l.announce(4, at(150))
	require.Zero(t, l.behindSince(), "a member that is behind")
	l.announce(7, at(200))
	l.announce(7, at(250))
	l.announce(9, at(300))
	l.announce(8, at(350))
	require.Equal(t, at(200), l.behindSince())
	l.advance(7, at(400))
	require.Equal(t, at(300), l.behindSince())
	require.Equal(t, 700*time.Millisecond, l.advance(12, at(1000)))
	require.Zero(t, l.behindSince())
	for version := uint64(20); version < 20+2*maxPendingVersions; version++ {
		l.announce(version, at(2000+int(version)))
	}
	require.Len(t, l.pending, maxPendingVersions)
	require.Equal(t, at(2020), l.behindSince())
	l.advance(20+2*maxPendingVersions, at(9000))
	require.Zero(t, l.behindSince())
}
