package coregroup

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Tolerance is what may be lost at the same time.
type Tolerance struct{ VMs, AvailabilityZones int }

// voters returns the number of voters that keep a majority through the loss.
func (t Tolerance) voters() int { return 2*max(t.VMs, t.AvailabilityZones) + 1 }

const (
	// replaceAfter is the silence after which a voter is replaced by a spare. It is above the time of a restart, about 1 s.
	replaceAfter = 2 * time.Second
	// forgetAfter is the silence after which a member that does not vote is removed.
	forgetAfter = 30 * time.Second
)

// candidate is a core member as the leader knows it from its signs of life.
type candidate struct {
	id            uint64
	address, zone string
	heard         time.Time
}

// rosterView is what the leader knows when it decides on a membership change.
type rosterView struct {
	self       uint64
	now, since time.Time
	members    []*raftpb.Member
	candidates map[uint64]candidate
	target     int
}

// next returns the membership change that brings the group closest to its tolerance, nil if there is none.
// One change at a time: each keeps the majority of the group before it.
func (v *rosterView) next() *raft.Change {
	for _, rule := range []func() *raft.Change{v.removeSuperseded, v.addCandidate, v.promote, v.replaceSilent, v.removeSurplus, v.forget} {
		if change := rule(); change != nil {
			return change
		}
	}
	return nil
}

// removeSuperseded removes a member at whose address another identity lives: its disk is lost.
func (v *rosterView) removeSuperseded() *raft.Change {
	for _, m := range v.members {
		for _, c := range v.candidates {
			if c.address == m.GetAddress() && c.id != m.GetId() && c.heard.After(v.candidates[m.GetId()].heard) && m.GetId() != v.self {
				return &raft.Change{Kind: raft.Remove, Member: m}
			}
		}
	}
	return nil
}

func (v *rosterView) addCandidate() *raft.Change {
	for _, c := range v.sortedCandidates() {
		known := slices.ContainsFunc(v.members, func(m *raftpb.Member) bool { return m.GetId() == c.id })
		if !known && v.now.Sub(c.heard) < replaceAfter {
			return &raft.Change{Kind: raft.AddLearner, Member: &raftpb.Member{Id: c.id, Address: c.address, AvailabilityZone: c.zone}}
		}
	}
	return nil
}

func (v *rosterView) sortedCandidates() []candidate {
	list := make([]candidate, 0, len(v.candidates))
	for _, c := range v.candidates {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.id, b.id) })
	return list
}

func (v *rosterView) voters() []*raftpb.Member {
	return slices.DeleteFunc(slices.Clone(v.members), (*raftpb.Member).GetLearner)
}

// promote makes the learner a voter whose zone has the fewest, while voters are missing.
func (v *rosterView) promote() *raft.Change {
	if len(v.voters()) >= v.target {
		return nil
	}
	return v.promoteSpare()
}

func (v *rosterView) promoteSpare() *raft.Change {
	perZone := map[string]int{}
	for _, m := range v.voters() {
		if !v.silent(m.GetId()) {
			perZone[m.GetAvailabilityZone()]++
		}
	}
	var best *raftpb.Member
	for _, m := range v.members {
		if !m.GetLearner() || v.silent(m.GetId()) {
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

func (v *rosterView) silent(id uint64) bool {
	heard := v.candidates[id].heard
	if heard.Before(v.since) {
		heard = v.since
	}
	return id != v.self && v.now.Sub(heard) > replaceAfter
}

// replaceSilent promotes a spare for a silent voter; the voter is removed as surplus afterwards.
func (v *rosterView) replaceSilent() *raft.Change {
	voters := v.voters()
	if len(voters) != v.target || !slices.ContainsFunc(voters, func(m *raftpb.Member) bool { return v.silent(m.GetId()) }) {
		return nil
	}
	return v.promoteSpare()
}

// removeSurplus removes a silent voter once the others suffice.
func (v *rosterView) removeSurplus() *raft.Change {
	voters := v.voters()
	if len(voters) <= v.target {
		return nil
	}
	for _, m := range voters {
		if v.silent(m.GetId()) {
			return &raft.Change{Kind: raft.Remove, Member: m}
		}
	}
	return nil
}

func (v *rosterView) forget() *raft.Change {
	for _, m := range v.members {
		heard := v.candidates[m.GetId()].heard
		if heard.Before(v.since) {
			heard = v.since
		}
		if m.GetLearner() && v.now.Sub(heard) > forgetAfter {
			return &raft.Change{Kind: raft.Remove, Member: m}
		}
	}
	return nil
}
