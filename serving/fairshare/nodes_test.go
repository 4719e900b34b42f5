package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

const (
	// roundTime is the time between two reports with accounts of a node.
	roundTime   = 160 * time.Millisecond
	rounds      = 25
	testZones   = 4
	relayBackup = 2
)

// testNode is a node with its place in its zone: the first relayBackup nodes get reports, the others digests.
type testNode struct {
	name           string
	zone, position int
	ledger         *Ledger
	sequence       uint64
}

// message is news on its way to a node.
type message struct {
	at     time.Time
	to     *testNode
	report *nodepb.LoadReport
	digest *nodepb.ZoneDigest
}

// testNetwork exchanges news between nodes as package peerload does, with messages that are late, lost and repeated.
type testNetwork struct {
	t        *rapid.T
	zones    [testZones][]*testNode
	nodes    []*testNode
	messages []message
	relay    int
	digests  uint64
	// lossPercent and repeatPercent of all messages are lost and repeated; delayMs is the longest delay.
	lossPercent, repeatPercent, delayMs int
	draw                                func(n int) int
}

func newTestNetwork(t *rapid.T, count int) *testNetwork {
	n := &testNetwork{t: t, lossPercent: rapid.IntRange(0, 40).Draw(t, "loss"), repeatPercent: rapid.IntRange(0, 40).Draw(t, "repeats"), delayMs: rapid.IntRange(1, 500).Draw(t, "delay")}
	state := rapid.Uint64().Draw(t, "seed")
	// A generator of its own: a draw of rapid for each message would take most of the time of the test.
	n.draw = func(limit int) int {
		state = state*6364136223846793005 + 1442695040888963407
		return int((state >> 33) % uint64(limit))
	}
	for i := range count {
		zone := i % testZones
		node := &testNode{name: fmt.Sprint("node-", i), zone: zone, position: len(n.zones[zone]), ledger: New()}
		n.zones[zone] = append(n.zones[zone], node)
		n.nodes = append(n.nodes, node)
	}
	return n
}

func (n *testNetwork) send(now time.Time, m message) {
	for {
		if n.draw(100) >= n.lossPercent {
			m.at = now.Add(time.Duration(n.draw(n.delayMs)) * time.Millisecond)
			n.messages = append(n.messages, m)
		}
		if n.draw(100) >= n.repeatPercent {
			return
		}
	}
}

// round lets every node report once, the relays send a digest, and delivers what has arrived.
func (n *testNetwork) round(now time.Time) {
	for _, node := range n.nodes {
		var list []*nodepb.AccountLoad
		for range newsInterval {
			node.sequence++
			if sent := node.ledger.Report(node.sequence, now); sent != nil {
				list = sent
			}
		}
		report := &nodepb.LoadReport{Node: node.name, Sequence: node.sequence, Accounts: list}
		for _, to := range n.zones[node.zone][:relayBackup] {
			if to != node {
				n.send(now, message{to: to, report: report})
			}
		}
	}
	for zone, nodes := range n.zones {
		relay := nodes[n.relay]
		var list []*nodepb.AccountLoad
		for range newsInterval {
			if sent := relay.ledger.Digest(now); sent != nil {
				list = sent
			}
		}
		n.digests++
		digest := &nodepb.ZoneDigest{Zone: fmt.Sprint("zone-", zone), Relay: uint32(n.relay + 1), Sequence: n.digests, Accounts: list}
		for _, node := range nodes {
			if source := relay.ledger.news.nodes[node.name]; source != nil {
				digest.MergedNodes = append(digest.MergedNodes, hashName(node.name))
				digest.MergedSequences = append(digest.MergedSequences, uint32(source.sequence))
			}
		}
		for _, to := range n.nodes {
			if to.zone != zone || to.position >= relayBackup {
				n.send(now, message{to: to, digest: digest})
			}
		}
	}
	left := n.messages[:0]
	for _, m := range n.messages {
		if m.at.After(now) {
			left = append(left, m)
			continue
		}
		if m.report != nil {
			m.to.ledger.ApplyReport(m.report.GetNode(), m.report.GetSequence(), m.report.GetAccounts(), now)
			continue
		}
		own, merged := m.digest.GetZone() == fmt.Sprint("zone-", m.to.zone), uint32(0)
		for i, hash := range m.digest.GetMergedNodes() {
			if own && hash == hashName(m.to.name) {
				merged = m.digest.GetMergedSequences()[i]
			}
		}
		m.to.ledger.ApplyDigest(m.digest, own, merged, now)
	}
	n.messages = left
}

