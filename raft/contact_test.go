package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

const (
	// step is the interval of the clock of a slowGroup.
	step = 10 * time.Millisecond
	// contactLimit is how long its drivers keep contact during a sync, and electionTimeout the shortest one.
	contactLimit    = 600 * time.Millisecond
	electionTimeout = 600 * time.Millisecond
)

// slowMember is a core whose driver syncs for a time.
type slowMember struct {
	node         *Node
	syncing      bool
	ready        Ready
	began, ends  time.Duration
	inbox, held  []*raftpb.Message
	hangs        bool
	leaderOfTerm uint64
}

// slowGroup runs three members with slow syncs in virtual time. Messages arrive one step after they were sent.
type slowGroup struct {
	t                 *testing.T
	random            *rand.Rand
	now               time.Duration
	shortest, longest time.Duration
	members           []*slowMember
	elected           int
}

func newSlowGroup(t *testing.T, seed uint64, shortest, longest time.Duration) *slowGroup {
	g := &slowGroup{t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Hour, shortest: shortest, longest: longest}
	for id := uint64(1); id <= 3; id++ {
		state, err := Bootstrap([]*raftpb.Member{{Id: 1}, {Id: 2}, {Id: 3}})
		require.NoError(t, err)
		node, err := New(Config{ID: id, Group: "g", Seed: seed, Election: electionTimeout, FirstElection: 5 * step}, state)
		require.NoError(t, err)
		g.members = append(g.members, &slowMember{node: node})
	}
	return g
}

func (g *slowGroup) run(duration time.Duration) {
	for end := g.now + duration; g.now < end; {
		g.now += step
		for _, m := range g.members {
			arrived := m.inbox
			m.inbox = nil
			if m.syncing {
				g.waitForSync(m, arrived)
			} else {
				m.held = arrived
			}
			if !m.syncing {
				g.work(m)
			}
		}
	}
}

// waitForSync does what the loop of package replica does during a sync.
func (g *slowGroup) waitForSync(m *slowMember, arrived []*raftpb.Message) {
	if g.now-m.began < contactLimit {
		g.send(m.node.KeepContact(g.now)...)
		arrived = slices.DeleteFunc(arrived, func(message *raftpb.Message) bool {
			reply, handled := m.node.StepContact(message)
			if reply != nil {
				g.send(reply)
			}
			return handled
		})
	}
	m.held = append(m.held, arrived...)
	if g.now >= m.ends && !m.hangs {
		m.syncing = false
		g.finish(m)
	}
}

// work steps the held messages and processes Ready until the next sync.
func (g *slowGroup) work(m *slowMember) {
	m.node.Resume(g.now)
	for _, message := range m.held {
		require.NoError(g.t, m.node.Step(message))
	}
	m.held = nil
	m.node.Tick(g.now)
	for m.node.HasReady() {
		m.ready = m.node.Ready()
		if m.ready.MustSync() {
			m.syncing, m.began = true, g.now
			m.ends = g.now + g.shortest + time.Duration(g.random.Int64N(int64(g.longest-g.shortest)+1))
			return
		}
		g.finish(m)
	}
}

func (g *slowGroup) finish(m *slowMember) {
	g.send(m.ready.Messages...)
	if k := len(m.ready.Committed); k > 0 {
		m.node.SetApplied(m.ready.Committed[k-1].GetIndex())
	}
	m.node.Advance(m.ready)
	if m.node.role == Leader && m.leaderOfTerm != m.node.term {
		m.leaderOfTerm = m.node.term
		g.elected++
	}
}

func (g *slowGroup) send(messages ...*raftpb.Message) {
	for _, message := range messages {
		to := g.members[message.GetTo()-1]
		to.inbox = append(to.inbox, message)
	}
}

// leader returns a leader that has committed an entry of its term, other than the excluded member; nil if there is none.
func (g *slowGroup) leader(excluded *slowMember) *slowMember {
	for _, m := range g.members {
		if m != excluded && m.node.role == Leader && m.node.committedInCurrentTerm() {
			return m
		}
	}
	return nil
}

// propose has the leader append a command, unless it syncs.
func (g *slowGroup) propose() {
	if m := g.leader(nil); m != nil && !m.syncing {
		_, _, err := m.node.Propose([]byte("change"))
		require.NoError(g.t, err)
		m.node.Replicate()
	}
}

