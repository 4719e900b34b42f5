package raft

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// followersOf returns two running members besides the leader.
func (c *cluster) followersOf(leader *member) (a, b *member) {
	var others []*member
	for _, m := range c.running() {
		if m != leader {
			others = append(others, m)
		}
	}
	return others[0], others[1]
}

// newLeader returns the core of member 1 of three, leader in term 3 with an uncommitted entry of term 2.
func newLeader(t *testing.T) *Node {
	state, err := Bootstrap([]*raftpb.Member{{Id: 1}, {Id: 2}, {Id: 3}})
	require.NoError(t, err)
	state.HardState.Term = 2
	state.Entries = append(state.Entries, &raftpb.Entry{Term: 2, Index: 2, Data: []byte("old")})
	n, err := New(Config{ID: 1, Group: "g"}, state)
	require.NoError(t, err)
	n.Tick(time.Hour)
	n.Tick(time.Hour + 3*time.Second)
	require.NoError(t, n.Step(&raftpb.Message{Type: raftpb.MessageType_PRE_VOTE_REPLY, Group: "g", From: 2, To: 1, Term: 3}))
	require.NoError(t, n.Step(&raftpb.Message{Type: raftpb.MessageType_VOTE_REPLY, Group: "g", From: 2, To: 1, Term: 3}))
	require.Equal(t, Leader, n.role)
	n.Advance(n.Ready())
	return n
}

// TestVoteIsSavedWithItsReply guards against a vote reply that is sent before the vote is saved, which allows a second
// vote in the same term after a restart.
func TestVoteIsSavedWithItsReply(t *testing.T) {
	state, err := Bootstrap([]*raftpb.Member{{Id: 1}, {Id: 2}, {Id: 3}})
	require.NoError(t, err)
	n, err := New(Config{ID: 1, Group: "g"}, state)
	require.NoError(t, err)
	require.NoError(t, n.Step(&raftpb.Message{Type: raftpb.MessageType_VOTE, Group: "g", From: 2, To: 1, Term: 1, LogIndex: 1, LogTerm: 1}))
	ready := n.Ready()
	require.Len(t, ready.Messages, 1)
	require.False(t, ready.Messages[0].GetReject())
	require.EqualValues(t, 2, ready.HardState.GetVote(), "the vote reply is sent without saving the vote")
}

// TestReturnFromSilentPartitionKeepsLeader guards against a member that raises its term while it is partitioned and
// deposes the leader when it returns.
func TestReturnFromSilentPartitionKeepsLeader(t *testing.T) {
	c := newCluster(t, 3, 1)
	leader := c.elect()
	lost, _ := c.followersOf(leader)
	term := leader.node.term
	c.isolate(lost.id)
	c.run(200, false)
	require.Equal(t, term, lost.node.term, "a partitioned member raises its term")
	c.heal()
	c.run(100, false)
	require.Equal(t, leader, c.leader())
	require.Equal(t, term, leader.node.term)
}

// TestIsolatedLeaderStepsDown guards against a leader that stays leader for more than 1 s without a quorum.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3, 2)
	leader := c.elect()
	c.isolate(leader.id)
	cut := c.now
	for leader.node.role == Leader && c.now < cut+5*time.Second {
		c.run(1, false)
	}
	require.LessOrEqual(t, c.now-cut, time.Second+tick)
}

// TestEarlierTermIsNotCommittedByCounting guards against committing an entry of an earlier term because it is on a
// quorum, although a later leader can still replace it.
func TestEarlierTermIsNotCommittedByCounting(t *testing.T) {
	n := newLeader(t)
	ack := &raftpb.Message{Type: raftpb.MessageType_APPEND_REPLY, Group: "g", From: 2, To: 1, Term: 3, LogIndex: 2}
	require.NoError(t, n.Step(ack))
	require.EqualValues(t, 1, n.log.commit)
	ack.LogIndex = 3
	require.NoError(t, n.Step(ack))
	require.EqualValues(t, 3, n.log.commit)
}

// TestOldLeaderAfterPauseServesNoRead guards against stale reads from a leader that was replaced while it was paused and
// has not detected it yet.
func TestOldLeaderAfterPauseServesNoRead(t *testing.T) {
	c := newCluster(t, 3, 3)
	old := c.elect()
	paused := old.node
	old.node = nil
	require.NoError(t, c.propose(c.elect(), "newer"))
	c.run(10, false)
	old.node = paused
	c.packets = nil
	context := c.read(old)
	require.Contains(t, old.reads, context, "the old leader confirms a read without a quorum")
	c.run(5, false)
	require.Contains(t, old.reads, context)
	require.NotEqual(t, Leader, old.node.role)
}

