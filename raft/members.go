package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// memberConfig is the member list of one log entry. It takes effect when the entry is appended to the log.
type memberConfig struct {
	index   uint64
	members []*raftpb.Member
	removed []uint64
}

func newMemberConfig(index uint64, m *raftpb.Members) memberConfig {
	return memberConfig{index: index, members: m.GetMembers(), removed: m.GetRemovedIds()}
}

func (c memberConfig) proto() *raftpb.Members {
	return &raftpb.Members{Members: c.members, RemovedIds: c.removed}
}

func (c memberConfig) find(id uint64) *raftpb.Member {
	for _, m := range c.members {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

func (c memberConfig) voters() []uint64 {
	var ids []uint64
	for _, m := range c.members {
		if !m.GetLearner() {
			ids = append(ids, m.GetId())
		}
	}
	return ids
}

func (c memberConfig) quorum() int { return len(c.voters())/2 + 1 }

// Bootstrap returns the state of a member at the first start of a group. Every first member starts with the same list.
// It must not be used for a member whose disk was lost, which package replica detects: such a member is replaced by one
// that starts with the zero State and a new id.
func Bootstrap(members []*raftpb.Member) (State, error) {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b *raftpb.Member) int { return int(a.GetId()) - int(b.GetId()) })
	seen := map[uint64]bool{}
	for _, m := range sorted {
		if m.GetId() == 0 || seen[m.GetId()] || m.GetLearner() {
			return State{}, failure.New(failure.InvalidRequest, failure.NotRun, "first members must be voters with distinct ids above 0")
		}
		seen[m.GetId()] = true
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&raftpb.Members{Members: sorted})
	if err != nil || len(sorted) == 0 {
		return State{}, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "first member list")
	}
	return State{
		HardState: &raftpb.HardState{Term: 1, Commit: 1, MayVote: true},
		Entries:   []*raftpb.Entry{{Term: 1, Index: 1, Type: raftpb.EntryType_ENTRY_MEMBERS, Data: data}},
	}, nil
}

func (n *Node) currentConfig() memberConfig {
	if len(n.configs) == 0 {
		return memberConfig{}
	}
	return n.configs[len(n.configs)-1]
}

func (n *Node) configAt(index uint64) memberConfig {
	for _, c := range slices.Backward(n.configs) {
		if c.index <= index {
			return c
		}
	}
	return memberConfig{}
}

func (c memberConfig) isVoter(id uint64) bool {
	m := c.find(id)
	return m != nil && !m.GetLearner()
}

func (n *Node) isVoter() bool { return n.currentConfig().isVoter(n.config.ID) }

func (n *Node) recordConfig(e *raftpb.Entry) error {
	if e.GetType() != raftpb.EntryType_ENTRY_MEMBERS {
		return nil
	}
	members := &raftpb.Members{}
	if err := proto.Unmarshal(e.GetData(), members); err != nil {
		return failure.Wrap(err, failure.StorageFailed, failure.Unknown, "member list in entry %d", e.GetIndex())
	}
	n.configs = append(n.configs, newMemberConfig(e.GetIndex(), members))
	return nil
}

// confirmIdentity allows a joining member to vote once a leader confirms that the running incarnation is a learner.
// Without that confirmation its id may belong to a voter whose disk was lost, together with its votes and entries. The
// member's own log proves nothing: when a leader sends the log again, it lists every former learner.
func (n *Node) confirmIdentity(stamp uint64) {
	if n.isOwnStamp(stamp) {
		n.mayVote = true
	}
}

