package coregroup

import "time"

// leaderHint is the address of the leader as a core member named it.
type leaderHint struct {
	address string
	at      time.Time
}

// hintLifetime is three times the interval at which core members name the leader. An older hint may lead callers to a member that has ended
// or waits for room, although another one leads.
const hintLifetime = 1500 * time.Millisecond

// Leader returns the address of the leader, or "" if this node does not know it.
func (g *Group) Leader() string {
	if member, _ := g.current(); member != nil {
		_, address := member.Leader()
		return address
	}
	hint := g.leaderHint.Load()
	if hint == nil || time.Since(hint.at) >= hintLifetime || hint.address == g.options.Address {
		// A node whose own member led until it ended would send its callers in a circle.
		return ""
	}
	return hint.address
}

// SetLeaderHint sets the leader's address for a node without a member. A core member that is in contact with the leader must have named it.
func (g *Group) SetLeaderHint(address string) {
	g.leaderHint.Store(&leaderHint{address: address, at: time.Now()})
}

// OtherLeader returns the address of the leader if that is another node, to which callers can be sent, and "" otherwise.
func (g *Group) OtherLeader() string {
	if leader := g.Leader(); leader != g.options.Address {
		return leader
	}
	// This member hands the leadership over and refuses changes meanwhile.
	return ""
}
