package raft

import (
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// pendingRead is a read that waits until a quorum answers a heartbeat sent after it arrived.
type pendingRead struct {
	context uint64
	// from is the member that asked, 0 for this one.
	from  uint64
	index uint64
	round uint64
}

// ReadIndex asks for a point up to which the state machine must be applied for a linearizable read. The answer comes
// in Ready.Reads under the same context, or never if a message is lost or the leader changes.
func (n *Node) ReadIndex(context uint64) error {
	switch {
	case n.role == Leader && len(n.reads)+len(n.stashed) >= n.config.MaxReads:
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

// addRead starts a round of heartbeats. Before an entry of the own term is committed, the commit index may be behind
// what an earlier leader committed, so the read waits.
func (n *Node) addRead(r pendingRead) {
	if len(n.reads)+len(n.stashed) >= n.config.MaxReads {
		return
	}
	if !n.committedOwnTerm() {
		n.stashed = append(n.stashed, r)
		return
	}
	r.index = n.log.commit
	r.round = n.nextStamp()
	n.reads = append(n.reads, r)
	n.heartbeatAll(r.round)
	n.confirmReads()
}

func (n *Node) releaseStashed() {
	stashed := n.stashed
	n.stashed = nil
	for _, r := range stashed {
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
		n.done = append(n.done, ReadState{Context: r.context, Index: r.index})
		return
	}
	n.send(&raftpb.Message{Type: raftpb.MessageType_READ_INDEX_REPLY, To: r.from, Context: r.context, LogIndex: r.index})
}

// heartbeatAll sends a round of heartbeats. Only a leader that has committed an entry of its own term hands out
// freshness, because before that it may not know everything that is committed.
func (n *Node) heartbeatAll(stamp uint64) {
	n.heartbeatAt = n.now + n.config.Heartbeat
	n.commitAtBeat = n.log.commit
	for _, p := range n.sortedPeers() {
		m := &raftpb.Message{
			Type: raftpb.MessageType_HEARTBEAT, To: p.id, Commit: min(p.match, n.log.commit), Context: stamp,
		}
		if n.committedOwnTerm() {
			m.FollowerStamp = p.stamp
			m.LeaderCommit = n.log.commit
			m.LearnerStamp = n.learnerProof(p)
		}
		n.send(m)
	}
	if len(n.current().voters()) == 1 && n.isVoter() {
		n.noteQuorum()
	}
}

// learnerProof returns a stamp of a joining learner once a quorum answered a heartbeat that was sent after the stamp
// arrived: at that moment this leader was current, and the running incarnation of the member was not yet a voter.
func (n *Node) learnerProof(p *progress) uint64 {
	if p.mayVote || p.proofStamp == 0 || n.quorumStamp <= p.proofRound || !n.current().find(p.id).GetLearner() {
		return 0
	}
	stamp := p.proofStamp
	p.proofStamp = 0
	return stamp
}

func (n *Node) stepHeartbeatReply(p *progress, m *raftpb.Message) {
	p.answered = true
	p.ack = max(p.ack, m.GetContext())
	p.stamp = m.GetFollowerStamp()
	p.mayVote = m.GetMayVote()
	if p.proofStamp == 0 {
		p.proofStamp, p.proofRound = m.GetFollowerStamp(), n.nextStamp()
	}
	if p.installing != 0 && m.GetCommit() >= p.installing {
		// The snapshot is installed and its reply was lost. What the member knows as committed is in this log too.
		p.match = max(p.match, m.GetCommit())
		p.restart(p.match + 1)
	}
	if p.match < n.log.last() {
		// Appends may have been lost: forget those in flight and look whether the logs match.
		p.inflight = 0
		n.appendTo(p, true)
	}
	n.noteQuorum()
	n.confirmReads()
}

// noteQuorum moves the time at which this leader was last known to be leader.
func (n *Node) noteQuorum() {
	stamp := n.quorumValue(n.lastStamp, func(p *progress) uint64 { return p.ack })
	if len(n.current().voters()) == 1 && n.isVoter() {
		stamp = n.nextStamp()
	}
	if stamp <= n.quorumStamp {
		return
	}
	n.quorumStamp = stamp
	if n.committedOwnTerm() {
		n.addFreshness(freshPoint{stamp: stamp, commit: n.log.commit})
	}
}

// freshPoint says that everything committed before stamp has an index of at most commit.
type freshPoint struct {
	stamp  uint64
	commit uint64
}

// maxFreshPoints limits the points that wait for the state machine; the oldest give way.
const maxFreshPoints = 32

func (n *Node) addFreshness(p freshPoint) {
	if p.stamp == 0 {
		return
	}
	n.freshness = append(n.freshness, p)
	if len(n.freshness) > maxFreshPoints {
		n.freshness = n.freshness[1:]
	}
	n.settleFreshness()
}

func (n *Node) settleFreshness() {
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

// FreshUntil returns the time on the driver's clock up to which the applied state counts as fresh, 0 if never.
func (n *Node) FreshUntil() time.Duration {
	if n.freshStamp == 0 {
		return 0
	}
	return time.Duration(n.freshStamp) + n.config.CheckQuorum
}
