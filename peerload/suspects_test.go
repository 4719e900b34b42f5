package peerload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/quarantine"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

const testPart uint64 = 7

// simSuspects is the list of suspects of a node.
type simSuspects struct {
	list     *quarantine.List
	suspects suspectsSender
	now      func() time.Time
}

func (n *simSuspects) startSuspects(s *simulation) {
	n.list, n.now = quarantine.New(fmt.Sprint("node-", s.order)), func() time.Time { return s.now }
	n.suspects = suspectsSender{list: n.list}
}

// blockedAt returns the number of nodes that don't send a part.
func (s *simulation) blockedAt(part uint64) (nodes int) {
	for _, n := range s.nodes {
		if _, allowed := n.list.Check([]uint64{part}, s.now); !allowed {
			nodes++
		}
	}
	return nodes
}

// Guards against a crash or an answer that other nodes learn of too late, or never, with datagrams lost.
func TestSuspectsReachAllNodes(t *testing.T) {
	for _, test := range []struct {
		nodes, zones int
		within       time.Duration
	}{
		{28, 3, 300 * time.Millisecond},
		{70, 5, 300 * time.Millisecond},
		{300, 5, 600 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(test.nodes), func(t *testing.T) {
			s := newSimulation(test.nodes, test.zones, 120)
			s.run(2 * time.Second)
			// Three nodes see one crash each.
			first, second, third := s.nodes[test.nodes-1], s.nodes[test.nodes-2], s.nodes[test.nodes-3]
			first.list.RecordCrash("a", []uint64{testPart}, s.now)
			second.list.RecordCrash("b", []uint64{testPart}, s.now)
			s.run(time.Second)
			require.Zero(t, s.blockedAt(testPart))
			third.list.RecordCrash("c", []uint64{testPart}, s.now)
			var times []time.Duration
			start := s.now
			for len(times) < test.nodes && s.now.Sub(start) < 10*time.Second {
				s.run(10 * time.Millisecond)
				for range s.blockedAt(testPart) - len(times) {
					times = append(times, s.now.Sub(start))
				}
			}
			require.Len(t, times, test.nodes)
			slices.Sort(times)
			t.Logf("blocked at half of the nodes after %v, at 99 in 100 after %v, at all after %v", times[len(times)/2], p99(times), times[len(times)-1])
			require.LessOrEqual(t, p99(times), test.within)
			s.run(time.Second)
			first.list.RecordAnswer([]uint64{testPart}, s.now)
			s.run(time.Second)
			require.Zero(t, s.blockedAt(testPart))
		})
	}
}

// Guards against a restarted node or relay that sends a blocked part, because nobody repeats the state.
func TestRestartedNodesLearnSuspects(t *testing.T) {
	s := newSimulation(28, 3, 120)
	s.run(2 * time.Second)
	for i, engine := range []string{"a", "b", "c"} {
		s.nodes[9].list.RecordCrash(engine, []uint64{testPart}, s.now.Add(time.Duration(i-2)*time.Second))
	}
	s.run(5 * time.Second)
	// The first nodes are relays.
	for _, n := range []*simNode{s.nodes[0], s.nodes[1], s.nodes[9], s.nodes[27]} {
		s.start(n)
		s.run(time.Second)
		require.Len(t, s.nodes, s.blockedAt(testPart))
	}
}

// Guards against an answer that some nodes learn of late because a change is sent once: its few datagrams are lost, and the list is sent again
// only after suspectsInterval.
func TestChangedSuspectsOutlastLostDatagrams(t *testing.T) {
	s := newSimulation(28, 3, 120)
	s.lossShare = 3 * simLossShare
	s.run(time.Second)
	const rounds = 12
	late := 0
	for round := range uint64(rounds) {
		part, first := testPart+round, s.nodes[round]
		for i, engine := range []string{"a", "b", "c"} {
			first.list.RecordCrash(engine, []uint64{part}, s.now.Add(time.Duration(i-2)*time.Second))
		}
		s.run(time.Second)
		require.Equal(t, len(s.nodes), s.blockedAt(part))
		first.list.RecordAnswer([]uint64{part}, s.now)
		s.run(200 * time.Millisecond)
		if s.blockedAt(part) > 0 {
			late++
		}
	}
	t.Logf("%d of %d answers are unknown to a node after 200 ms", late, rounds)
	require.LessOrEqual(t, late, 1)
}

// Guards against bytes for suspects when there are none, and against state that is sent with every report.
func TestSuspectsAreSentOnChangesAndRepeated(t *testing.T) {
	list, now := quarantine.New("node"), time.Unix(1000, 0)
	sender := suspectsSender{list: list}
	sent := func(reports int) (count int) {
		for range reports {
			now = now.Add(minInterval)
			if sender.forReport(now) != nil {
				count++
			}
		}
		return count
	}
	require.Zero(t, sent(100))
	list.RecordCrash("a", []uint64{testPart}, now)
	require.Equal(t, suspectsRepeats, sent(suspectsRepeats))
	require.Equal(t, 5, sent(5*suspectsInterval))
	other := quarantine.New("other")
	other.RecordCrash("b", []uint64{testPart}, now)
	list.Apply(other.Suspects(now), now)
	require.Equal(t, 5, sent(5*suspectsInterval), "news from others wait for the next full report")
	for range suspectsRepeats {
		require.NotNil(t, sender.forDigest(now))
	}
	require.Nil(t, sender.forDigest(now))
	other.RecordCrash("c", []uint64{testPart}, now.Add(2*time.Second))
	list.Apply(other.Suspects(now), now)
	require.NotNil(t, sender.forDigest(now), "a relay tells its zone at once")
}

// Guards against a report that the suspects make too large for a datagram, and against suspects that are left out of it.
func TestReportWithManySuspectsShrinks(t *testing.T) {
	list, now := quarantine.New("node"), time.Unix(1_000_000, 0)
	for i := range 1000 {
		var parts []uint64
		for part := range 100 {
			parts = append(parts, uint64(part)<<32)
		}
		list.RecordCrash(fmt.Sprint("engine-", i), parts, now.Add(time.Duration(i)*time.Second))
	}
	suspects := list.Suspects(now.Add(1000 * time.Second))
	require.NotEmpty(t, suspects)
	report := &nodepb.LoadReport{Suspects: suspects}
	require.Less(t, proto.Size(report), 3000)
	for i := range 2000 {
		report.Keys, report.Requests, report.HeldTokens = append(report.Keys, uint32(i)), append(report.Requests, 1), append(report.HeldTokens, 1<<20)
		report.PrefillTokens, report.LongTokens = append(report.PrefillTokens, 1<<20), append(report.LongTokens, 1<<20)
	}
	require.True(t, shrink(report))
	require.LessOrEqual(t, proto.Size(report), maxDatagram)
	require.Equal(t, suspects, report.GetSuspects())
}
