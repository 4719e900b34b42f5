package raft

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// TestDirectedSchedules guards against faults that need several rare events in a row, which random schedules hardly ever
// produce: an entry of an earlier term that is committed by counting, a vote that is lost in a crash, a read right after
// an election, and a member list whose entry was replaced. Each schedule mixes these situations with random crashes and
// deliveries; the checks are those of TestRandomSchedules. A failure prints rapid's seed.
func TestDirectedSchedules(t *testing.T) {
	var reads, contestedTerms int
	property := func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		s := &directed{schedule: &schedule{cluster: c, t: t}}
		situations := []func(){s.alternateLeaders, s.contestTerm, s.readAfterElection, s.changeOnIsolatedLeader}
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			situations[s.pick(len(situations))]()
			s.checkLogs()
			s.checkMemberLists()
			s.settle()
		}
		s.recoverGroup()
		s.checkMemberLists()
		reads += c.servedReads
		contestedTerms += s.contestedTerms
	}
	// rapid runs 100 schedules at a time unless -rapid.checks says otherwise.
	for range 10 {
		rapid.Check(t, property)
	}
	t.Logf("%d reads, %d contested terms", reads, contestedTerms)
	require.Positive(t, reads, "the schedules serve no reads")
	require.Positive(t, contestedTerms, "no term is contested")
}

// directed adds the situations of TestDirectedSchedules to the random schedules.
type directed struct {
	*schedule
	contestedTerms int
}

// Limits of one situation: an election ends within electionTicks (10 s of simulated time), and one round of messages has
// fewer than roundPackets packets.
const (
	electionTicks = 200
	roundPackets  = 12
)

// settle heals the network, starts all members and runs the group until it works again.
func (s *directed) settle() {
	s.heal()
	for id := uint64(1); id < s.nextID; id++ {
		if m := s.members[id]; m != nil && m.node == nil {
			s.start(id, nil)
		}
	}
	s.run(60, s.pick(2) == 1)
}

// electNow delivers packets one by one and returns a new leader at the moment of its election. It ignores the current
// leader and the excluded member.
func (s *directed) electNow(excluded *member) *member {
	before := s.leader()
	for range electionTicks {
		s.now += tick
		for _, m := range s.running() {
			m.node.Tick(s.now)
			s.processReady(m)
		}
		for steps := 0; len(s.packets) > 0 && steps < 2000; steps++ {
			s.deliver(0)
			if m := s.leader(); m != nil && m != excluded && m != before {
				return m
			}
		}
	}
	return nil
}

// crashNow stops a member and drops its messages in transit.
func (s *directed) crashNow(m *member) {
	s.packets = slices.DeleteFunc(s.packets, func(p packet) bool { return p.GetFrom() == m.id })
	s.stop(m)
}

func (s *directed) deliverSome(limit int) {
	for range s.pick(limit + 1) {
		if len(s.packets) > 0 {
			s.deliver(s.pick(min(len(s.packets), 2)))
		}
	}
}

// alternateLeaders spreads entries of several terms over the members: an isolated leader appends entries, the next
// leader crashes right after its election, the first one is elected again and crashes while it replicates.
func (s *directed) alternateLeaders() {
	first := s.leader()
	if first == nil {
		return
	}
	s.isolate(first.id)
	for range 1 + s.pick(2) {
		// An entry of this size fills a message, so an entry of the next term is sent in another one.
		_ = s.propose(first, fmt.Sprint(s.now, strings.Repeat("x", 100)))
	}
	second := s.electNow(first)
	if second == nil {
		return
	}
	s.crashNow(second)
	s.heal()
	third := s.electNow(nil)
	if third == nil {
		return
	}
	s.deliverSome(2 * roundPackets)
	s.crashNow(third)
	s.start(second.id, nil)
	s.run(60, false)
	s.start(third.id, nil)
}

