package raft

import (
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Step handles one message of another member. A message of another group or for another member, a malformed one, and
// one that contradicts committed entries are refused.
func (n *Node) Step(m *raftpb.Message) error {
	if m.GetGroup() != n.config.Group {
		return failure.New(failure.Forbidden, failure.NotRun, "message of group %q, this is group %q", m.GetGroup(), n.config.Group)
	}
	if m.GetTo() != n.config.ID || m.GetFrom() == 0 || m.GetFrom() == n.config.ID {
		return failure.New(failure.Forbidden, failure.NotRun, "message from %d to %d, this is member %d", m.GetFrom(), m.GetTo(), n.config.ID)
	}
	if !isWellFormed(m) {
		return failure.New(failure.InvalidRequest, failure.NotRun, "message from member %d is malformed: entries out of order or snapshot missing", m.GetFrom())
	}
	if fromLeader(m.GetType()) && n.conflictsWithCommitted(m) {
		return failure.New(failure.StorageFailed, failure.Unknown, "member %d sends entries that differ from committed ones", m.GetFrom())
	}
	if n.acceptTerm(m) {
		n.dispatch(m)
	}
	return nil
}

// isWellFormed reports whether the entries of a message are consecutive, follow LogIndex and have non-decreasing terms,
// and whether a snapshot message has a snapshot.
func isWellFormed(m *raftpb.Message) bool {
	index, term := m.GetLogIndex(), m.GetLogTerm()
	for _, e := range m.GetEntries() {
		if e == nil || e.GetIndex() != index+1 || e.GetTerm() < term || e.GetTerm() > m.GetTerm() {
			return false
		}
		index, term = e.GetIndex(), e.GetTerm()
	}
	return m.GetType() != raftpb.MessageType_SNAPSHOT || m.GetSnapshot() != nil
}

// conflictsWithCommitted reports whether an append differs from a committed entry, which can happen only after another
// member lost data.
func (n *Node) conflictsWithCommitted(m *raftpb.Message) bool {
	if m.GetTerm() < n.term {
		return false
	}
	for _, e := range m.GetEntries() {
		if e.GetIndex() > n.log.base && e.GetIndex() <= n.log.commit && e.GetTerm() != n.log.term(e.GetIndex()) {
			return true
		}
	}
	return false
}

func fromLeader(t raftpb.MessageType) bool {
	return t == raftpb.MessageType_APPEND || t == raftpb.MessageType_HEARTBEAT || t == raftpb.MessageType_SNAPSHOT
}

// acceptTerm compares the message's term with the current one, becomes a follower of a newer term, and reports whether
// the message is to be handled.
func (n *Node) acceptTerm(m *raftpb.Message) bool {
	t := m.GetType()
	switch {
	case t == raftpb.MessageType_PRE_VOTE:
		return true
	case t == raftpb.MessageType_PRE_VOTE_REPLY && !m.GetReject():
		return true
	case m.GetTerm() > n.term:
		if t == raftpb.MessageType_VOTE && m.GetContext() != campaignForced && n.hasRecentLeader() {
			return false
		}
		n.becomeFollower(m.GetTerm(), 0)
	case m.GetTerm() < n.term:
		if fromLeader(t) {
			// The reply carries the newer term, which makes the old leader step down.
			n.send(&raftpb.Message{Type: raftpb.MessageType_APPEND_REPLY, To: m.GetFrom(), Reject: true})
		}
		return false
	}
	return true
}

func (n *Node) dispatch(m *raftpb.Message) {
	if fromLeader(m.GetType()) {
		n.followLeader(m.GetFrom())
	}
	switch m.GetType() {
	case raftpb.MessageType_PRE_VOTE:
		n.stepPreVote(m)
	case raftpb.MessageType_VOTE:
		n.stepVote(m)
	case raftpb.MessageType_PRE_VOTE_REPLY, raftpb.MessageType_VOTE_REPLY:
		n.stepVoteReply(m)
	case raftpb.MessageType_APPEND:
		n.stepAppend(m)
	case raftpb.MessageType_HEARTBEAT:
		n.stepHeartbeat(m)
	case raftpb.MessageType_SNAPSHOT:
		n.stepSnapshot(m)
	case raftpb.MessageType_READ_INDEX_REPLY:
		n.readStates = append(n.readStates, ReadState{Context: m.GetContext(), Index: m.GetLogIndex()})
	case raftpb.MessageType_TIMEOUT_NOW:
		n.stepTimeoutNow(m)
	default:
		n.dispatchLeader(m)
	}
}

// dispatchLeader handles messages that only a leader processes.
func (n *Node) dispatchLeader(m *raftpb.Message) {
	if n.role != Leader {
		return
	}
	if m.GetType() == raftpb.MessageType_READ_INDEX {
		n.addRead(pendingRead{context: m.GetContext(), from: m.GetFrom()})
		return
	}
	p := n.peers[m.GetFrom()]
	if p == nil {
		return
	}
	switch m.GetType() {
	case raftpb.MessageType_APPEND_REPLY:
		n.stepAppendReply(p, m)
	case raftpb.MessageType_HEARTBEAT_REPLY:
		n.stepHeartbeatReply(p, m)
	}
}

func (n *Node) followLeader(id uint64) {
	if n.role != Follower || n.leader != id {
		n.becomeFollower(n.term, id)
	}
	n.leaderContact = n.now
	n.pastFirstElection = true
	n.resetElection()
}

func (n *Node) commitTo(index uint64) {
	if index > n.log.commit {
		n.log.commit = min(index, n.log.last())
	}
}

func (n *Node) stepAppend(m *raftpb.Message) {
	reply := &raftpb.Message{Type: raftpb.MessageType_APPEND_REPLY, To: m.GetFrom()}
	if m.GetLogIndex() < n.log.commit {
		// Everything up to commit matches the leader's log.
		reply.LogIndex = n.log.commit
		n.send(reply)
		return
	}
	if !n.log.matches(m.GetLogIndex(), m.GetLogTerm()) {
		reply.Reject = true
		reply.LogIndex = m.GetLogIndex()
		reply.RejectHint = n.log.conflictHint(m.GetLogIndex(), m.GetLogTerm())
		reply.LogTerm = n.log.term(reply.RejectHint)
		n.send(reply)
		return
	}
	n.appendFromLeader(m.GetEntries())
	reply.LogIndex = m.GetLogIndex() + uint64(len(m.GetEntries()))
	n.commitTo(min(m.GetCommit(), reply.GetLogIndex()))
	n.send(reply)
}

func (n *Node) appendFromLeader(entries []*raftpb.Entry) {
	for i, e := range entries {
		if n.log.matches(e.GetIndex(), e.GetTerm()) {
			continue
		}
		if e.GetIndex() <= n.log.last() {
			n.log.truncate(e.GetIndex())
			n.dropConfigs(e.GetIndex())
		}
		n.log.entries = append(n.log.entries, entries[i:]...)
		for _, added := range entries[i:] {
			// An undecodable member list cannot come from a correct leader; the entry is kept and has no effect.
			_ = n.recordConfig(added)
		}
		return
	}
}

func (n *Node) stepHeartbeat(m *raftpb.Message) {
	n.commitTo(m.GetCommit())
	n.recordFreshness(m)
	n.confirmIdentity(m.GetLearnerStamp())
	n.send(&raftpb.Message{
		Type: raftpb.MessageType_HEARTBEAT_REPLY, To: m.GetFrom(), Context: m.GetContext(), FollowerStamp: uint64(n.now),
		LogIndex: n.log.last(), MayVote: n.mayVote, Commit: n.log.commit,
	})
}

// isOwnStamp reports whether the running incarnation of this member created the stamp.
func (n *Node) isOwnStamp(stamp uint64) bool {
	return n.firstStamp != 0 && stamp >= n.firstStamp && stamp <= uint64(n.now)
}

// stepSnapshot installs a snapshot whose data the driver holds and has verified. A snapshot at or below the commit index
// is ignored.
func (n *Node) stepSnapshot(m *raftpb.Message) {
	s := m.GetSnapshot()
	reply := &raftpb.Message{Type: raftpb.MessageType_APPEND_REPLY, To: m.GetFrom()}
	if s.GetIndex() > n.log.commit {
		n.snapshot = s
		n.installing = s
		n.log.reset(s.GetIndex(), s.GetTerm())
		n.configs = []memberConfig{newMemberConfig(s.GetIndex(), s.GetMembers())}
	}
	reply.LogIndex = n.log.commit
	n.send(reply)
}