// Guards against elections without end on disks that take up to half a second for a sync, and twice that for a record that ends a segment, because
// the time of a sync counts as silence: of a leader towards its followers, and of a quorum towards the leader.
func TestSlowSyncsCauseNoElections(t *testing.T) {
	for seed := range uint64(50) {
		for _, longest := range []time.Duration{500 * time.Millisecond, time.Second} {
			g := newSlowGroup(t, seed, 50*time.Millisecond, longest)
			for end := g.now + 10*time.Second; g.now < end && g.leader(nil) == nil; {
				g.run(step)
			}
			require.NotNil(t, g.leader(nil), "no leader within 10 s, seed %d", seed)
			elected, leader := g.elected, g.leader(nil)
			first := leader.node.log.commit
			for end := g.now + time.Minute; g.now < end; g.run(step) {
				g.propose()
			}
			require.Equal(t, elected, g.elected, "seed %d", seed)
			require.Equal(t, leader, g.leader(nil), "seed %d", seed)
			// A change takes a sync of the leader and one of a follower.
			require.Greater(t, leader.node.log.commit-first, uint64(time.Minute/(2*longest)), "seed %d", seed)
		}
	}
}

// Guards against a leader that keeps its leadership for ever by the heartbeats that it sends while its disk hangs.
func TestLeaderWhoseSyncHangsIsReplaced(t *testing.T) {
	for seed := range uint64(50) {
		g := newSlowGroup(t, seed, step, 2*step)
		g.run(5 * time.Second)
		hung := g.leader(nil)
		require.NotNil(t, hung, "seed %d", seed)
		for !hung.syncing {
			g.propose()
			g.run(step)
		}
		hung.hangs = true
		began := g.now
		for end := g.now + 10*time.Second; g.now < end && g.leader(hung) == nil; {
			g.run(step)
		}
		require.NotNil(t, g.leader(hung), "seed %d", seed)
		require.LessOrEqual(t, g.now-began, contactLimit+2*electionTimeout+500*time.Millisecond, "seed %d", seed)
	}
}

// Guards against messages of a term or vote, an entry or a snapshot that a power loss would undo: they leave the member before its sync has ended.
func TestNothingUndurableLeavesDuringASync(t *testing.T) {
	heartbeat := func(term, from uint64) *raftpb.Message {
		return &raftpb.Message{Type: raftpb.MessageType_HEARTBEAT, Group: "g", From: from, To: 1, Term: term, Context: 7, Commit: 9}
	}
	silent := func(n *Node, m *raftpb.Message) {
		require.True(t, func() bool { r := n.Ready(); return r.MustSync() }())
		require.Empty(t, n.KeepContact(n.now+time.Second/2))
		reply, handled := n.StepContact(m)
		require.Nil(t, reply)
		require.False(t, handled)
	}
	advance := func(n *Node) { n.Advance(n.Ready()) }
	follower := func() *Node {
		state, err := Bootstrap([]*raftpb.Member{{Id: 1}, {Id: 2}, {Id: 3}})
		require.NoError(t, err)
		n, err := New(Config{ID: 1, Group: "g"}, state)
		require.NoError(t, err)
		n.Tick(time.Hour)
		return n
	}

	// The term of a new leader.
	n := follower()
	require.NoError(t, n.Step(heartbeat(5, 2)))
	silent(n, heartbeat(5, 2))
	advance(n)

	// An entry that is committed, but not durable here.
	require.NoError(t, n.Step(&raftpb.Message{
		Type: raftpb.MessageType_APPEND, Group: "g", From: 2, To: 1, Term: 5, LogIndex: 1, LogTerm: 1, Commit: 2, Entries: []*raftpb.Entry{{Index: 2, Term: 5}},
	}))
	require.EqualValues(t, 2, n.log.commit)
	reply, handled := n.StepContact(heartbeat(5, 2))
	require.True(t, handled)
	require.EqualValues(t, 1, reply.GetCommit())
	require.EqualValues(t, 1, reply.GetLogIndex())

	// Messages of other members, groups and terms, and those that are no heartbeats, wait.
	for _, m := range []*raftpb.Message{
		heartbeat(5, 3), heartbeat(4, 2), heartbeat(6, 2),
		{Type: raftpb.MessageType_HEARTBEAT, Group: "other", From: 2, To: 1, Term: 5},
		{Type: raftpb.MessageType_HEARTBEAT, Group: "g", From: 2, To: 3, Term: 5},
		{Type: raftpb.MessageType_APPEND, Group: "g", From: 2, To: 1, Term: 5},
		{Type: raftpb.MessageType_VOTE, Group: "g", From: 2, To: 1, Term: 6, LogIndex: 9, LogTerm: 5},
		{Type: raftpb.MessageType_HEARTBEAT_REPLY, Group: "g", From: 2, To: 1, Term: 5, MayVote: true},
	} {
		silent(n, m)
	}
	advance(n)

	// A snapshot that is not stored yet.
	require.NoError(t, n.Step(&raftpb.Message{
		Type: raftpb.MessageType_SNAPSHOT, Group: "g", From: 2, To: 1, Term: 5,
		Snapshot: &raftpb.SnapshotMeta{Index: 9, Term: 5, Members: n.currentConfig().proto()},
	}))
	reply, _ = n.StepContact(heartbeat(5, 2))
	require.Zero(t, reply.GetCommit())
	require.Zero(t, reply.GetLogIndex())
	advance(n)

	// A vote.
	n = follower()
	require.NoError(t, n.Step(&raftpb.Message{Type: raftpb.MessageType_VOTE, Group: "g", From: 2, To: 1, Term: n.term, LogIndex: 1, LogTerm: 1}))
	require.EqualValues(t, 2, n.vote)
	require.NoError(t, n.Step(heartbeat(n.term, 2)))
	silent(n, heartbeat(n.term, 2))

	// The vote of a candidate that leads at once, as the only member.
	state, err := Bootstrap([]*raftpb.Member{{Id: 1}})
	require.NoError(t, err)
	n, err = New(Config{ID: 1, Group: "g"}, state)
	require.NoError(t, err)
	n.Tick(time.Hour)
	n.Tick(time.Hour + 3*time.Second)
	require.Equal(t, Leader, n.role)
	require.False(t, n.voteIsDurable())

	// An identity that no leader has confirmed.
	n, err = New(Config{ID: 1, Group: "g"}, State{})
	require.NoError(t, err)
	n.Tick(time.Hour)
	require.NoError(t, n.Step(heartbeat(5, 2)))
	advance(n)
	require.NoError(t, n.Step(&raftpb.Message{Type: raftpb.MessageType_APPEND, Group: "g", From: 2, To: 1, Term: 5, Entries: []*raftpb.Entry{{Index: 1, Term: 5}}}))
	silent(n, heartbeat(5, 2))
}

