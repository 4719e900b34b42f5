package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// sendReport passes the report of a node on to the relay of its zone.
func sendReport(t *testing.T, node, relay *Tracker, name string, sequence uint64, now time.Time) {
	t.Helper()
	report := node.Report(sequence)
	report.Node = name
	_, applied := relay.ApplyReport(report, "z", now)
	require.True(t, applied)
}

// Guards against a node that counts its own requests twice, since they are in the sums of its zone too, and against
// sums that hide requests of others that began while its own ended.
func TestOwnPartIsTakenOutOfTheZonesSums(t *testing.T) {
	node, relay, i, now := NewTracker(), NewTracker(), instance("i"), time.Now()
	work := Work{PrefillTokens: 100, HeldTokens: 500, Transfers: map[string]time.Duration{"store": 100 * time.Millisecond}}
	first := node.Begin(i, work)
	relay.Begin(i, work)
	sendReport(t, node, relay, "n", 1, now)
	digest := relay.Digest(now)
	digest.Zone, digest.Sequence = "z", 1
	_, applied := node.ApplyDigest(digest, "n", now)
	require.True(t, applied)
	c := onlyCandidate(node, i, now)
	require.Equal(t, []int{2, 200, 1000}, []int{c.Requests, c.PrefillTokens, c.HeldTokens})

	// One request of the node ends and one of the relay begins: the sums do not change.
	first.End(Canceled, now)
	relay.Begin(i, work)
	require.Equal(t, 1, onlyCandidate(node, i, now).Requests)
	node.Begin(i, work)
	sendReport(t, node, relay, "n", 2, now)
	digest = relay.Digest(now)
	digest.Zone, digest.Sequence = "z", 2
	node.ApplyDigest(digest, "n", now)
	require.Equal(t, 3, onlyCandidate(node, i, now).Requests)

	// The zone's totals do not queue the node's own transfers again: 200 ms are its own, 100 ms those of the relay
	// since the first digest.
	require.InDelta(t, 300, node.Backlog("store").Milliseconds(), 50)
	require.Equal(t, 1, onlyCandidate(node, i, now.Add(sourceTimeout+time.Second)).Requests, "a zone that no longer reports counts as idle")
	remote := &nodepb.ZoneDigest{Zone: "y", Sequence: 1, Slots: 16, Keys: []uint32{hashKey("i")}, Requests: []uint32{5}, PrefillTokens: []uint32{0}, LongTokens: []uint32{0}, HeldTokens: []uint32{0}}
	node.ApplyDigest(remote, "", now.Add(sourceTimeout+time.Second))
	require.Equal(t, 6, onlyCandidate(node, i, now.Add(sourceTimeout+time.Second)).Requests, "other zones' sums do not contain the own part")
}

// Guards against requests that are counted both in a report and in the digest of the zone, when a node starts to
// receive reports.
func TestReportsReplaceTheDigestOfTheOwnZone(t *testing.T) {
	node, relay, other, i, now := NewTracker(), NewTracker(), NewTracker(), instance("i"), time.Now()
	other.Begin(i, Work{})
	sendReport(t, other, relay, "o", 1, now)
	digest := relay.Digest(now)
	digest.Zone, digest.Sequence = "z", 1
	node.ApplyDigest(digest, "n", now)
	require.Equal(t, 1, onlyCandidate(node, i, now).Requests)
	sendReport(t, other, node, "o", 2, now)
	require.Equal(t, 1, onlyCandidate(node, i, now).Requests)
	digest = relay.Digest(now)
	digest.Zone, digest.Sequence, digest.Slots = "z", 2, 1
	digest.Slot = 0
	node.ApplyDigest(digest, "n", now)
	require.LessOrEqual(t, onlyCandidate(node, i, now).Requests, 1)
}

// Guards against nodes that each find a replaced incarnation only by a failed request of their own: requests were
// sent to two such engines in a row.
func TestReplacedInstancesAreTold(t *testing.T) {
	finder, relay, other, i, now := NewTracker(), NewTracker(), NewTracker(), instance("i"), time.Now()
	directory := upstreams.NewDirectory()
	directory.ApplyList([]upstreams.Instance{*i}, now)
	for _, tracker := range []*Tracker{relay, other} {
		tracker.Sync(directory.View())
	}
	finder.Begin(i, Work{}).End(Replaced, now)
	sendReport(t, finder, relay, "f", 1, now)
	require.True(t, onlyCandidate(relay, i, now).Replaced)
	digest := relay.Digest(now)
	digest.Zone, digest.Sequence = "z", 1
	other.ApplyDigest(digest, "", now)
	require.True(t, onlyCandidate(other, i, now).Replaced)
}

// Guards against a node whose totals since its start count as the queue of a store's link, after the relay missed its
// reports for a while.
func TestTotalsWithoutTheOwnPartAreNoQueue(t *testing.T) {
	node, relay, now := NewTracker(), NewTracker(), time.Now()
	for sequence := uint64(1); sequence <= 3; sequence++ {
		node.RecordTransfer("store", time.Minute)
		sendReport(t, node, relay, "n", sequence, now)
		digest := relay.Digest(now)
		digest.Zone, digest.Sequence = "z", sequence
		node.ApplyDigest(digest, "n", now)
	}
	before := node.Backlog("store")
	relay.RecordTransfer("store", time.Millisecond)
	digest := relay.Digest(now.Add(sourceTimeout + time.Millisecond))
	digest.Zone, digest.Sequence = "z", 4
	require.Empty(t, digest.GetMergedNodes())
	node.ApplyDigest(digest, "n", now.Add(sourceTimeout/2))
	require.LessOrEqual(t, node.Backlog("store"), before+time.Second)
}
