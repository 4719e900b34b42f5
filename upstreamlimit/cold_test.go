package upstreamlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node that was suspended with permits and uses them when it wakes up.
func TestColdPermitsExpireDuringASuspension(t *testing.T) {
	start := time.Now()
	c := newOnlyNode(start)
	first := c.NextCold(engine, 1000, false, start).Question
	first.Want = 9
	c.Serve(first, start)
	now := start.Add(100 * time.Millisecond)
	c.Confirm(now)
	step := c.Replied(first, c.Serve(first, now), now, now)
	require.True(t, step.Send)
	require.Positive(t, c.cold.held[engine].count)
	require.True(t, c.NextCold(engine, 1000, false, now.Add(permitValidity-1)).Send)
	require.False(t, ColdPermit{until: step.Until}.IsValid(now.Add(permitValidity)))
	require.False(t, c.NextCold(engine, 1000, false, now.Add(permitValidity)).Send)
}

// Guards against a link that fails in one direction: the owner hands out permits that nobody gets, and the node that asks waits for it for ever.
func TestLostRepliesLeadToTheSecondOwner(t *testing.T) {
	start := time.Now()
	c := NewCore(self)
	c.SetNodes([]string{self, "10.0.0.2:7000", "10.0.0.3:7000"}, start)
	hash := uint32(0)
	var first, second string
	for ; first == "" || first == self || second == self; hash++ {
		first, second = Owners(hash+1, c.grants.owners.nodes)
	}
	step := c.NextCold(hash, 12, false, start)
	require.Equal(t, first, step.Owner)
	now := start.Add(askTimeout)
	c.Failed(first, now)
	step = c.nextColdAgain(step.Question, now)
	require.Equal(t, second, step.Owner)
	c.Failed(second, now.Add(askTimeout))
	step = c.nextColdAgain(step.Question, now.Add(askTimeout))
	require.Empty(t, step.Owner)
	require.False(t, step.Send)
	require.Positive(t, step.Wait)
}

// Guards against a second question while the first is on its way, whose turn replaces that of the first, and against a node that never asks again because a
// request ended during its question.
func TestOneQuestionAtATime(t *testing.T) {
	start := time.Now()
	c := NewCore(self)
	c.SetNodes([]string{"10.0.0.2:7000"}, start)
	require.NotEmpty(t, c.NextCold(engine, 12, false, start).Owner)
	step := c.NextCold(engine, 12, false, start.Add(time.Millisecond))
	require.Empty(t, step.Owner)
	require.Equal(t, minWait, step.Wait)
	require.Positive(t, c.coldWaits(start.Add(time.Millisecond))[engine].Urgent)
	require.NotEmpty(t, c.NextCold(engine, 12, false, start.Add(askTimeout)).Owner)
}

// Guards against a node that hands out permits as soon as its list names it as owner, while the others ask the owners of before.
func TestNewOwnerWaits(t *testing.T) {
	start := time.Now()
	c := NewCore(self)
	confirm := func(from, to time.Duration) {
		for at := from; at <= to; at += 500 * time.Millisecond {
			c.Confirm(start.Add(at))
		}
	}
	rates := c.cold.ratesFor(12)
	c.SetNodes([]string{"10.0.0.2:7000", "10.0.0.3:7000"}, start)
	confirm(0, 10*time.Second)
	now := start.Add(10 * time.Second)
	c.SetNodes([]string{self}, now)
	rate, _ := c.grants.owners.coldRate(engine, rates, now)
	require.Zero(t, rate)
	confirm(10*time.Second, 12*time.Second)
	rate, _ = c.grants.owners.coldRate(engine, rates, now.Add(settleTime))
	require.InDelta(t, rates.Whole, rate, 0)
	rate, _ = c.grants.owners.coldRate(engine, rates, now.Add(settleTime+confirmTimeout+time.Millisecond))
	require.InDelta(t, rates.Isolated, rate, 0)
}
