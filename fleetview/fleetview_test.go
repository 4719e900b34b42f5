package fleetview

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

func change(i int) *nodepb.StorePlacement { return &nodepb.StorePlacement{Address: fmt.Sprint(i)} }

// TestWatcherGetsEachChangeOnce guards against a watcher that misses a change of the stores, gets one twice, or is not
// reset after the list was replaced or cleared.
func TestWatcherGetsEachChangeOnce(t *testing.T) {
	p, sent := NewPlacements(), &position{}
	full := func() []*nodepb.StorePlacement { return []*nodepb.StorePlacement{change(-1)} }
	p.Append(change(1), full)
	p.Append(change(2), full)
	require.Len(t, p.since(sent).GetStores(), 2)
	require.Nil(t, p.since(sent))
	p.Append(change(3), full)
	got := p.since(sent).GetStores()
	require.Len(t, got, 1)
	require.Equal(t, "3", got[0].GetAddress())
	for i := range maxChanges {
		p.Append(change(i), full)
	}
	got = p.since(sent).GetStores()
	require.Equal(t, "-1", got[0].GetAddress(), "a long list is replaced by the whole state")
	p.Clear()
	p.Append(change(9), full)
	got = p.since(sent).GetStores()
	require.Len(t, got, 1)
	require.Equal(t, "9", got[0].GetAddress())
}

// TestWatchersThatFollowGetNoWholeState guards against sending the whole state of all stores to all nodes at once, each time that the list of
// changes is long: it filled the leader's link, and requests and load reports of its zone waited for it.
func TestWatchersThatFollowGetNoWholeState(t *testing.T) {
	p := NewPlacements()
	full := func() []*nodepb.StorePlacement { return []*nodepb.StorePlacement{change(-1)} }
	// Streams are sent changes in batches of these sizes.
	for _, batch := range []int{1, 7, 100, 1000} {
		sent, next := &position{}, int(p.newest)
		p.since(sent)
		for range 3 * maxChanges / batch {
			for range batch {
				p.Append(change(next), full)
				next++
			}
			got := p.since(sent).GetStores()
			require.Len(t, got, batch)
			for i, c := range got {
				require.Equal(t, fmt.Sprint(next-batch+i), c.GetAddress())
			}
		}
	}
	// A stream that begins gets the state and what changed since it.
	next := int(p.newest)
	got := p.since(&position{}).GetStores()
	require.Equal(t, "-1", got[0].GetAddress())
	for i, c := range got[1:] {
		require.Equal(t, fmt.Sprint(next-len(got)+1+i), c.GetAddress())
	}
	require.Equal(t, uint64(len(got)-1), p.newest-p.stateAt)
}

// TestViewSurvivesTheWire guards against fields of instances that are lost in encoding.
func TestViewSurvivesTheWire(t *testing.T) {
	d := upstreams.NewDirectory()
	list := []upstreams.Instance{{
		ID: "a", Service: "s", Address: "1", AvailabilityZone: "z", Draining: true, Born: 5, Slots: 3, Versions: map[string]uint64{"m": 2},
	}, {ID: "b", Service: "s", Versions: map[string]uint64{}}}
	d.ApplyList(list, time.Now())
	d.SetUpdating(upstreams.Key{ID: "b"}, true)
	require.Equal(t, d.View().Instances, DecodeView(encodeView(d.View(), time.Now())))
}

// TestColdTimeSurvivesTheWire guards against nodes that do not learn how long an instance remains cold, and against a view that is sent to all
// nodes whenever the list is read, because that time has become shorter.
func TestColdTimeSurvivesTheWire(t *testing.T) {
	d, now := upstreams.NewDirectory(), time.Now()
	list := func(left time.Duration) []upstreams.Instance {
		return []upstreams.Instance{{ID: "a", Service: "s", ColdLeft: left}}
	}
	d.ApplyList(list(3*time.Second), now)
	left := DecodeView(encodeView(d.View(), now.Add(time.Second)))[0].ColdLeft
	require.GreaterOrEqual(t, left, 2*time.Second)
	require.Less(t, left, 2300*time.Millisecond)
	revision := d.View().Revision
	require.False(t, d.ApplyList(list(2500*time.Millisecond), now.Add(500*time.Millisecond)))
	require.False(t, d.ApplyList(list(2100*time.Millisecond), now.Add(time.Second)), "the read took longer")
	require.False(t, d.ApplyList(list(0), now.Add(2*time.Second)))
	require.Equal(t, revision, d.View().Revision)
	require.Zero(t, DecodeView(encodeView(d.View(), now.Add(4*time.Second)))[0].ColdLeft)
	require.True(t, d.ApplyList(list(time.Second), now.Add(10*time.Second)), "it is cold again")
	require.True(t, d.ApplyList(list(3*time.Second), now.Add(10500*time.Millisecond)), "and again")
	d.MarkLeaving(now, upstreams.Key{ID: "a"})
	require.NotZero(t, d.View().Instances[0].ColdUntil)
}

// TestNodesAreCountedForAWhile guards against budgets that are divided among lost nodes for too long, or divided without
// a node too early: a restarted node may have spent its share.
func TestNodesAreCountedForAWhile(t *testing.T) {
	s := &Server{}
	s.recordNode(&nodepb.WatchRequest{Node: "a", LoadAddress: "2", AvailabilityZone: "za", LinkMbps: 7})
	s.recordNode(&nodepb.WatchRequest{Node: "b", LoadAddress: "1", AvailabilityZone: "zb"})
	count, nodes := s.activeNodes()
	require.Equal(t, 2, count)
	require.Len(t, nodes, 2)
	require.Equal(t, knownNode{lastContact: nodes[0].lastContact, loadAddress: "1", zone: "zb"}, nodes[0])
	require.Equal(t, knownNode{lastContact: nodes[1].lastContact, loadAddress: "2", zone: "za", linkMbps: 7}, nodes[1])
	s.nodes["a"] = knownNode{lastContact: time.Now().Add(-nodeLifetime - time.Second)}
	count, _ = s.activeNodes()
	require.Equal(t, 1, count)
}

// TestMembersAreSentWhenTheyChange guards against a member list in each update on eight streams per node, and against a
// change of the list that is never sent.
func TestMembersAreSentWhenTheyChange(t *testing.T) {
	p, now := &position{}, time.Unix(1_000_000, 0)
	list := func(learner bool) []*nodepb.CoreMember {
		return []*nodepb.CoreMember{{Id: 1, Address: "a"}, {Id: 2, Address: "b", Learner: learner}}
	}
	require.Len(t, p.membersToSend(list(true), now), 2)
	require.Empty(t, p.membersToSend(list(true), now))
	require.Len(t, p.membersToSend(list(false), now), 2)
	require.Len(t, p.membersToSend(list(false), now.Add(membersInterval)), 2)
	require.Len(t, p.membersToSend(list(false)[:1], now.Add(membersInterval)), 1)
}
