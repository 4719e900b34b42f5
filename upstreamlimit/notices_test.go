package upstreamlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const engine = uint32(7)

// Guards against a limit that ends because of an answer that is older than it, and against one that never ends.
func TestOnlyALaterAnswerEndsALimit(t *testing.T) {
	var n Notices
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	require.Equal(t, Unchanged, n.Clear(engine, at(0), at(5)), "no limit to end")
	require.Equal(t, Began, n.Name(engine, 1.7, at(10), at(10), at(10)))
	require.Equal(t, Unchanged, n.Clear(engine, at(10), at(20)), "the request was sent before the limit was known")
	require.Equal(t, Unchanged, n.Name(engine, 1.7, at(30), at(30), at(30)))
	require.Equal(t, Unchanged, n.Clear(engine, at(25), at(40)), "an answer that arrived later names the limit")
	require.Equal(t, Changed, n.Name(engine, 3, at(50), at(50), at(50)))
	require.Equal(t, Unchanged, n.Name(engine, 1.7, at(45), at(45), at(60)), "the word of another node is older")
	perSecond, limited := n.Of(engine)
	require.True(t, limited)
	require.Equal(t, 3.0, perSecond)
	require.Equal(t, Ended, n.Clear(engine, at(55), at(70)))
	_, limited = n.Of(engine)
	require.False(t, limited)
	require.Equal(t, Unchanged, n.Name(engine, 3, at(54), at(54), at(80)), "the limit has ended since")
	require.Equal(t, Began, n.Name(engine, 0, at(90), at(90), at(90)))
	perSecond, limited = n.Of(engine)
	require.True(t, limited)
	require.Zero(t, perSecond)
}

// Guards against an answer to an earlier request that raises a limit which was lowered since.
func TestOnlyALaterAnswerRaisesALimit(t *testing.T) {
	var n Notices
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	require.Equal(t, Began, n.Name(engine, 20, at(0), at(10), at(10)))
	require.Equal(t, Changed, n.Name(engine, 1, at(15), at(30), at(30)))
	require.Equal(t, Unchanged, n.Name(engine, 20, at(20), at(40), at(40)), "the request was sent before the lower limit was known")
	require.Equal(t, Unchanged, n.Name(engine, 1, at(25), at(50), at(50)))
	require.Equal(t, Unchanged, n.Name(engine, 20, at(45), at(60), at(60)), "an answer that arrived later names the lower limit")
	require.Equal(t, Changed, n.Name(engine, 20, at(55), at(70), at(70)))
	require.Equal(t, Unchanged, n.Name(engine, 20, at(56), at(90), at(90)))
	require.Equal(t, Changed, n.Name(engine, 1, at(80), at(80), at(95)), "the answer of before tells nothing of the time since its request was sent")
	perSecond, _ := n.Of(engine)
	require.Equal(t, 1.0, perSecond)
}

// Guards against memory that grows with the instances that ever named a limit.
func TestNoticesAreBounded(t *testing.T) {
	var n Notices
	now := time.Now()
	for hash := range uint32(2 * maxNotices) {
		n.Name(hash, 1, now.Add(time.Duration(hash)), now.Add(time.Duration(hash)), now)
	}
	require.LessOrEqual(t, len(n.byHash), maxNotices)
	n.Retain(func(hash uint32) bool { return hash == 2*maxNotices-1 }, now.Add(2*endedMemory))
	require.Len(t, n.byHash, 1)
}
