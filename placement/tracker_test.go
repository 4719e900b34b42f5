package placement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// newlyUnresponsive returns the instances that a report or digest made a tracker eject.
func newlyUnresponsive(instances []string, _ bool) []string { return instances }

func onlyCandidate(t *Tracker, i *upstreams.Instance, now time.Time) Candidate {
	return t.Candidates([]*upstreams.Instance{i}, now, &Request{Model: "m"})[0]
}

// Guards against an instance that fails fast, looks idle and attracts the traffic, and against one that stays ejected
// for good.
func TestFailuresEjectForLongerEachTime(t *testing.T) {
	tracker, i, now := NewTracker(), instance("i"), time.Now()
	fail := func() {
		for range ejectAfter {
			tracker.Begin(i, Work{}).End(Failed, now)
		}
	}
	fail()
	require.True(t, onlyCandidate(tracker, i, now).Ejected)
	now = now.Add(firstEjection + time.Millisecond)
	require.False(t, onlyCandidate(tracker, i, now).Ejected)
	tracker.Begin(i, Work{}).End(Failed, now)
	now = now.Add(firstEjection + time.Millisecond)
	require.True(t, onlyCandidate(tracker, i, now).Ejected, "the second ejection is longer")
	now = now.Add(lastEjection)
	tracker.Begin(i, Work{}).End(Answered, now)
	tracker.Begin(i, Work{}).End(Failed, now)
	require.False(t, onlyCandidate(tracker, i, now).Ejected, "an answer ends the run of failures")
}

// Guards against requests that are still sent to a VM without power, and against an instance that is not used again
// after it can be reached.
func TestSilentInstanceIsOutUntilItIsReached(t *testing.T) {
	tracker, i, now := NewTracker(), instance("i"), time.Now()
	directory := upstreams.NewDirectory()
	directory.ApplyList([]upstreams.Instance{*i}, now)
	tracker.Sync(directory.View())
	tracker.Begin(i, Work{}).End(Unresponsive, now)
	require.True(t, onlyCandidate(tracker, i, now.Add(10*time.Second)).Ejected)
	require.Len(t, tracker.UnresponsiveInstances(directory.View()), 1)
	tracker.MarkReachable(i, now)
	require.False(t, onlyCandidate(tracker, i, now.Add(time.Millisecond)).Ejected)
	require.Empty(t, tracker.UnresponsiveInstances(directory.View()))
}

// Guards against each of 28 nodes waiting in turn for each of 12 VMs without power, 0.35 s each: requests were sent
// or refused 0.7 s late. Also guards against ejecting an instance that answers this node because of a report from a
// node that is cut off.
func TestSilentInstancesAreTold(t *testing.T) {
	now := time.Now()
	finder, other, answered := NewTracker(), NewTracker(), NewTracker()
	i := instance("i")
	finder.Begin(i, Work{}).End(Unresponsive, now)
	onlyCandidate(other, i, now)
	answered.Begin(i, Work{}).End(Answered, now)
	report := finder.Report(1)
	report.Node, report.Sequence = "finder", 1
	require.Equal(t, []string{"i"}, newlyUnresponsive(other.ApplyReport(report, "z", now)))
	require.Empty(t, newlyUnresponsive(answered.ApplyReport(report, "z", now)))
	require.True(t, onlyCandidate(other, i, now).Ejected)
	require.False(t, onlyCandidate(answered, i, now).Ejected)
	require.Empty(t, other.Report(1).GetSilent(), "reports of other nodes are not forwarded")
	other.MarkReachable(i, now)
	again := finder.Report(1)
	again.Node, again.Sequence = "finder", 2
	other.ApplyReport(again, "z", now.Add(2*answerValidity))
	require.False(t, onlyCandidate(other, i, now.Add(2*answerValidity)).Ejected, "a repeated report counts once")
	finder.MarkReachable(i, now)
	require.Empty(t, finder.Report(1).GetSilent())
}

