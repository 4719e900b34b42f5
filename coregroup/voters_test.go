package coregroup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

var start = time.Unix(1_000_000, 0)

func view(target int, members ...*raftpb.Member) *membershipView {
	v := &membershipView{self: 1, now: start.Add(time.Minute), since: start, members: members, candidates: map[uint64]candidate{}, target: target}
	for _, m := range members {
		v.candidates[m.GetId()] = candidate{id: m.GetId(), address: m.GetAddress(), zone: m.GetAvailabilityZone(), lastContact: v.now}
	}
	return v
}

func voter(id uint64, address, zone string) *raftpb.Member {
	return &raftpb.Member{Id: id, Address: address, AvailabilityZone: zone}
}

func learner(id uint64, address, zone string) *raftpb.Member {
	return &raftpb.Member{Id: id, Address: address, AvailabilityZone: zone, Learner: true}
}

// setUnresponsive sets the last contact of a member to d ago.
func (v *membershipView) setUnresponsive(id uint64, d time.Duration) {
	c := v.candidates[id]
	c.lastContact = v.now.Add(-d)
	v.candidates[id] = c
}

func requireChange(t *testing.T, v *membershipView, kind raft.ChangeKind, id uint64) {
	t.Helper()
	change := v.next()
	require.NotNil(t, change)
	require.Equal(t, kind, change.Kind)
	require.Equal(t, id, change.Member.GetId())
}

// TestVotersAreSpreadOverZones guards against a group with fewer voters than its tolerance requires, and against voters
// that are all in one zone.
func TestVotersAreSpreadOverZones(t *testing.T) {
	require.Equal(t, 3, Tolerance{VMs: 1}.voters())
	require.Equal(t, 5, Tolerance{VMs: 2}.voters())
	require.Equal(t, 3, Tolerance{AvailabilityZones: 1}.voters())
	require.Equal(t, 1, Tolerance{}.voters())
	v := view(3, voter(1, "a", "z1"), learner(2, "b", "z1"), learner(3, "c", "z2"))
	requireChange(t, v, raft.Promote, 3)
	v = view(3, voter(1, "a", "z1"))
	v.candidates[9] = candidate{id: 9, address: "d", lastContact: v.now}
	requireChange(t, v, raft.AddLearner, 9)
	v = view(3, voter(1, "a", "z1"), voter(2, "b", "z2"), voter(3, "c", "z3"), learner(4, "d", "z1"))
	require.Nil(t, v.next(), "a surplus learner is not promoted")
}

// TestLostDiskIsRemovedAtOnce guards against a voter with a lost disk that still counts when another member is lost.
func TestLostDiskIsRemovedAtOnce(t *testing.T) {
	v := view(3, voter(1, "a", "z1"), voter(2, "b", "z2"), voter(3, "c", "z3"))
	v.candidates[9] = candidate{id: 9, address: "b", lastContact: v.now}
	v.setUnresponsive(2, time.Second)
	requireChange(t, v, raft.Remove, 2)
}

// TestUnresponsiveVoterIsReplaced guards against a lost voter that is not replaced although there is a learner, and
// against a replacement that removes the lost voter first.
func TestUnresponsiveVoterIsReplaced(t *testing.T) {
	members := []*raftpb.Member{voter(1, "a", "z1"), voter(2, "b", "z2"), voter(3, "c", "z3"), learner(4, "d", "z2")}
	v := view(3, members...)
	v.setUnresponsive(2, replaceAfter+time.Millisecond)
	requireChange(t, v, raft.Promote, 4)
	members[3] = voter(4, "d", "z2")
	v = view(3, members...)
	v.setUnresponsive(2, replaceAfter+time.Millisecond)
	requireChange(t, v, raft.Remove, 2)
}

// TestVoterIsKept guards against the removal of a voter after a short restart, without a learner to replace it, or by a
// leader that was elected less than replaceAfter ago.
func TestVoterIsKept(t *testing.T) {
	members := []*raftpb.Member{voter(1, "a", "z1"), voter(2, "b", "z2"), voter(3, "c", "z3"), learner(4, "d", "z2")}
	v := view(3, members...)
	v.setUnresponsive(2, replaceAfter-time.Millisecond)
	require.Nil(t, v.next())
	v = view(3, members[:3]...)
	v.setUnresponsive(2, time.Hour)
	require.Nil(t, v.next())
	v = view(3, members...)
	v.setUnresponsive(2, time.Hour)
	v.since = v.now.Add(-replaceAfter / 2)
	require.Nil(t, v.next())
}

// TestUnresponsiveLearnerIsRemoved guards against a member list that grows with each lost disk.
func TestUnresponsiveLearnerIsRemoved(t *testing.T) {
	v := view(1, voter(1, "a", "z1"), learner(4, "d", "z2"))
	v.setUnresponsive(4, removeLearnerAfter+time.Millisecond)
	requireChange(t, v, raft.Remove, 4)
}
