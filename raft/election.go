package raft

import (
	"time"

	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// campaignForced marks a vote request of a leadership transfer; voters answer it although they have a recent leader.
const campaignForced = 1

// Resume sets the current time after the driver was busy, without the decisions of Tick, which follows once the messages that arrived meanwhile
// have been stepped.
func (n *Node) Resume(now time.Duration) {
	n.now = max(n.now, now)
}

// Tick sets the current time, which must be above 0 and monotonic. Times must not repeat after a restart, so the driver
// adds the wall-clock time of its start to the monotonic time since then.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if n.electionDeadline == 0 {
		n.firstStamp = uint64(n.now)
		n.resetElection()
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.preCampaign()
	}
}

func (n *Node) tickLeader() {
	n.updateQuorumStamp()
	if n.sinceStamp(n.quorumStamp) > n.config.CheckQuorum {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.transferTo != 0 && n.now >= n.transferDeadline {
		n.transferTo = 0
	}
	n.retrySnapshots()
	n.finishContact()
	if n.now >= n.nextHeartbeat {
		n.heartbeatAll(n.nextStamp())
	}
}

func (n *Node) sinceStamp(stamp uint64) time.Duration {
	return n.now - time.Duration(stamp)
}

// resetElection draws a new random election timeout. It does nothing before the first tick, when the time is unknown.
func (n *Node) resetElection() {
	if n.now == 0 {
		return
	}
	shortest := n.config.Election
	if !n.pastFirstElection {
		shortest = n.config.FirstElection
	}
	n.electionDeadline = n.now + shortest + time.Duration(n.random.Int64N(int64(shortest)))
}

// hasRecentLeader reports whether this member leads or had contact with a leader within the shortest election timeout.
// Such a member refuses votes, so that a member that returns from a partition cannot depose the leader.
func (n *Node) hasRecentLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != 0 && n.now-n.leaderContact < n.config.Election
}

