package raft

import (
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// pendingRead is a read that waits until a quorum has answered a heartbeat sent after the read arrived.
type pendingRead struct {
	context uint64
	// from is the id of the member that forwarded the read, 0 for a local read.
	from  uint64
	index uint64
	// round is the stamp of the heartbeat round that confirms the read.
	round uint64
}

// ReadIndex requests the index up to which the state machine must be applied for a linearizable read. The index arrives
// in Ready.Reads with the same context, or never if a message is lost or the leader changes.
func (n *Node) ReadIndex(context uint64) error {
	switch {
	case n.role == Leader && len(n.reads)+len(n.deferredReads) >= n.config.MaxReads:
		return failure.New(failure.Overloaded, failure.NotRun, "%d reads wait for a quorum", n.config.MaxReads)
	case n.role == Leader:
		n.addRead(pendingRead{context: context})
	case n.leader == 0:
		return failure.New(failure.NoQuorum, failure.NotRun, "no leader is known")
	default:
		n.send(&raftpb.Message{Type: raftpb.MessageType_READ_INDEX, To: n.leader, Context: context})
	}
	return nil
}

// addRead starts a round of heartbeats that confirms the read. Until an entry of the current term is committed, the
// commit index may be behind what an earlier leader committed, so the read is deferred.
func (n *Node) addRead(r pendingRead) {
	if len(n.reads)+len(n.deferredReads) >= n.config.MaxReads {
		return
	}
	if !n.committedInCurrentTerm() {
		n.deferredReads = append(n.deferredReads, r)
		return
	}
	r.index = n.log.commit
	r.round = n.nextStamp()
	n.reads = append(n.reads, r)
	n.heartbeatAll(r.round)
	n.confirmReads()
}

func (n *Node) releaseDeferredReads() {
	deferredReads := n.deferredReads
	n.deferredReads = nil
	for _, r := range deferredReads {
		n.addRead(r)
	}
}

func (n *Node) confirmReads() {
	confirmed := n.quorumValue(n.lastStamp, func(p *progress) uint64 { return p.ack })
	for len(n.reads) > 0 && n.reads[0].round <= confirmed {
		n.finishRead(n.reads[0])
		n.reads = n.reads[1:]
	}
}

func (n *Node) finishRead(r pendingRead) {
	if r.from == 0 {
		n.readStates = append(n.readStates, ReadState{Context: r.context, Index: r.index})
		return
	}
	n.send(&raftpb.Message{Type: raftpb.MessageType_READ_INDEX_REPLY, To: r.from, Context: r.context, LogIndex: r.index})
}

// heartbeatAll sends a round of heartbeats. Only a leader that has committed an entry of its term, and that a quorum confirmed within CheckQuorum,
// includes the stamps from which followers derive freshness: else its commit index may be too low. After a pause messages are stepped before Tick.
func (n *Node) heartbeatAll(stamp uint64) {
	n.nextHeartbeat = n.now + n.config.Heartbeat
	n.commitAtHeartbeat = n.log.commit
	current := n.committedInCurrentTerm() && n.sinceStamp(n.quorumStamp) <= n.config.CheckQuorum
	for _, p := range n.sortedPeers() {
		m := &raftpb.Message{
			Type: raftpb.MessageType_HEARTBEAT, To: p.id, Commit: min(p.match, n.log.commit), Context: stamp,
		}
		if current {
			m.FollowerStamp = p.stamp
			m.LeaderCommit = n.log.commit
			m.LearnerStamp = n.learnerConfirmation(p)
		}
		n.send(m)
	}
	if len(n.currentConfig().voters()) == 1 && n.isVoter() {
		n.updateQuorumStamp()
	}
}

// learnerConfirmation returns the recorded stamp of a joining learner once a quorum has answered a heartbeat that was
// sent after the stamp arrived, 0 before. It proves that this member was still leader when the stamp arrived and that
// the running incarnation of the learner was not yet a voter.
func (n *Node) learnerConfirmation(p *progress) uint64 {
	if p.mayVote || p.learnerStamp == 0 || n.quorumStamp <= p.learnerRound || !n.currentConfig().find(p.id).GetLearner() {
		return 0
	}
	stamp := p.learnerStamp
	p.learnerStamp = 0
	return stamp
}

func (n *Node) stepHeartbeatReply(p *progress, m *raftpb.Message) {
	n.recordAnswer(p, m)
	if p.learnerStamp == 0 {
		p.learnerStamp, p.learnerRound = m.GetFollowerStamp(), n.nextStamp()
	}
	if p.installing != 0 && m.GetCommit() >= p.installing {
		// The snapshot is installed but its reply was lost. The member's commit index is also committed in this log.
		p.match = max(p.match, m.GetCommit())
		p.probeFrom(p.match + 1)
	}
	if !m.GetReject() {
		n.repeatAppends(p)
	}
	n.updateQuorumStamp()
	n.confirmReads()
}

// recordAnswer records what a heartbeat reply says about its sender.
func (n *Node) recordAnswer(p *progress, m *raftpb.Message) {
	p.answered = true
	p.ack = max(p.ack, m.GetContext())
	p.stamp = m.GetFollowerStamp()
	p.mayVote = m.GetMayVote()
}

// repeatAppends resets the count of the appends in flight, which may have been lost, and probes whether the logs match.
func (n *Node) repeatAppends(p *progress) {
	if p.match < n.log.last() {
		p.inflight = 0
		n.appendTo(p, true)
	}
}

// updateQuorumStamp advances quorumStamp, the time at which this member was last confirmed as leader by a quorum.
func (n *Node) updateQuorumStamp() {
	stamp := n.quorumValue(n.lastStamp, func(p *progress) uint64 { return p.ack })
	if len(n.currentConfig().voters()) == 1 && n.isVoter() {
		stamp = n.nextStamp()
	}
	if stamp <= n.quorumStamp {
		return
	}
	n.quorumStamp = stamp
	if n.committedInCurrentTerm() {
		n.addFreshness(freshPoint{stamp: stamp, commit: n.log.commit})
	}
}

// freshPoint records that every entry committed before stamp has an index of at most commit.
type freshPoint struct {
	stamp  uint64
	commit uint64
}

// maxFreshPoints limits the points that wait for entries to be applied; beyond it the oldest is dropped.
const maxFreshPoints = 32

func (n *Node) addFreshness(p freshPoint) {
	if p.stamp == 0 {
		return
	}
	n.freshness = append(n.freshness, p)
	if len(n.freshness) > maxFreshPoints {
		n.freshness = n.freshness[1:]
	}
	n.updateFreshness()
}

// recordFreshness records the stamp of this member that a heartbeat carries.
func (n *Node) recordFreshness(m *raftpb.Message) {
	if n.isOwnStamp(m.GetFollowerStamp()) {
		n.addFreshness(freshPoint{stamp: m.GetFollowerStamp(), commit: m.GetLeaderCommit()})
	}
}

// updateFreshness advances freshStamp to the newest point whose entries are applied and drops the points it used.
func (n *Node) updateFreshness() {
	kept := n.freshness[:0]
	for _, p := range n.freshness {
		if p.commit <= n.applied {
			n.freshStamp = max(n.freshStamp, p.stamp)
			continue
		}
		kept = append(kept, p)
	}
	n.freshness = kept
}

// FreshAt returns a time on the driver's clock up to which the applied state holds everything committed, 0 if none is known.
func (n *Node) FreshAt() time.Duration { return time.Duration(n.freshStamp) }

// FreshUntil returns the time on the driver's clock until which the applied state counts as fresh, 0 if it never was.
func (n *Node) FreshUntil() time.Duration {
	if n.freshStamp == 0 {
		return 0
	}
	return time.Duration(n.freshStamp) + n.config.CheckQuorum
}