// contestTerm makes two members campaign in the same term, because each misses the other's pre-vote, and a third one
// reach that term before it receives a vote request; voters crash between saving a vote and replying, or after the reply.
func (s *directed) contestTerm() {
	all := s.running()
	if len(all) < 3 {
		return
	}
	for _, a := range all {
		for _, b := range all {
			s.cut[[2]uint64{a.id, b.id}] = true
		}
	}
	// Every leader steps down and no member has a recent leader.
	s.run(60, false)
	s.heal()
	s.packets = nil
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	between := [][2]uint64{{all[0].id, all[1].id}, {all[1].id, all[0].id}}
	for _, link := range between {
		s.cut[link] = true
	}
	s.timeOut(all[:2]...)
	s.deliverExcept(raftpb.MessageType_VOTE)
	for _, link := range between {
		delete(s.cut, link)
	}
	if all[0].node.role == Candidate && all[1].node.role == Candidate && all[0].node.term == all[1].node.term {
		s.contestedTerms++
	}
	s.timeOut(all[2])
	s.deliverExcept(raftpb.MessageType_VOTE)
	for len(s.packets) > 0 {
		position := s.pick(len(s.packets))
		p := s.packets[position]
		to := s.members[p.GetTo()]
		crash := s.pick(3)
		if p.GetType() == raftpb.MessageType_VOTE && to.node != nil && crash == 1 {
			to.crash = 1 + s.pick(2)
		}
		s.deliver(position)
		if p.GetType() == raftpb.MessageType_VOTE && to.node != nil && crash == 2 {
			s.stop(to)
		}
		to.crash = 0
		if to.node == nil {
			s.start(to.id, nil)
		}
	}
}

// timeOut makes the election timeout of some members expire now.
func (s *directed) timeOut(members ...*member) {
	s.now += tick
	for _, m := range members {
		m.node.electionDeadline = s.now
		m.node.Tick(s.now)
		s.processReady(m)
	}
}

// deliverExcept delivers all packets except those of one type, which stay in transit.
func (s *directed) deliverExcept(excluded raftpb.MessageType) {
	for position := 0; position < len(s.packets); {
		if s.packets[position].GetType() == excluded {
			position++
			continue
		}
		s.deliver(position)
		position = 0
	}
}

// readAfterElection crashes the leader at the moment of a commit, so that no other member has the new commit index, and
// reads from the next leader at the moment of its election.
func (s *directed) readAfterElection() {
	leader := s.leader()
	if leader == nil {
		return
	}
	before := s.highestCommitted
	_ = s.propose(leader, fmt.Sprint("read", s.now))
	for steps := 0; s.highestCommitted == before && len(s.packets) > 0 && steps < 2000; steps++ {
		s.deliver(0)
	}
	s.crashNow(leader)
	next := s.electNow(nil)
	if next == nil {
		return
	}
	s.read(next)
	s.deliverSome(2 * roundPackets)
	if next.node != nil {
		s.read(next)
	}
	s.run(5, s.pick(2) == 1)
}

// changeOnIsolatedLeader changes the member list on an isolated leader whose entries are replaced afterwards.
func (s *directed) changeOnIsolatedLeader() {
	old := s.leader()
	if old == nil {
		return
	}
	s.isolate(old.id)
	if s.pick(2) == 0 {
		_ = s.change(old, Remove, s.member().id)
	} else {
		_ = s.change(old, AddLearner, s.nextID)
	}
	next := s.electNow(old)
	if next == nil {
		return
	}
	_ = s.propose(next, fmt.Sprint("replace", s.now))
	s.run(5+s.pick(20), s.pick(2) == 1)
	s.heal()
	s.run(20, s.pick(2) == 1)
}

// checkMemberLists checks on each member that the member list in effect is the newest one in its log.
func (s *directed) checkMemberLists() {
	for _, m := range s.running() {
		n := m.node
		newest := &raftpb.Entry{}
		for _, e := range n.log.entries {
			if e.GetType() == raftpb.EntryType_ENTRY_MEMBERS {
				newest = e
			}
		}
		if newest.GetIndex() == 0 {
			require.LessOrEqual(s.t, n.currentConfig().index, n.log.base, "member %d uses a member list that is not in its log", m.id)
			continue
		}
		members := &raftpb.Members{}
		require.NoError(s.t, proto.Unmarshal(newest.GetData(), members))
		require.Equal(s.t, newest.GetIndex(), n.currentConfig().index, "member %d uses a member list that is not in its log", m.id)
		require.True(s.t, proto.Equal(members, n.currentConfig().proto()), "member %d uses another member list than entry %d", m.id, newest.GetIndex())
	}
}
