package peerload

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/quarantine"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/fairshare"
)

func newAccountsExchange(name, zone string, ledger *fairshare.Ledger) *Exchange {
	o := Options{Node: name, Self: Peer{Address: name, AvailabilityZone: zone}, Tracker: placement.NewTracker(), Saves: &saves{}, Quarantine: quarantine.New(name), Log: zap.NewNop(), Metrics: gometrics.NewRegistry()}
	if ledger != nil {
		o.Accounts = ledger
	}
	return New(o)
}

// shortLedger returns a ledger with one second of work of an account of a service that is short of capacity.
func shortLedger(now time.Time) *fairshare.Ledger {
	ledger, key := fairshare.New(), fairshare.NewKey("s", "a")
	ledger.Admitted(key, time.Second, now)
	ledger.Decide(key, time.Second, time.Second, now)
	return ledger
}

// Guards against upstream time of accounts that does not reach the nodes of the own zone and of other zones, and against a node's own time
// that comes back to it in the digest of its zone.
func TestNodesTellEachOtherTheTimeOfAccounts(t *testing.T) {
	now := time.Now()
	work := func(ledger *fairshare.Ledger) float64 {
		return ledger.Decide(fairshare.NewKey("s", "a"), 0, time.Second, now.Add(200*time.Millisecond)).Work.Seconds()
	}
	ledgers := []*fairshare.Ledger{shortLedger(now), shortLedger(now), fairshare.New()}
	relay, member, far := newAccountsExchange("relay", "z", ledgers[0]), newAccountsExchange("member", "z", ledgers[1]), newAccountsExchange("far", "y", ledgers[2])
	var report *nodepb.LoadReport
	for sequence := uint64(1); len(report.GetAccounts()) == 0; sequence++ {
		require.Less(t, sequence, uint64(10))
		report = member.report(sequence)
	}
	apply := func(e *Exchange, d *nodepb.LoadDatagram) {
		data, err := proto.Marshal(d)
		require.NoError(t, err)
		e.apply(data, now)
	}
	relay.SetPeers([]Peer{{Address: "127.0.0.1:1", AvailabilityZone: "z"}})
	apply(relay, &nodepb.LoadDatagram{Report: report})
	require.InDelta(t, 1.9, work(ledgers[0]), 0.1)
	var digest *nodepb.ZoneDigest
	for range 10 {
		if digest = relay.digest(now); len(digest.GetAccounts()) > 0 {
			break
		}
	}
	require.Len(t, digest.GetAccounts(), 1)
	digest.Zone, digest.Relay, digest.Sequence = "z", 1, 1
	member.applyDigest(proto.CloneOf(digest), now)
	require.InDelta(t, 1.9, work(ledgers[1]), 0.1, "its own second counts once")
	far.applyDigest(digest, now)
	require.InDelta(t, 1.9, work(ledgers[2]), 0.1)
}

// Guards against load reports that change in deployments without shares, and against a node without shares that fails on the news of
// others.
func TestReportsWithoutSharesAreUnchanged(t *testing.T) {
	now := time.Now()
	e := newAccountsExchange("n", "z", nil)
	list := []*nodepb.AccountLoad{{Account: 1, Service: 2, WorkMs: 3}}
	for sequence := range uint64(10) {
		report, digest := e.report(sequence+1), e.digest(now)
		require.Empty(t, report.GetAccounts())
		require.Empty(t, digest.GetAccounts())
		data, err := proto.Marshal(&nodepb.LoadDatagram{Report: &nodepb.LoadReport{Node: "m", Sequence: sequence + 1, Accounts: list}})
		require.NoError(t, err)
		e.apply(data, now)
		e.applyDigest(&nodepb.ZoneDigest{Zone: "y", Sequence: sequence + 1, Accounts: list}, now)
	}
	require.Zero(t, e.metrics.unreadable.Count())
	idle := newAccountsExchange("n", "z", fairshare.New())
	for sequence := range uint64(10) {
		require.Empty(t, idle.report(sequence+1).GetAccounts(), "no shortage")
	}
}