// TestReadWaitsForOwnTerm guards against reads on a new leader before it has committed an entry of its term, while its
// commit index may be too low.
func TestReadWaitsForOwnTerm(t *testing.T) {
	n := newLeader(t)
	n.SetApplied(n.log.commit)
	require.NoError(t, n.ReadIndex(7))
	beat := &raftpb.Message{Type: raftpb.MessageType_HEARTBEAT_REPLY, Group: "g", From: 2, To: 1, Term: 3, Context: n.lastStamp + 1000}
	require.NoError(t, n.Step(beat))
	require.Empty(t, n.Ready().Reads)
	require.Zero(t, n.FreshUntil(), "a new leader counts as fresh")
}

// TestLostDiskUnderOldIDDoesNotVote guards against the election of a leader that lacks committed entries, by the vote of
// a member that lost these entries with its disk.
func TestLostDiskUnderOldIDDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, 4)
	leader := c.elect()
	holder, behind := c.followersOf(leader)
	c.isolate(behind.id)
	require.NoError(t, c.propose(leader, "committed by two"))
	c.run(10, false)
	c.loseDisk(holder)
	c.stop(leader)
	c.heal()
	c.start(holder.id, nil)
	c.run(200, false)
	require.Nil(t, c.leader())
	c.start(leader.id, nil)
	require.Equal(t, leader.id, c.elect().id)
}

// TestJoinModeRefusesVotes guards against a pre-vote or vote granted by a member with an empty disk.
func TestJoinModeRefusesVotes(t *testing.T) {
	n, err := New(Config{ID: 1, Group: "g"}, State{})
	require.NoError(t, err)
	n.Tick(time.Hour)
	for _, kind := range []raftpb.MessageType{raftpb.MessageType_PRE_VOTE, raftpb.MessageType_VOTE} {
		require.NoError(t, n.Step(&raftpb.Message{Type: kind, Group: "g", From: 2, To: 1, Term: 5, LogIndex: 9, LogTerm: 4}))
		ready := n.Ready()
		require.Len(t, ready.Messages, 1)
		require.True(t, ready.Messages[0].GetReject(), "%v is granted", kind)
		n.Advance(ready)
	}
}

// TestRepeatedLogIsNoProofOfALearner guards against a voter that votes after the loss of its disk because the log that
// the leader sends again lists it as a learner.
func TestRepeatedLogIsNoProofOfALearner(t *testing.T) {
	c := newCluster(t, 3, 5)
	leader := c.elect()
	require.NoError(t, c.change(leader, AddLearner, 4))
	joined := c.start(4, nil)
	c.run(20, false)
	require.True(t, joined.node.mayVote)
	require.NoError(t, c.change(leader, Promote, 4))
	c.run(20, false)
	c.loseDisk(joined)
	c.start(4, nil)
	c.run(60, false)
	// The old leader has a match index for member 4 that is too high now; a new leader sends the log from the start.
	require.True(t, leader.node.TransferLeadership())
	c.run(60, false)
	require.Equal(t, c.highestCommitted, joined.applied)
	require.False(t, joined.node.mayVote)
}

// TestLearnerIsPromotedOnlyAfterCatchingUp guards against the promotion of a learner that lacks committed entries,
// against concurrent membership changes and against reused ids.
func TestLearnerIsPromotedOnlyAfterCatchingUp(t *testing.T) {
	c := newCluster(t, 3, 6)
	leader := c.elect()
	require.NoError(t, c.change(leader, AddLearner, 4))
	refused := c.change(leader, AddLearner, 5)
	require.True(t, failure.Is(refused, failure.InProgress), "a second change is accepted: %v", refused)
	c.run(5, false)
	refused = c.change(leader, Promote, 4)
	require.True(t, failure.Is(refused, failure.InProgress), "an unresponsive learner is promoted: %v", refused)
	c.start(4, nil)
	c.run(20, false)
	c.isolate(4)
	require.NoError(t, c.propose(leader, "missed by the learner"))
	c.run(5, false)
	refused = c.change(leader, Promote, 4)
	require.True(t, failure.Is(refused, failure.InProgress), "a learner that is behind is promoted: %v", refused)
	c.heal()
	c.run(20, false)
	require.NoError(t, c.change(leader, Promote, 4))
	c.run(5, false)
	require.NoError(t, c.change(leader, Remove, 4))
	c.run(5, false)
	require.True(t, failure.Is(c.change(leader, AddLearner, 4), failure.InvalidRequest))
}

