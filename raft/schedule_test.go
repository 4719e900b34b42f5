package raft

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRandomSchedules guards against any loss or reordering of committed entries: election safety, log matching,
// leader completeness, state machine safety and read freshness hold under drop, delay, duplication, reordering,
// partitions, crashes that lose unsynced writes, lost disks and membership changes. Without lost disks the group must
// also work again once everything is healed. A failure prints rapid's seed.
func TestRandomSchedules(t *testing.T) {
	var terms, entries, reads, snapshots int
	property := func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		s := &schedule{cluster: c, t: t}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			s.step()
		}
		c.checkLogs()
		s.recover()
		terms += len(c.leaders)
		entries += len(c.committed)
		reads += c.served
		snapshots += s.snapshots
	}
	// rapid runs 100 schedules at a time unless -rapid.checks says otherwise.
	for range 20 {
		rapid.Check(t, property)
	}
	t.Logf("%d leaders, %d committed entries, %d reads, %d snapshots", terms, entries, reads, snapshots)
	require.Positive(t, reads, "the schedules serve no reads")
	require.Positive(t, snapshots, "the schedules take no snapshots")
}

type schedule struct {
	*cluster
	t         *rapid.T
	losses    int
	snapshots int
}

func (s *schedule) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(s.t, label) }

// member draws any member, running or not.
func (s *schedule) member() *member {
	var all []*member
	for id := uint64(1); id < s.nextID; id++ {
		if m := s.members[id]; m != nil {
			all = append(all, m)
		}
	}
	return all[s.pick("member", len(all))]
}

func (s *schedule) step() {
	m := s.member()
	switch action := s.pick("action", 22); {
	case action < 5:
		s.run(1+s.pick("ticks", 30), s.pick("shuffle", 2) == 1)
	case action < 7:
		s.network()
	case action < 8:
		s.partition(m)
	case action < 9:
		s.heal()
	case action < 12:
		s.restart(m, action)
	case m.node == nil:
	case action < 16:
		_ = s.propose(m, fmt.Sprint("c", s.contexts, s.now))
	case action < 18:
		s.read(m)
	case action < 19:
		s.snapshot(m, uint64(s.pick("trailing", 4)))
		s.snapshots++
	case action < 20:
		m.node.TransferLeadership()
		s.work(m)
	default:
		s.changeMembers(m)
	}
}

// network drops, duplicates or delivers packets while no time passes.
func (s *schedule) network() {
	for _, m := range s.running() {
		m.node.Tick(s.now)
		s.work(m)
	}
	for range s.pick("packets", 12) {
		if len(s.packets) == 0 {
			return
		}
		at := s.pick("packet", len(s.packets))
		switch s.pick("fate", 4) {
		case 0:
			s.packets = append(s.packets[:at:at], s.packets[at+1:]...)
		case 1:
			s.packets = append(s.packets, s.packets[at])
		default:
			s.deliver(at)
		}
	}
}

func (s *schedule) partition(m *member) {
	if s.pick("direction", 2) == 0 {
		s.isolate(m.id, s.member().id)
		return
	}
	s.cut[[2]uint64{m.id, s.member().id}] = true
}

func (s *schedule) restart(m *member, action int) {
	switch {
	case m.node == nil:
		s.start(m.id, nil)
	case action == 9:
		m.crash = 1 + s.pick("crash", 2)
	case action == 10 && s.pick("lose", 4) == 0:
		s.losses++
		s.loseDisk(m)
	default:
		s.stop(m)
	}
}

// changeMembers adds a member under a new id, promotes or removes one. Removed members keep running.
func (s *schedule) changeMembers(m *member) {
	switch s.pick("change", 3) {
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

// recover heals everything and expects progress, as long as no disk was lost.
func (s *schedule) recover() {
	s.heal()
	for id := uint64(1); id < s.nextID; id++ {
		if m := s.members[id]; m != nil && m.node == nil {
			s.start(id, nil)
		} else if m != nil {
			m.crash = 0
		}
	}
	s.run(100, true)
	s.checkLogs()
	if s.losses > 0 {
		return
	}
	leader := s.elect()
	before := s.highest
	require.NoError(s.t, s.propose(leader, "last"))
	s.run(20, false)
	require.Greater(s.t, s.highest, before, "a healed group commits nothing")
	context := s.read(leader)
	s.run(5, false)
	require.NotContains(s.t, leader.reads, context, "a healed group serves no read")
}