// Guards against an instance that all nodes eject because of one node that is busy or cut off: after a loss of all
// power one late connection at one of 24 nodes took the engine from all, 108 times within two seconds (inc-45ac).
func TestSilenceNeedsTwoWitnesses(t *testing.T) {
	now := time.Now()
	other, i := NewTracker(), instance("i")
	onlyCandidate(other, i, now)
	other.ApplyReport(&nodepb.LoadReport{Node: "n1", Sequence: 1}, "z", now)
	other.ApplyReport(&nodepb.LoadReport{Node: "n2", Sequence: 1}, "z", now)
	require.Empty(t, newlyUnresponsive(other.ApplyReport(&nodepb.LoadReport{Node: "n1", Sequence: 2, Silent: []uint32{hashKey("i")}}, "z", now)))
	require.False(t, onlyCandidate(other, i, now).Ejected)
	require.Equal(t, []string{"i"}, newlyUnresponsive(other.ApplyReport(&nodepb.LoadReport{Node: "n2", Sequence: 2, Silent: []uint32{hashKey("i")}}, "z", now)))
	require.True(t, onlyCandidate(other, i, now).Ejected)
}

// Guards against work that is counted twice or never released.
func TestTicketGivesBackItsWorkOnce(t *testing.T) {
	tracker, i, now := NewTracker(), instance("i"), time.Now()
	attempt := tracker.Begin(i, Work{PrefillTokens: 100, HeldTokens: 200})
	c := onlyCandidate(tracker, i, now)
	require.Equal(t, []int{1, 100, 200}, []int{c.Requests, c.PrefillTokens, c.HeldTokens})
	attempt.Prefilled()
	attempt.Prefilled()
	require.Zero(t, onlyCandidate(tracker, i, now).PrefillTokens)
	attempt.End(Answered, now)
	attempt.End(Failed, now)
	c = onlyCandidate(tracker, i, now)
	require.Equal(t, []int{0, 0, 0}, []int{c.Requests, c.PrefillTokens, c.HeldTokens})
}

// Guards against counting on cache that an engine dropped with its old weights.
func TestNewWeightsEmptyTheBelievedCache(t *testing.T) {
	tracker, i, now := NewTracker(), instance("i"), time.Now()
	parts := []Part{{"a", 10}, {"own", 5}}
	q := &Request{Model: "m", Parts: parts}
	tracker.Begin(i, Work{}).RecordAnswer(nil, "m", 1, now)
	attempt := tracker.Begin(i, Work{Salt: q.Salt(1), Parts: parts, CacheTokens: 100})
	require.Equal(t, 15, tracker.Candidates([]*upstreams.Instance{i}, now, q)[0].CachedTokens)
	attempt.RecordAnswer(nil, "m", 2, now)
	require.Zero(t, tracker.Candidates([]*upstreams.Instance{i}, now, q)[0].CachedTokens)
}

// Guards against nodes that account only for the prompts that they sent themselves: each of 28 nodes then covers a
// 28th of what engines hold, and expects most of it to be fetched over the stores' links.
func TestNodesTellEachOtherWhatEnginesHold(t *testing.T) {
	sender, receiver, i, now := NewTracker(), NewTracker(), instance("i"), time.Now()
	q := &Request{Model: "m", Parts: []Part{{"a", 10}, {"b", 20}, {"own", 5}}}
	sender.Begin(i, Work{Salt: q.Salt(0), Parts: q.Parts, CacheTokens: 100})
	require.Zero(t, onlyCandidate(receiver, i, now).CachedTokens)
	report := sender.Report(1)
	report.Node, report.Sequence = "sender", 1
	receiver.ApplyReport(report, "z", now)
	c := receiver.Candidates([]*upstreams.Instance{i}, now, &Request{Model: "m", Parts: []Part{{"a", 10}, {"b", 20}, {"other", 7}}})[0]
	require.Equal(t, []int{2, 30}, []int{c.CachedParts, c.CachedTokens})
	require.Empty(t, sender.Report(1).GetReads(), "reported once")
	for sequence, malformed := range []*nodepb.PromptReads{
		{Instances: []uint32{hashKey("i")}},
		{Instances: []uint32{hashKey("i")}, CacheTokens: []uint32{1}, PartCounts: []uint32{1}, Parts: []uint32{1}},
		{Instances: []uint32{hashKey("i")}, CacheTokens: []uint32{1}, PartCounts: []uint32{4_000_000_000}},
	} {
		receiver.ApplyReport(&nodepb.LoadReport{Node: "x", Sequence: uint64(sequence + 1), Reads: malformed}, "z", now)
	}
}