// TestReplacedMemberListIsUndone guards against a member list that stays in effect after its log entry was replaced by
// an entry of another leader.
func TestReplacedMemberListIsUndone(t *testing.T) {
	c := newCluster(t, 3, 13)
	old := c.elect()
	c.isolate(old.id)
	require.NoError(t, c.change(old, AddLearner, 4))
	require.Len(t, old.node.currentConfig().members, 4)
	c.run(100, false)
	require.NoError(t, c.propose(c.elect(), "replaces the list"))
	c.heal()
	c.run(20, false)
	require.Equal(t, c.highestCommitted, old.applied)
	require.Len(t, old.node.currentConfig().members, 3)
}

// TestSecondLossAfterRepair guards against a group that, after a lost member was replaced, does not survive the loss of
// another one.
func TestSecondLossAfterRepair(t *testing.T) {
	c := newCluster(t, 3, 7)
	leader := c.elect()
	lost, other := c.followersOf(leader)
	require.NoError(t, c.propose(leader, "first"))
	c.run(5, false)
	c.stop(lost)
	for _, step := range []struct {
		kind ChangeKind
		id   uint64
	}{{AddLearner, 4}, {Promote, 4}, {Remove, lost.id}} {
		require.NoError(t, c.change(leader, step.kind, step.id))
		if step.kind == AddLearner {
			c.start(4, nil)
		}
		c.run(20, false)
	}
	c.stop(leader)
	next := c.elect()
	require.NoError(t, c.propose(next, "second"))
	c.run(5, false)
	require.Equal(t, c.highestCommitted, c.members[4].applied)
	require.Equal(t, c.highestCommitted, other.applied)
}

// TestPromotedVoterWithOldLogGrantsVotes guards against a group that blocks because a promotion has not reached the
// promoted member when another member is lost.
func TestPromotedVoterWithOldLogGrantsVotes(t *testing.T) {
	c := newCluster(t, 2, 8)
	leader := c.elect()
	require.NoError(t, c.change(leader, AddLearner, 3))
	c.start(3, nil)
	c.run(20, false)
	c.isolate(3)
	require.NoError(t, c.change(leader, Promote, 3))
	c.run(3, false)
	c.stop(leader)
	c.heal()
	require.NotNil(t, c.elect())
}

// TestFreshnessEndsWithItsLeader guards against members that count as fresh for longer than design section 2.3 allows:
// 1 s after the last contact for an isolated member, 2 s for a follower of an isolated leader.
func TestFreshnessEndsWithItsLeader(t *testing.T) {
	c := newCluster(t, 5, 9)
	leader := c.elect()
	c.run(20, false)
	follower, _ := c.followersOf(leader)
	for _, m := range c.running() {
		require.Greater(t, m.node.FreshUntil(), c.now, "member %d is not fresh in a healthy group", m.id)
	}
	cut := c.now
	c.isolate(leader.id, follower.id)
	c.run(100, false)
	require.LessOrEqual(t, leader.node.FreshUntil(), cut+time.Second)
	require.LessOrEqual(t, follower.node.FreshUntil(), cut+2*time.Second)
}

// TestFreshnessNeedsAppliedEntries guards against a member that counts as fresh while its state machine is behind.
func TestFreshnessNeedsAppliedEntries(t *testing.T) {
	c := newCluster(t, 3, 10)
	leader := c.elect()
	c.run(20, false)
	n := leader.node
	before := n.FreshUntil()
	n.addFreshness(freshPoint{stamp: uint64(c.now + tick), commit: leader.applied + 1})
	require.Equal(t, before, n.FreshUntil())
	n.SetApplied(leader.applied + 1)
	require.Equal(t, c.now+tick+time.Second, n.FreshUntil())
}

// TestOlderSnapshotIsIgnored guards against the installation of an old snapshot over newer state.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	c := newCluster(t, 3, 11)
	leader := c.elect()
	c.run(5, false)
	m, _ := c.followersOf(leader)
	require.NoError(t, m.node.Step(&raftpb.Message{
		Type: raftpb.MessageType_SNAPSHOT, Group: "g", From: leader.id, To: m.id, Term: m.node.term,
		Snapshot: &raftpb.SnapshotMeta{Index: m.node.log.commit, Term: 1},
	}))
	require.Nil(t, m.node.Ready().Snapshot)
}

// TestTransferHandsOverAtOnce guards against a leadership transfer that takes an election timeout.
func TestTransferHandsOverAtOnce(t *testing.T) {
	c := newCluster(t, 3, 12)
	leader := c.elect()
	c.run(10, false)
	require.True(t, leader.node.TransferLeadership())
	require.True(t, failure.Is(c.propose(leader, "too late"), failure.NotLeader))
	c.run(3, false)
	require.NotNil(t, c.leader())
	require.NotEqual(t, leader, c.leader())
}