// own returns the upstream time of an account at this node, in ms.
func (l *Ledger) own(key Key, now time.Time) float64 {
	return l.services[key.Service].account(key.Account).own / l.scale(now)
}

// Guards against an account that gets more because it connects to every node, against sums that count late or repeated news twice, and
// against sums that lost news leave far too low.
func TestSumsOverAllNodes(t *testing.T) {
	for _, count := range []int{34, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkSums(t, count) })
		})
	}
}

func checkSums(t *rapid.T, count int) {
	n := newTestNetwork(t, count)
	everywhere, single, small := NewKey("s", "everywhere"), NewKey("s", "single"), NewKey("s", "small")
	home := n.nodes[rapid.IntRange(0, count-1).Draw(t, "home")]
	relayChange := rapid.IntRange(0, rounds).Draw(t, "relay change")
	now := time.Unix(1000, 0)
	for round := range rounds {
		now = now.Add(roundTime)
		if round == relayChange {
			n.relay = 1
		}
		work := time.Duration(count) * 20 * time.Millisecond
		for _, node := range n.nodes {
			node.ledger.Admitted(everywhere, work/time.Duration(count), now)
			node.ledger.Refused(everywhere, now)
			// Each node has requests that wait.
			node.ledger.Decide(small, target, target, now)
		}
		home.ledger.Admitted(single, work, now)
		home.ledger.Refused(single, now)
		home.ledger.Admitted(small, work/50, now)
		n.round(now)
	}
	now = now.Add(refreshInterval)
	truth := 0.0
	for _, node := range n.nodes {
		truth += node.ledger.own(everywhere, now)
	}
	require.LessOrEqual(t, toMs(home.ledger.Decide(single, target, target, now).Work)/home.ledger.own(single, now), 1.15, "a node's own sum comes back to it")
	singleFactor := home.ledger.Decide(single, target, target, now).Factor
	require.Less(t, singleFactor, 1.05)
	for _, node := range n.nodes {
		share := node.ledger.Decide(everywhere, target, target, now)
		require.InDelta(t, 1, toMs(share.Work)/truth, 0.45, "%s", node.name)
		require.LessOrEqual(t, toMs(share.Work)/truth, 1.15, "%s counts news twice", node.name)
		require.InDelta(t, singleFactor, share.Factor, 0.25, "%s", node.name)
		require.Greater(t, node.ledger.Decide(small, target, target, now).Factor, 1.05)
	}
	// Without news only the node's own sums are left.
	now = now.Add(newsTimeout + refreshInterval)
	for _, node := range n.nodes {
		require.InDelta(t, node.ledger.own(everywhere, now), toMs(node.ledger.Decide(everywhere, 0, target, now).Work), 1)
	}
}

// Guards against lists of more accounts than a node sends, and against accounts without a limit on their number.
func TestNewsIsBounded(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	var list []*nodepb.AccountLoad
	for i := range 100 {
		k := NewKey("s", fmt.Sprint(i))
		l.Admitted(k, time.Duration(i+1)*time.Millisecond, now)
		list = append(list, &nodepb.AccountLoad{Service: k.Service, Account: k.Account, WorkMs: 1000})
	}
	require.Empty(t, l.Report(newsInterval, now), "no shortage")
	l.Decide(NewKey("s", "0"), target, target, now)
	var sent []*nodepb.AccountLoad
	for i := range uint64(newsInterval) {
		if news := l.Report(i+1, now); news != nil {
			sent = news
		}
	}
	require.Len(t, sent, maxNews)
	require.EqualValues(t, 100, sent[0].GetWorkMs(), "the heaviest come first")
	l.ApplyReport("node", 1, list, now)
	require.Len(t, l.news.nodes["node"].sums, maxNews)
	for i := range 2 * maxSources {
		l.ApplyReport(fmt.Sprint(i), 1, list, now)
	}
	require.Len(t, l.news.nodes, maxSources)
}