// Guards against a leader without contact to a quorum that makes its followers count as fresh during a sync.
func TestLeaderWithoutQuorumIsSilentDuringASync(t *testing.T) {
	n := newLeader(t)
	_, _, err := n.Propose([]byte("change"))
	require.NoError(t, err)
	began := n.now
	require.NotEmpty(t, n.KeepContact(began+n.config.CheckQuorum))
	require.Empty(t, n.KeepContact(began+n.config.CheckQuorum+n.config.Heartbeat))
	reply := &raftpb.Message{Type: raftpb.MessageType_HEARTBEAT_REPLY, Group: "g", From: 2, To: 1, Term: 3, Context: n.lastStamp, MayVote: true}
	_, handled := n.StepContact(reply)
	require.True(t, handled)
	require.NotEmpty(t, n.KeepContact(n.now))
}

// Guards against appends and reads that wait for ever, because all replies of a member arrive during syncs.
func TestRepliesDuringASyncAreFollowedUp(t *testing.T) {
	n := newLeader(t)
	reply := &raftpb.Message{Type: raftpb.MessageType_APPEND_REPLY, Group: "g", From: 2, To: 1, Term: 3, LogIndex: 3}
	require.NoError(t, n.Step(reply))
	require.NoError(t, n.ReadIndex(7))
	_, _, err := n.Propose([]byte("change"))
	require.NoError(t, err)
	n.Replicate()
	ready := n.Ready()
	n.KeepContact(n.now + n.config.Heartbeat)
	_, handled := n.StepContact(&raftpb.Message{Type: raftpb.MessageType_HEARTBEAT_REPLY, Group: "g", From: 2, To: 1, Term: 3, Context: n.lastStamp, MayVote: true})
	require.True(t, handled)
	n.Advance(ready)
	n.Tick(n.now)
	ready = n.Ready()
	require.Equal(t, []ReadState{{Context: 7, Index: 3}}, ready.Reads)
	require.True(t, slices.ContainsFunc(ready.Messages, func(m *raftpb.Message) bool { return m.GetType() == raftpb.MessageType_APPEND && m.GetTo() == 2 }))
}

// Guards against appends of some MB that a leader repeats with each heartbeat to a member that has not answered them because it syncs.
func TestReplyDuringASyncRepeatsNoAppends(t *testing.T) {
	n := newLeader(t)
	reply := &raftpb.Message{Type: raftpb.MessageType_HEARTBEAT_REPLY, Group: "g", From: 2, To: 1, Term: 3, Context: n.lastStamp, MayVote: true, Reject: true}
	require.NoError(t, n.Step(reply))
	require.Empty(t, n.Ready().Messages)
	reply.Reject = false
	require.NoError(t, n.Step(reply))
	require.Len(t, n.Ready().Messages, 1)
}

// keepContact sends and answers heartbeats during a sync, in half of the syncs.
func (c *cluster) keepContact(m *member) {
	if m.paused || c.random.IntN(2) == 0 {
		return
	}
	c.send(m, m.node.KeepContact(c.now))
	var replies []*raftpb.Message
	c.packets = slices.DeleteFunc(c.packets, func(p packet) bool {
		if p.GetTo() != m.id || c.cut[[2]uint64{p.GetFrom(), m.id}] {
			return false
		}
		reply, handled := m.node.StepContact(p.Message)
		if reply != nil {
			replies = append(replies, reply)
		}
		return handled
	})
	c.send(m, replies)
}
