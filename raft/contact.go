package raft

import (
	"time"

	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// KeepContact sets the current time while the driver syncs the work of a Ready, and returns the heartbeats that are due. It and StepContact are
// the only calls that may come between Ready and Advance. Without them the time of a sync, half a second on a slow disk, would count as silence
// of this member.
//
// What leaves during a sync depends on nothing that a crash could undo: heartbeats name committed entries only, and both they and their replies
// belong to a term whose vote is durable.
func (n *Node) KeepContact(now time.Duration) []*raftpb.Message {
	n.now = max(n.now, now)
	if n.role != Leader || !n.voteIsDurable() || n.now < n.nextHeartbeat || n.sinceStamp(n.quorumStamp) > n.config.CheckQuorum {
		return nil
	}
	// The messages of the Ready wait for the sync.
	waiting := n.messages
	n.messages = nil
	n.heartbeatAll(n.nextStamp())
	heartbeats := n.messages
	n.messages = waiting
	return heartbeats
}

// StepContact handles a heartbeat of the leader or a reply to one while the driver syncs. It returns the reply, nil if there is none, and whether
// the message was handled. Any other message waits for Step after Advance.
func (n *Node) StepContact(m *raftpb.Message) (reply *raftpb.Message, handled bool) {
	if m.GetGroup() != n.config.Group || m.GetTo() != n.config.ID || m.GetTerm() != n.term || !n.voteIsDurable() {
		return nil, false
	}
	p := n.peers[m.GetFrom()]
	switch {
	case m.GetType() == raftpb.MessageType_HEARTBEAT && n.role == Follower && n.leader == m.GetFrom():
		return n.answerDuringSync(m), true
	case m.GetType() == raftpb.MessageType_HEARTBEAT_REPLY && n.role == Leader && p != nil && m.GetMayVote():
		n.recordAnswer(p, m)
		p.repeat = p.repeat || !m.GetReject()
		n.updateQuorumStamp()
		return nil, true
	}
	return nil, false
}

// voteIsDurable reports whether term and vote are synced, and this member may vote. A member that joins waits for its sync.
func (n *Node) voteIsDurable() bool {
	s := n.saved
	return n.mayVote && s.GetMayVote() && s.GetTerm() == n.term && s.GetVote() == n.vote
}

// answerDuringSync answers a heartbeat with the commit index up to which the log is durable. The reply says with Reject that the appends before
// it are not answered yet, so that the leader does not take them for lost.
func (n *Node) answerDuringSync(m *raftpb.Message) *raftpb.Message {
	n.leaderContact = n.now
	n.resetElection()
	n.recordFreshness(m)
	durable := min(n.log.commit, n.log.stable)
	if n.installing != nil {
		durable = 0
	}
	return &raftpb.Message{
		Type: raftpb.MessageType_HEARTBEAT_REPLY, Group: n.config.Group, From: n.config.ID, To: m.GetFrom(), Term: n.term, Context: m.GetContext(),
		FollowerStamp: uint64(n.now), LogIndex: durable, MayVote: true, Commit: durable, Reject: true,
	}
}

// finishContact does what the replies during a sync ask for beyond contact.
func (n *Node) finishContact() {
	for _, p := range n.sortedPeers() {
		if p.repeat {
			p.repeat = false
			n.repeatAppends(p)
		}
	}
	if len(n.reads) > 0 {
		n.confirmReads()
	}
}