func report(node string, sequence uint64, i *upstreams.Instance, requests, prefill, held uint32, transfer uint32) *nodepb.LoadReport {
	return &nodepb.LoadReport{
		Node: node, Sequence: sequence, Keys: []uint32{hashKey(i.ID)}, Requests: []uint32{requests}, PrefillTokens: []uint32{prefill}, LongTokens: []uint32{0},
		HeldTokens: []uint32{held}, StoreKeys: []uint32{hashKey("store")}, TransferMs: []uint32{transfer},
	}
}

// Guards against load of other nodes that is summed twice, taken from an outdated report, or kept after they are
// gone.
func TestReportsOfOtherNodesReplaceEachOther(t *testing.T) {
	tracker, i, now := NewTracker(), instance("i"), time.Now()
	tracker.ApplyReport(report("n1", 2, i, 3, 300, 30, 0), "z", now)
	tracker.ApplyReport(report("n1", 1, i, 9, 900, 90, 0), "z", now)
	tracker.ApplyReport(report("n2", 1, i, 1, 100, 10, 0), "z", now)
	c := onlyCandidate(tracker, i, now)
	require.Equal(t, []int{4, 400, 40}, []int{c.Requests, c.PrefillTokens, c.HeldTokens})
	tracker.ApplyReport(report("n1", 3, i, 1, 50, 5, 0), "z", now)
	require.Equal(t, 150, onlyCandidate(tracker, i, now).PrefillTokens)
	require.Zero(t, onlyCandidate(tracker, i, now.Add(sourceTimeout+time.Millisecond)).PrefillTokens)
	tracker.ApplyReport(&nodepb.LoadReport{Node: "n3", Sequence: 1, Keys: []uint32{1}}, "z", now)
	require.Zero(t, onlyCandidate(tracker, i, now.Add(sourceTimeout+time.Millisecond)).Requests, "a report with missing fields is ignored")
}

// Guards against a store's link that looks idle while other nodes fill it, also when a report is lost, and against a
// node's totals since its start counted as a queue.
func TestQueueOfALinkFollowsTheTotals(t *testing.T) {
	l, now := newLinks(), time.Now()
	key := hashKey("store")
	l.applyTransferTotals("n1", true, map[uint32]time.Duration{key: time.Minute}, now)
	require.Zero(t, l.backlog("store", now), "the first report is only a baseline")
	l.applyTransferTotals("n1", true, map[uint32]time.Duration{key: time.Minute + 30*time.Millisecond}, now)
	l.addTransfer("store", 20*time.Millisecond, now)
	require.Equal(t, 50*time.Millisecond, l.backlog("store", now))
	require.Equal(t, 20*time.Millisecond, l.backlog("store", now.Add(30*time.Millisecond)), "the queue drains in real time")
	l.applyTransferTotals("n1", true, map[uint32]time.Duration{key: time.Minute + 130*time.Millisecond}, now.Add(time.Second))
	require.Equal(t, 100*time.Millisecond, l.backlog("store", now.Add(time.Second)))
	l.applyTransferTotals("n1", true, nil, now.Add(time.Second))
	l.applyTransferTotals("n1", true, map[uint32]time.Duration{key: time.Minute + 140*time.Millisecond}, now.Add(time.Second))
	require.Equal(t, 110*time.Millisecond, l.backlog("store", now.Add(time.Second)), "totals that did not change are left out")
	l.dropSource("n1")
	l.applyTransferTotals("n1", true, map[uint32]time.Duration{key: 5 * time.Millisecond}, now.Add(2*time.Second))
	require.Zero(t, l.backlog("store", now.Add(2*time.Second)), "a restarted node begins at 0")
}