// Guards against news that arrives twice or after newer news, and against sums that count both in the reports of the nodes of a zone and in
// the zone's digest.
func TestOldNewsIsIgnored(t *testing.T) {
	l, now, k := New(), time.Unix(1000, 0), NewKey("s", "a")
	loads := func(ms uint32) []*nodepb.AccountLoad {
		return []*nodepb.AccountLoad{{Service: k.Service, Account: k.Account, WorkMs: ms}}
	}
	digest := func(zone string, relay uint32, sequence uint64, ms uint32) *nodepb.ZoneDigest {
		return &nodepb.ZoneDigest{Zone: zone, Relay: relay, Sequence: sequence, Accounts: loads(ms)}
	}
	sum := func() float64 { return l.news.sums(now)[k] }
	l.ApplyReport("n", 5, loads(100), now)
	l.ApplyReport("n", 5, loads(200), now)
	l.ApplyReport("n", 4, loads(300), now)
	l.ApplyReport("n", 6, nil, now)
	require.EqualValues(t, 100, sum())
	l.ApplyReport("m", 1, loads(50), now)
	require.EqualValues(t, 150, sum())
	l.ApplyDigest(digest("far", 1, 9, 1000), false, 0, now)
	l.ApplyDigest(digest("far", 1, 8, 5000), false, 0, now)
	require.EqualValues(t, 1150, sum())
	l.ApplyDigest(digest("far", 2, 3, 2000), false, 0, now)
	require.EqualValues(t, 2150, sum(), "another relay counts its digests on its own")
	l.ApplyDigest(digest("own", 1, 1, 400), true, 0, now)
	require.EqualValues(t, 2400, sum(), "the digest of the own zone replaces the reports of its nodes")
	l.ApplyReport("n", 7, loads(70), now)
	require.EqualValues(t, 2070, sum(), "a report replaces the digest of the own zone")
	now = now.Add(newsTimeout + time.Millisecond)
	l.news.expire(now)
	require.Zero(t, sum())
}

// Guards against sums of a former relay that arrive late and replace newer ones of its successor.
func TestLateDigestOfAFormerRelayIsIgnored(t *testing.T) {
	l, now, k := New(), time.Unix(1000, 0), NewKey("s", "a")
	apply := func(relay uint32, sequence uint64, ms uint32) float64 {
		l.ApplyDigest(&nodepb.ZoneDigest{
			Zone: "far", Relay: relay, Sequence: sequence, Accounts: []*nodepb.AccountLoad{{Service: k.Service, Account: k.Account, WorkMs: ms}},
		}, false, 0, now)
		return math.Round(l.news.sums(now)[k])
	}
	require.EqualValues(t, 1000, apply(1, 8, 1000))
	require.EqualValues(t, 2000, apply(2, 3, 2000), "another relay counts its digests on its own")
	require.EqualValues(t, 2000, apply(1, 8, 1000), "repeated")
	require.EqualValues(t, 2000, apply(1, 9, 1100), "sent before the change, and late")
	require.EqualValues(t, 2100, apply(2, 4, 2100))
	now = now.Add(lateDigests)
	require.EqualValues(t, 2200, apply(2, 5, 2200))
	require.EqualValues(t, 2200, apply(1, 9, 1100), "repeated after a while")
	require.EqualValues(t, 1200, apply(1, 20, 1200), "the former relay is back")
	require.EqualValues(t, 1200, apply(2, 5, 2200))
	require.EqualValues(t, 1200, apply(2, 6, 2300))
	require.EqualValues(t, 1300, apply(1, 21, 1300))
	require.Len(t, l.news.zones["far"].former, 1)
}

// Guards against late reports after a digest of the own zone, and late digests after a report, that count because the source was forgotten.
func TestLateNewsOfTheOwnZoneIsIgnored(t *testing.T) {
	l, now, k := New(), time.Unix(1000, 0), NewKey("s", "a")
	loads := func(ms uint32) []*nodepb.AccountLoad {
		return []*nodepb.AccountLoad{{Service: k.Service, Account: k.Account, WorkMs: ms}}
	}
	report := func(sequence uint64, ms uint32) float64 {
		l.ApplyReport("n", sequence, loads(ms), now)
		return l.news.sums(now)[k]
	}
	digest := func(sequence uint64, ms uint32) float64 {
		l.ApplyDigest(&nodepb.ZoneDigest{Zone: "own", Relay: 1, Sequence: sequence, Accounts: loads(ms)}, true, 0, now)
		return l.news.sums(now)[k]
	}
	require.EqualValues(t, 100, report(5, 100))
	require.EqualValues(t, 400, digest(7, 400))
	require.EqualValues(t, 400, report(4, 90), "a late report")
	require.EqualValues(t, 120, report(6, 120))
	require.EqualValues(t, 120, digest(6, 300), "a late digest")
	require.EqualValues(t, 500, digest(8, 500))
}