// TestForeignMessagesAreRefused guards against a member that accepts messages of another group or for another member.
func TestForeignMessagesAreRefused(t *testing.T) {
	n := newLeader(t)
	err := n.Step(&raftpb.Message{Type: raftpb.MessageType_HEARTBEAT, Group: "other", From: 2, To: 1, Term: 9})
	require.True(t, failure.Is(err, failure.Forbidden))
	err = n.Step(&raftpb.Message{Type: raftpb.MessageType_HEARTBEAT, Group: "g", From: 2, To: 3, Term: 9})
	require.True(t, failure.Is(err, failure.Forbidden))
	require.EqualValues(t, 3, n.term)
}

// TestCommitReachesFollowersAtOnce guards against followers that apply the last entries only after the next heartbeat,
// which delays a new object set on all processes that watch them.
func TestCommitReachesFollowersAtOnce(t *testing.T) {
	c := newCluster(t, 3, 3)
	leader := c.elect()
	c.run(20, false)
	require.NoError(t, c.propose(leader, "change"))
	for len(c.packets) > 0 {
		c.deliver(0)
	}
	a, b := c.followersOf(leader)
	require.Equal(t, leader.node.log.last(), a.node.log.commit)
	require.Equal(t, leader.node.log.last(), b.node.log.commit)
}

// TestLostSnapshotReplyDelaysNothing guards against a leader that sends nothing to a member for the snapshot timeout of
// 30 s, because the reply to an installed snapshot was lost.
func TestLostSnapshotReplyDelaysNothing(t *testing.T) {
	c := newCluster(t, 3, 4)
	leader := c.elect()
	behind, _ := c.followersOf(leader)
	c.isolate(behind.id)
	for range 5 {
		require.NoError(t, c.propose(leader, "change"))
		c.run(2, false)
	}
	c.snapshot(leader, 0)
	c.heal()
	lost := false
	for end := c.now + 3*time.Second; c.now < end && behind.node.log.commit < leader.node.log.last(); {
		c.now += tick
		for _, m := range c.running() {
			m.node.Tick(c.now)
			c.processReady(m)
		}
		for len(c.packets) > 0 {
			p := c.packets[0]
			if p.GetType() == raftpb.MessageType_APPEND_REPLY && !p.GetReject() && p.GetFrom() == behind.id && !lost {
				lost = true
				c.packets = c.packets[1:]
				continue
			}
			c.deliver(0)
		}
	}
	require.True(t, lost, "no snapshot was installed")
	require.NoError(t, c.propose(leader, "after"))
	c.run(10, false)
	require.Equal(t, leader.node.log.last(), behind.node.log.commit)
	require.Zero(t, leader.node.peers[behind.id].installing)
}

// TestFirstElectionIsEarlyAndDisturbsNobody guards against a full election timeout after a restart of all members, during
// which no request is served, and against a restarted member that deposes a leader that the others are in contact with.
func TestFirstElectionIsEarlyAndDisturbsNobody(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 3, seed)
		c.elect()
		for id, m := range c.members {
			c.stop(m)
			m.earlyElection = true
			c.start(id, nil)
		}
		began := c.now
		leader := c.elect()
		require.Less(t, c.now-began, time.Second, "an election of members that have just started, seed %d", seed)
		other := c.members[leader.id%3+1]
		c.stop(other)
		c.start(other.id, nil)
		term := leader.node.term
		c.isolate(leader.id)
		c.run(1, false)
		c.heal()
		c.run(40, false)
		require.Equal(t, leader.id, c.leader().id)
		require.Equal(t, term, c.leader().node.term, "seed %d", seed)
	}
}

// TestEqualTimeoutsElectOneLeader guards against members whose election timeouts stay equal, as after a start of all VMs
// at the same time with timeouts of a tick or two: each wins the pre-vote, and they split the votes in each term.
func TestEqualTimeoutsElectOneLeader(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(t, 3, seed)
		c.elect()
		c.stop(c.members[3])
		for id := uint64(1); id <= 2; id++ {
			c.stop(c.members[id])
			c.members[id].earlyElection = true
			c.start(id, nil)
		}
		before := max(c.members[1].node.term, c.members[2].node.term)
		deadline := c.now + tick
		for c.leader() == nil {
			for _, m := range c.running() {
				if m.node.role == Follower || m.node.electionDeadline <= c.now {
					m.node.electionDeadline = max(deadline, c.now)
				}
			}
			deadline = c.now + 3*tick
			c.run(1, false)
			require.Less(t, c.members[1].node.term, before+3, "seed %d", seed)
		}
	}
}

// TestLeaderIsFreshAfterTheFirstCommit guards against a new leader that waits for its next regular heartbeat until it may
// confirm the state: after a restart of all nodes no request is served until then.
func TestLeaderIsFreshAfterTheFirstCommit(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 3, seed)
		require.Greater(t, c.elect().node.FreshUntil(), c.now, "seed %d", seed)
	}
}
