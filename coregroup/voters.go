package coregroup

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Tolerance is the number of VMs and of availability zones that may be lost at the same time.
type Tolerance struct{ VMs, AvailabilityZones int }

// voters returns the number of voters with which a majority survives the tolerated loss.
func (t Tolerance) voters() int { return 2*max(t.VMs, t.AvailabilityZones) + 1 }

const (
	// replaceAfter is the time without contact after which a voter is replaced by a learner. A restart takes about 1 s.
	replaceAfter = 2 * time.Second
	// removeLearnerAfter is the time without contact after which a learner is removed.
	removeLearnerAfter = 30 * time.Second
)

// candidate is a core member from which the leader has received a keep-alive.
type candidate struct {
	id            uint64
	address, zone string
	lastContact   time.Time
}

// membershipView is the input of the leader's decision on a membership change.
type membershipView struct {
	self uint64
	// since is when this member became leader; the time without contact of other members counts from then at the earliest.
	now, since time.Time
	members    []*raftpb.Member
	candidates map[uint64]candidate
	// target is the number of voters that the group should have.
	target int
}

// next returns the most important membership change that brings the group closer to its target, nil if there is none.
// Members are changed one at a time, so that the majorities before and after each change overlap.
func (v *membershipView) next() *raft.Change {
	for _, rule := range []func() *raft.Change{v.removeSuperseded, v.addCandidate, v.promote, v.replaceUnresponsive, v.removeSurplus, v.removeUnresponsiveLearner} {
		if change := rule(); change != nil {
			return change
		}
	}
	return nil
}

// removeSuperseded removes a member whose address is used by a newer identity: its disk was lost.
func (v *membershipView) removeSuperseded() *raft.Change {
	for _, m := range v.members {
		for _, c := range v.candidates {
			if c.address == m.GetAddress() && c.id != m.GetId() && c.lastContact.After(v.candidates[m.GetId()].lastContact) && m.GetId() != v.self {
				return &raft.Change{Kind: raft.Remove, Member: m}
			}
		}
	}
	return nil
}

// addCandidate adds a candidate with recent contact as a learner.
func (v *membershipView) addCandidate() *raft.Change {
	for _, c := range v.sortedCandidates() {
		known := slices.ContainsFunc(v.members, func(m *raftpb.Member) bool { return m.GetId() == c.id })
		if !known && v.now.Sub(c.lastContact) < replaceAfter {
			return &raft.Change{Kind: raft.AddLearner, Member: &raftpb.Member{Id: c.id, Address: c.address, AvailabilityZone: c.zone}}
		}
	}
	return nil
}

func (v *membershipView) sortedCandidates() []candidate {
	list := make([]candidate, 0, len(v.candidates))
	for _, c := range v.candidates {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.id, b.id) })
	return list
}

func (v *membershipView) voters() []*raftpb.Member {
	return slices.DeleteFunc(slices.Clone(v.members), (*raftpb.Member).GetLearner)
}

// promote makes a learner a voter while there are fewer voters than the target.
func (v *membershipView) promote() *raft.Change {
	if len(v.voters()) >= v.target {
		return nil
	}
	return v.promoteSpare()
}

// promoteSpare promotes a responsive learner whose zone has the fewest responsive voters.
func (v *membershipView) promoteSpare() *raft.Change {
	perZone := map[string]int{}
	for _, m := range v.voters() {
		if !v.unresponsive(m.GetId()) {
			perZone[m.GetAvailabilityZone()]++
		}
	}
	var best *raftpb.Member
	for _, m := range v.members {
		if !m.GetLearner() || v.unresponsive(m.GetId()) {
			continue
		}
		if best == nil || perZone[m.GetAvailabilityZone()] < perZone[best.GetAvailabilityZone()] {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	return &raft.Change{Kind: raft.Promote, Member: best}
}

// unresponsive reports whether another member had no contact for replaceAfter.
func (v *membershipView) unresponsive(id uint64) bool {
	contact := v.candidates[id].lastContact
	if contact.Before(v.since) {
		contact = v.since
	}
	return id != v.self && v.now.Sub(contact) > replaceAfter
}

// replaceUnresponsive promotes a learner to replace an unresponsive voter, which removeSurplus then removes.
func (v *membershipView) replaceUnresponsive() *raft.Change {
	voters := v.voters()
	if len(voters) != v.target || !slices.ContainsFunc(voters, func(m *raftpb.Member) bool { return v.unresponsive(m.GetId()) }) {
		return nil
	}
	return v.promoteSpare()
}

// removeSurplus removes an unresponsive voter if there are more voters than the target.
func (v *membershipView) removeSurplus() *raft.Change {
	voters := v.voters()
	if len(voters) <= v.target {
		return nil
	}
	for _, m := range voters {
		if v.unresponsive(m.GetId()) {
			return &raft.Change{Kind: raft.Remove, Member: m}
		}
	}
	return nil
}

// removeUnresponsiveLearner removes a learner that had no contact for removeLearnerAfter.
func (v *membershipView) removeUnresponsiveLearner() *raft.Change {
	for _, m := range v.members {
		contact := v.candidates[m.GetId()].lastContact
		if contact.Before(v.since) {
			contact = v.since
		}
		if m.GetLearner() && v.now.Sub(contact) > removeLearnerAfter {
			return &raft.Change{Kind: raft.Remove, Member: m}
		}
	}
	return nil
}
