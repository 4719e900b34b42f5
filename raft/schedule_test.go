package raft

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRandomSchedules guards against any loss or reordering of committed entries: election safety, log matching,
// leader completeness, state machine safety and read freshness hold under drop, delay, duplication, reordering,
// partitions, crashes that lose unsynced writes, lost disks and membership changes. If no disk was lost, the group must
// also work again once the network is healed and all members run. A failure prints rapid's seed.
func TestRandomSchedules(t *testing.T) {
	var terms, entries, reads, snapshots, installs int
	property := func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		s := &schedule{cluster: c, t: t}
		// Only the seed and the length are drawn with rapid: it prefers small numbers, which makes schedules shallow.
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			s.step()
		}
		c.checkLogs()
		s.recoverGroup()
		terms += len(c.leaders)
		entries += len(c.committed)
		reads += c.servedReads
		snapshots += s.snapshots
		installs += c.installs
	}
	// rapid runs 100 schedules at a time unless -rapid.checks says otherwise.
	for range 30 {
		rapid.Check(t, property)
	}
	t.Logf("%d leaders, %d committed entries, %d reads, %d snapshots, %d installed", terms, entries, reads, snapshots, installs)
	require.Positive(t, reads, "the schedules serve no reads")
	require.Positive(t, installs, "the schedules install no snapshots")
}

// schedule is a random sequence of steps on a cluster. losses counts the lost disks.
type schedule struct {
	*cluster
	t         *rapid.T
	losses    int
	snapshots int
}

func (s *schedule) pick(n int) int { return s.random.IntN(n) }

// member draws any member, running or not.
func (s *schedule) member() *member {
	var all []*member
	for id := uint64(1); id < s.nextID; id++ {
		if m := s.members[id]; m != nil {
			all = append(all, m)
		}
	}
	return all[s.pick(len(all))]
}

func (s *schedule) step() {
	m := s.member()
	if leader := s.leader(); leader != nil && s.pick(2) == 0 {
		m = leader
	}
	switch action := s.pick(40); {
	case action < 10:
		s.run(1+s.pick(30), s.pick(2) == 1)
	case action < 18:
		s.network()
	case action < 20:
		s.partition(m)
	case action < 21:
		s.heal()
	case action < 24:
		s.restart(m, action)
	case m.node == nil:
		s.start(m.id, nil)
	case action < 26:
		m.paused = true
	default:
		m.paused = false
		s.call(m, action)
	}
}

// call makes a random client or operator call on a member. A member that was paused has not been ticked since.
func (s *schedule) call(m *member, action int) {
	switch {
	case action < 32:
		for remaining := 1 + s.pick(4); remaining > 0 && m.node != nil; remaining-- {
			_ = s.propose(m, fmt.Sprint("c", s.contexts, s.now))
		}
	case action < 35:
		s.read(m)
	case action < 37:
		s.snapshot(m, uint64(s.pick(4)))
		s.snapshots++
	case action < 38:
		m.node.TransferLeadership()
		s.processReady(m)
	default:
		s.changeMembers(m)
	}
}

// network drops, duplicates or delivers packets without advancing the time.
func (s *schedule) network() {
	for range s.pick(12) {
		if len(s.packets) == 0 {
			return
		}
		position := s.pick(len(s.packets))
		switch s.pick(4) {
		case 0:
			dropped := s.packets[position]
			s.packets = append(s.packets[:position:position], s.packets[position+1:]...)
			s.lose(dropped)
		case 1:
			s.packets = append(s.packets, s.packets[position])
		default:
			s.deliver(position)
		}
	}
}

func (s *schedule) partition(m *member) {
	if s.pick(2) == 0 {
		s.isolate(m.id, s.member().id)
		return
	}
	s.cut[[2]uint64{m.id, s.member().id}] = true
}

func (s *schedule) restart(m *member, action int) {
	switch {
	case m.node == nil:
		s.start(m.id, nil)
	case action == 21:
		m.crash = 1 + s.pick(2)
	case action == 22 && s.pick(4) == 0:
		s.losses++
		s.loseDisk(m)
	default:
		s.stop(m)
	}
}

// changeMembers adds a member with a new id, or promotes or removes one. Removed members keep running.
func (s *schedule) changeMembers(m *member) {
	switch s.pick(3) {
	case 0:
		if s.nextID < 9 && s.change(m, AddLearner, s.nextID) == nil {
			s.nextID++
			s.start(s.nextID-1, nil)
		}
	case 1:
		_ = s.change(m, Promote, s.member().id)
	default:
		_ = s.change(m, Remove, s.member().id)
	}
}

// recoverGroup heals the network, starts all members and, if no disk was lost, requires that the group makes progress.
func (s *schedule) recoverGroup() {
	s.heal()
	for id := uint64(1); id < s.nextID; id++ {
		m := s.members[id]
		if m != nil {
			m.crash, m.paused = 0, false
		}
		if m != nil && m.node == nil {
			s.start(id, nil)
		}
	}
	s.run(100, true)
	s.checkLogs()
	if s.losses > 0 {
		return
	}
	leader := s.elect()
	before := s.highestCommitted
	require.NoError(s.t, s.propose(leader, "last"))
	s.run(20, false)
	require.Greater(s.t, s.highestCommitted, before, "a healed group commits nothing")
	context := s.read(leader)
	s.run(5, false)
	require.NotContains(s.t, leader.reads, context, "a healed group serves no read")
}