// Guards against an expected time to the first event that does not follow what engines achieve.
func TestReadRateIsLearned(t *testing.T) {
	r := readRate{tokensPerMs: initialReadRate}
	for range 300 {
		r.observe(10_000, 500*time.Millisecond)
	}
	require.InDelta(t, 20, r.tokensPerMs, 1)
	r.observe(minLearnedTokens-1, time.Hour)
	require.InDelta(t, 20, r.tokensPerMs, 1)
}

// Guards against fetches over a link that has slowed to a quarter of its speed, and against mistaking a flood at all
// engines for slow links.
func TestSlowLinkIsLearnedAgainstTheOthers(t *testing.T) {
	l := newLinks()
	stores := []string{"", "a", "b", "c"}
	now := time.Now()
	play := func(rounds int, factor func(address string) float64) {
		for range rounds {
			now = now.Add(100 * time.Millisecond)
			for _, address := range stores {
				expected := time.Duration(30+30*l.slowness(address, now)) * time.Millisecond
				l.observe(address, time.Duration(float64(30+30*factor(address))*float64(time.Millisecond)), expected, now)
			}
		}
	}
	play(100, func(string) float64 { return 1 })
	require.InDelta(t, 1, l.slowness("a", now), 0.1)
	reported := latenessTotal{}
	l.applyLatenessTotals("n0", true, map[uint32]latenessTotal{hashKey("b"): reported}, now)
	play(30, func(address string) float64 {
		if address == "b" {
			// Another node has as many requests and reports them.
			expected := 30 + 30*l.slowness("b", now)
			reported = latenessTotal{reported.sum + math.Log(150/expected), reported.count + 1}
			l.applyLatenessTotals("n0", true, map[uint32]latenessTotal{hashKey("b"): reported}, now)
		}
		if address == "b" {
			return 4
		}
		return 1
	})
	require.Greater(t, l.slowness("b", now), 2.0, "learned within 3 s at 10 requests a second")
	require.Less(t, l.slowness("a", now), 1.3)
	play(100, func(string) float64 { return 1 })
	require.Less(t, l.slowness("b", now), 1.3, "the link is fast again")
	play(200, func(string) float64 { return 20 })
	for _, address := range stores {
		require.Less(t, l.slowness(address, now), 1.5, "all stores are equally late")
	}
	before := l.slowness("b", now)
	l.applyLatenessTotals("n1", true, map[uint32]latenessTotal{hashKey("b"): {sum: 1000, count: 500}}, now)
	require.InDelta(t, before, l.slowness("b", now), 0.01, "the first report is only a baseline")
	l.applyLatenessTotals("n1", true, map[uint32]latenessTotal{hashKey("b"): {sum: 1100, count: 520}}, now)
	require.Greater(t, l.slowness("b", now), 1.5, "other nodes have seen 20 late requests")
}

// Guards against reports that repeat unchanged totals: they were more than a third of the bytes between nodes.
func TestReportsTellWhatChanged(t *testing.T) {
	tracker, i := NewTracker(), instance("i")
	work := Work{Transfers: map[string]time.Duration{"store": time.Millisecond}, FirstEvent: time.Second}
	tracker.Begin(i, work).Prefilled()
	first := tracker.Report(1)
	require.Len(t, first.GetStoreKeys(), 1)
	require.NotEmpty(t, first.GetLateKeys())
	second := tracker.Report(1)
	require.Empty(t, second.GetStoreKeys())
	require.Empty(t, second.GetLateKeys())
	tracker.Begin(i, work)
	require.Len(t, tracker.Report(1).GetStoreKeys(), 1)
	for range fullReportInterval - 3 {
		tracker.Report(1)
	}
	require.Len(t, tracker.Report(1).GetStoreKeys(), 1, "all totals are sent again")
}
