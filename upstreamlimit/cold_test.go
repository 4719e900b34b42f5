package upstreamlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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

// Guards against cold engines that get more than they accept, because nodes do not know of each other's requests: one got 28 in a second, two
// seconds after a zone of 14 had returned in a flood of 1.7 times the traffic.
func TestColdEnginesGetNoMoreThanTheyAccept(t *testing.T) {
	most := 0
	rapid.Check(t, func(t *rapid.T) {
		// A game of 300 nodes takes a second.
		nodes := rapid.SampledFrom([]int{34, 34, 34, 34, 300}).Draw(t, "nodes")
		s := newColdSim(rapid.Uint64().Draw(t, "seed"), nodes)
		s.lost = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lost")
		s.repeated = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeated")
		s.delay = rapid.SampledFrom([]time.Duration{3, 30, 300}).Draw(t, "delay ms") * time.Millisecond
		s.opening = rapid.SampledFrom([]time.Duration{1, 150, 400}).Draw(t, "opening ms") * time.Millisecond
		late := rapid.SampledFrom([]time.Duration{0, 1000}).Draw(t, "late ms") * time.Millisecond
		for _, n := range s.nodes {
			n.learnsAt += s.between(0, late)
		}
		s.flood()
		for range rapid.IntRange(0, 6).Draw(t, "disturbances") {
			s.after(s.between(0, coldEnd), rapid.SampledFrom([]func(){s.suspendSome, s.suspendOwner, s.part, s.join, s.leave, s.unlistOwners}).Draw(t, "disturbance"))
		}
		s.run(coldEnd)
		most = max(most, s.most())
		require.LessOrEqual(t, s.most(), coldBoundary)
	})
	t.Logf("%d requests in a second at most", most)
}

// Guards against a zone that returned and is left without work: a node that waits for its turn has no request then, and the others do not take its place.
func TestReturnedZoneIsUsed(t *testing.T) {
	for _, nodes := range []int{3, 34, 300} {
		t.Run(fmt.Sprint(nodes, "-nodes"), func(t *testing.T) {
			s := newColdSim(1, nodes)
			s.flood()
			s.run(coldEnd)
			used := float64(s.sent[0]+s.sent[1]) / (coldEnd - coldReturn - time.Second).Seconds() / (coldEngines * coldPerSecond)
			t.Logf("%.2f of the permitted rate is used, %d requests in a second at most", used, s.most())
			require.Greater(t, used, 0.7)
			require.LessOrEqual(t, s.most(), coldBoundary)
		})
	}
}

// Guards against urgent requests that get no permit, because the others take all of them.
func TestUrgentRequestsGetPermitsOfColdEngines(t *testing.T) {
	for _, nodes := range []int{34, 300} {
		t.Run(fmt.Sprint(nodes, "-nodes"), func(t *testing.T) {
			s := newColdSim(1, nodes)
			s.spareShare = 0.95
			s.flood()
			s.run(coldEnd)
			urgent, spare := float64(s.sent[0])/float64(s.wanted[0]), float64(s.sent[1])/float64(s.wanted[1])
			t.Logf("%.2f of the urgent requests and %.2f of the others got a permit", urgent, spare)
			require.Greater(t, urgent, 4*spare)
		})
	}
}
