package upstreamlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const self = "10.0.0.1:7000"

// newOnlyNode returns the core of the only node, which hands out whole limits.
func newOnlyNode(now time.Time) *Core {
	c := NewCore(self)
	c.SetNodes([]string{self}, now.Add(-2*settleTime))
	for _, ago := range []time.Duration{settleTime, settleTime / 2, 0} {
		c.Confirm(now.Add(-ago))
	}
	return c
}

// Guards against the word of an owner that a limit has ended, which arrives late and ends a limit that began since.
func TestLateWordOfAnEndEndsNoNewLimit(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	node, owner := newOnlyNode(start), newOnlyNode(start)
	node.Named(engine, 2, at(0), at(1))
	q := node.Next(engine, false, at(100)).Question
	owner.Named(engine, 2, at(0), at(1))
	require.Equal(t, Ended, owner.NotNamed(engine, at(80), at(99)))
	reply := owner.Serve(q, at(101))
	require.True(t, reply.Ended)
	node.Named(engine, 2, at(85), at(105))
	node.Replied(q, reply, at(100), at(140))
	_, limited := node.notices.Of(engine)
	require.True(t, limited)
}

// Guards against a limit that goes on at a node whose owner knows that it has ended.
func TestWordOfAnEndEndsTheLimit(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	node, owner := newOnlyNode(start), newOnlyNode(start)
	node.Named(engine, 2, at(0), at(1))
	q := node.Next(engine, false, at(100)).Question
	owner.Named(engine, 2, at(0), at(1))
	require.Equal(t, Ended, owner.NotNamed(engine, at(60), at(99)))
	require.True(t, node.Replied(q, owner.Serve(q, at(140)), at(100), at(149)).Send)
	_, limited := node.notices.Of(engine)
	require.False(t, limited)
}

// Guards against a limit beyond all integers, with which an instance gets no requests at all.
func TestHugeLimitIsNoHindrance(t *testing.T) {
	for _, perSecond := range []float64{1e6, 1e18, 1e20, 1e300} {
		start := time.Now()
		c := newOnlyNode(start)
		c.Named(engine, perSecond, start, start)
		now, sent := start, 0
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			step := c.Next(engine, false, now)
			if step.Owner != "" {
				step = c.Replied(step.Question, c.Serve(step.Question, now), now, now)
			}
			if step.Send {
				sent++
			}
			c.Confirm(now)
		}
		require.Greater(t, sent, 95, "limit %v", perSecond)
	}
}
