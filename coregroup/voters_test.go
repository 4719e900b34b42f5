package coregroup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

var start = time.Unix(1_000_000, 0)

func view(target int, members ...*raftpb.Member) *rosterView {
	v := &rosterView{self: 1, now: start.Add(time.Minute), since: start, members: members, candidates: map[uint64]candidate{}, target: target}
	for _, m := range members {
		v.candidates[m.GetId()] = candidate{id: m.GetId(), address: m.GetAddress(), zone: m.GetAvailabilityZone(), heard: v.now}
	}
	return v
}

func voter(id uint64, address, zone string) *raftpb.Member {
	return &raftpb.Member{Id: id, Address: address, AvailabilityZone: zone}
}

func learner(id uint64, address, zone string) *raftpb.Member {
	return &raftpb.Member{Id: id, Address: address, AvailabilityZone: zone, Learner: true}
}

func (v *rosterView) silence(id uint64, d time.Duration) {
	c := v.candidates[id]
	c.heard = v.now.Add(-d)
	v.candidates[id] = c
}

func requireChange(t *testing.T, v *rosterView, kind raft.ChangeKind, id uint64) {
	t.Helper()
	change := v.next()
	require.NotNil(t, change)
	require.Equal(t, kind, change.Kind)
	require.Equal(t, id, change.Member.GetId())
}

// Guards against a group that stays smaller than its tolerance asks for, or has its voters in one zone.
func TestVotersAreSpreadOverZones(t *testing.T) {
	require.Equal(t, 3, Tolerance{VMs: 1}.voters())
	require.Equal(t, 5, Tolerance{VMs: 2}.voters())
	require.Equal(t, 3, Tolerance{AvailabilityZones: 1}.voters())
	require.Equal(t, 1, Tolerance{}.voters())
	v := view(3, voter(1, "a", "z1"), learner(2, "b", "z1"), learner(3, "c", "z2"))
	requireChange(t, v, raft.Promote, 3)
	v = view(3, voter(1, "a", "z1"))
	v.candidates[9] = candidate{id: 9, address: "d", heard: v.now}
	requireChange(t, v, raft.AddLearner, 9)
	v = view(3, voter(1, "a", "z1"), voter(2, "b", "z2"), voter(3, "c", "z3"), learner(4, "d", "z1"))
	require.Nil(t, v.next(), "a spare stays a learner")
}

// Guards against a lost disk that still counts as a voter when the next loss comes.
func TestLostDiskIsRemovedAtOnce(t *testing.T) {
	v := view(3, voter(1, "a", "z1"), voter(2, "b", "z2"), voter(3, "c", "z3"))
	v.candidates[9] = candidate{id: 9, address: "b", heard: v.now}
	v.silence(2, time.Second)
	requireChange(t, v, raft.Remove, 2)
}

// Guards against a loss that is never repaired though a spare is there, and against a repair that first makes the group
// smaller.
func TestSilentVoterIsReplacedByASpare(t *testing.T) {
	members := []*raftpb.Member{voter(1, "a", "z1"), voter(2, "b", "z2"), voter(3, "c", "z3"), learner(4, "d", "z2")}
	v := view(3, members...)
	v.silence(2, replaceAfter+time.Millisecond)
	requireChange(t, v, raft.Promote, 4)
	members[3] = voter(4, "d", "z2")
	v = view(3, members...)
	v.silence(2, replaceAfter+time.Millisecond)
	requireChange(t, v, raft.Remove, 2)
}

// Guards against a voter that is given up after a short restart, without a spare, or by a leader that has just begun.
func TestVoterIsKept(t *testing.T) {
	members := []*raftpb.Member{voter(1, "a", "z1"), voter(2, "b", "z2"), voter(3, "c", "z3"), learner(4, "d", "z2")}
	v := view(3, members...)
	v.silence(2, replaceAfter-time.Millisecond)
	require.Nil(t, v.next())
	v = view(3, members[:3]...)
	v.silence(2, time.Hour)
	require.Nil(t, v.next())
	v = view(3, members...)
	v.silence(2, time.Hour)
	v.since = v.now.Add(-replaceAfter / 2)
	require.Nil(t, v.next())
}

// Guards against a list of members that grows with each lost disk.
func TestSilentLearnerIsForgotten(t *testing.T) {
	v := view(1, voter(1, "a", "z1"), learner(4, "d", "z2"))
	v.silence(4, forgetAfter+time.Millisecond)
	requireChange(t, v, raft.Remove, 4)
}