// mayCampaign reports whether this member's identity is confirmed and it is a voter according to its log.
//
// Granting a vote needs only a confirmed identity: the candidate counts the votes of the voters in its own member list,
// and a voter whose log does not hold its promotion yet must answer, or the loss of one other member would block the
// group.
//
// A voter whose removal is in its log but perhaps not committed still campaigns: its log may be the only one that can
// win and commit the removal.
func (n *Node) mayCampaign() bool {
	if !n.mayVote {
		return false
	}
	if k := len(n.configs); k > 1 && n.currentConfig().index > n.log.commit && n.configs[k-2].isVoter(n.config.ID) {
		return true
	}
	return n.isVoter()
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	if n.role == Leader {
		n.dropLeadership()
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.resetElection()
}

// preCampaign starts a pre-vote, which determines whether an election could be won without changing the term.
func (n *Node) preCampaign() {
	n.resetElection()
	// Without contact for an election timeout the leader is a guess, also for a learner: it would send its callers to a member that has ended.
	n.leader = 0
	if !n.mayCampaign() {
		return
	}
	n.role = PreCandidate
	n.votes = map[uint64]bool{n.config.ID: true}
	if n.wonElection() {
		n.campaign(0)
		return
	}
	n.requestVotes(raftpb.MessageType_PRE_VOTE, n.term+1, 0)
}

func (n *Node) campaign(flag uint64) {
	n.role = Candidate
	n.term++
	n.vote = n.config.ID
	n.votedAt = n.now
	n.leader = 0
	n.votes = map[uint64]bool{n.config.ID: true}
	n.resetElection()
	if n.wonElection() {
		n.becomeLeader()
		return
	}
	n.requestVotes(raftpb.MessageType_VOTE, n.term, flag)
}

func (n *Node) requestVotes(kind raftpb.MessageType, term, flag uint64) {
	for _, id := range n.currentConfig().voters() {
		if id != n.config.ID {
			n.send(&raftpb.Message{Type: kind, To: id, Term: term, LogIndex: n.log.last(), LogTerm: n.log.lastTerm(), Context: flag})
		}
	}
}

func (n *Node) wonElection() bool {
	granted := 0
	for _, id := range n.currentConfig().voters() {
		if n.votes[id] {
			granted++
		}
	}
	return granted >= n.currentConfig().quorum()
}

func (n *Node) stepPreVote(m *raftpb.Message) {
	granted := n.mayVote && m.GetTerm() > n.term && !n.hasRecentLeader() && n.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	if granted && n.role == PreCandidate {
		// Of two members that start a campaign at the same time, only one goes on: both would win the pre-vote and then split
		// the votes, in each term again while their timeouts are equal.
		if granted = !n.precedes(m); granted {
			n.becomeFollower(n.term, 0)
		}
	}
	term := n.term
	if granted {
		term = m.GetTerm()
	}
	n.send(&raftpb.Message{Type: raftpb.MessageType_PRE_VOTE_REPLY, To: m.GetFrom(), Term: term, Reject: !granted})
}

// precedes reports whether the own campaign has precedence over that of the sender, whose log is at least as new.
func (n *Node) precedes(m *raftpb.Message) bool {
	return m.GetLogIndex() == n.log.last() && m.GetLogTerm() == n.log.lastTerm() && n.config.ID > m.GetFrom()
}

func (n *Node) stepVote(m *raftpb.Message) {
	voteAvailable := n.vote == m.GetFrom() || (n.vote == 0 && n.leader == 0)
	granted := n.mayVote && voteAvailable && n.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	if granted {
		n.vote = m.GetFrom()
		n.votedAt = n.now
		n.resetElection()
	}
	n.send(&raftpb.Message{Type: raftpb.MessageType_VOTE_REPLY, To: m.GetFrom(), Reject: !granted})
}

// finishVote restarts the election timeout if it took long to store a vote: the requests of a candidate and the reply of a voter leave only now.
// FirstElection, which may be shorter than a sync, no longer counts then: a candidate would stand again before the others have stored their votes.
func (n *Node) finishVote() {
	if n.votedAt != 0 && n.now-n.votedAt >= min(n.config.FirstElection, n.config.Heartbeat) {
		n.pastFirstElection = true
		n.resetElection()
	}
	n.votedAt = 0
}

func (n *Node) stepVoteReply(m *raftpb.Message) {
	pre := m.GetType() == raftpb.MessageType_PRE_VOTE_REPLY
	switch {
	case pre && n.role != PreCandidate, !pre && n.role != Candidate:
		return
	case pre && !m.GetReject() && m.GetTerm() != n.term+1:
		return
	}
	if m.GetReject() {
		return
	}
	n.votes[m.GetFrom()] = true
	if !n.wonElection() {
		return
	}
	if pre {
		n.campaign(0)
		return
	}
	n.becomeLeader()
}

func (n *Node) stepTimeoutNow(m *raftpb.Message) {
	if n.role == Follower && n.mayCampaign() && m.GetFrom() == n.leader {
		n.campaign(campaignForced)
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.config.ID
	n.peers = map[uint64]*progress{}
	n.transferTo = 0
	n.freshness = nil
	stamp := n.nextStamp()
	n.quorumStamp = stamp
	n.syncPeers(stamp)
	n.appendLocal(raftpb.EntryType_ENTRY_NOOP, nil)
	n.heartbeatAll(n.nextStamp())
	// These wait for the sync of the first entry. If it takes long, others go ahead.
	n.nextHeartbeat = n.now
	n.appendAll()
}

func (n *Node) dropLeadership() {
	n.peers = nil
	n.reads, n.deferredReads = nil, nil
	n.transferTo = 0
	n.quorumStamp = 0
}

// nextStamp returns a strictly increasing time stamp for a round of heartbeats.
func (n *Node) nextStamp() uint64 {
	n.lastStamp = max(n.lastStamp+1, uint64(n.now))
	return n.lastStamp
}