// dropConfigs undoes the member lists of truncated entries.
func (n *Node) dropConfigs(from uint64) {
	for len(n.configs) > 0 && n.currentConfig().index >= from {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// trimConfigs drops the member lists that were replaced at or before index.
func (n *Node) trimConfigs(index uint64) {
	for len(n.configs) > 1 && n.configs[1].index <= index {
		n.configs = n.configs[1:]
	}
}

// ChangeKind is a kind of membership change.
type ChangeKind string

// Membership changes. A new voter is added as a learner and then promoted.
const (
	AddLearner ChangeKind = "add_learner"
	Promote    ChangeKind = "promote"
	Remove     ChangeKind = "remove"
)

// Change is one membership change.
type Change struct {
	Kind ChangeKind
	// Member has all fields set for AddLearner, and only the id for Promote and Remove.
	Member *raftpb.Member
}

// ProposeChange appends a membership change and returns its index and term.
func (n *Node) ProposeChange(change Change) (index, term uint64, err error) {
	if err := n.acceptsProposals(); err != nil {
		return 0, 0, err
	}
	if !n.committedInCurrentTerm() || n.currentConfig().index > n.log.delivered {
		return 0, 0, failure.New(failure.InProgress, failure.NotRun, "another membership change or an election is in progress")
	}
	next, err := n.nextConfig(change)
	if err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "member list")
	}
	n.appendLocal(raftpb.EntryType_ENTRY_MEMBERS, data)
	n.syncPeers(n.lastStamp)
	n.appendAll()
	return n.log.last(), n.term, nil
}

func (n *Node) nextConfig(change Change) (*raftpb.Members, error) {
	c := n.currentConfig()
	id := change.Member.GetId()
	old := c.find(id)
	next := &raftpb.Members{Members: slices.Clone(c.members), RemovedIds: slices.Clone(c.removed)}
	if change.Kind != AddLearner && old == nil {
		return nil, failure.New(failure.NotFound, failure.NotRun, "member %d does not exist", id)
	}
	switch change.Kind {
	case AddLearner:
		return n.withLearner(next, change.Member)
	case Promote:
		return n.withPromoted(next, old)
	case Remove:
		if !old.GetLearner() && len(c.voters()) == 1 {
			return nil, failure.New(failure.InvalidRequest, failure.NotRun, "member %d is the last voter", id)
		}
		next.Members = slices.DeleteFunc(next.Members, func(m *raftpb.Member) bool { return m.GetId() == id })
		next.RemovedIds = append(next.RemovedIds, id)
		return next, nil
	}
	return nil, failure.New(failure.InvalidRequest, failure.NotRun, "membership change %q does not exist", change.Kind)
}

func (n *Node) withLearner(next *raftpb.Members, m *raftpb.Member) (*raftpb.Members, error) {
	id := m.GetId()
	if id == 0 || n.currentConfig().find(id) != nil || slices.Contains(n.currentConfig().removed, id) {
		return nil, failure.New(failure.InvalidRequest, failure.NotRun, "member id %d is 0 or already used; ids are never reused", id)
	}
	next.Members = append(next.Members, &raftpb.Member{
		Id: id, Address: m.GetAddress(), AvailabilityZone: m.GetAvailabilityZone(), Learner: true,
	})
	return next, nil
}

// withPromoted makes a learner a voter. The learner must hold everything that was committed at the last heartbeat: a
// voter that is behind counts towards the quorum size but cannot replace a lost member.
func (n *Node) withPromoted(next *raftpb.Members, old *raftpb.Member) (*raftpb.Members, error) {
	if !old.GetLearner() {
		return nil, failure.New(failure.InvalidRequest, failure.NotRun, "member %d is a voter already", old.GetId())
	}
	if !n.caughtUp(old.GetId()) {
		return nil, failure.New(failure.InProgress, failure.NotRun, "learner %d has not caught up or is not confirmed", old.GetId())
	}
	for i, m := range next.GetMembers() {
		if m.GetId() == old.GetId() {
			next.Members[i] = &raftpb.Member{Id: m.GetId(), Address: m.GetAddress(), AvailabilityZone: m.GetAvailabilityZone()}
		}
	}
	return next, nil
}

func (n *Node) caughtUp(id uint64) bool {
	p := n.peers[id]
	return p != nil && p.answered && p.mayVote && p.match >= n.commitAtHeartbeat && n.sinceStamp(p.ack) <= n.config.CheckQuorum
}

// stepDownIfRemoved ends the leadership of this member if its removal is committed, after starting a transfer to another
// voter.
func (n *Node) stepDownIfRemoved() {
	c := n.currentConfig()
	if n.role != Leader || c.index > n.log.commit || c.find(n.config.ID) != nil {
		return
	}
	if to := n.bestVoter(); to != 0 {
		n.send(&raftpb.Message{Type: raftpb.MessageType_TIMEOUT_NOW, To: to})
	}
	n.becomeFollower(n.term, 0)
}
