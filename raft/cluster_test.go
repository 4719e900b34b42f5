package raft

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/raft/snap"
	"github.com/wasabishunt/wasabishunt/raft/wal"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

const tick = 50 * time.Millisecond

// packet is a message in transit; data is the content of a snapshot.
type packet struct {
	*raftpb.Message
	data []byte
}

// member is one simulated member: the core, a disk and a state machine whose state is a hash chain over the entries.
type member struct {
	// earlyElection makes the member use the short FirstElection at each start; otherwise it does so at random.
	earlyElection bool

	id      uint64
	node    *Node
	disk    *simdisk.Disk
	log     *wal.Log
	snaps   *snap.Store
	applied uint64
	chain   uint64
	// crash stops the member at the next Ready that syncs: 1 during the sync, 2 after it.
	crash int
	// lostVotes is set for a voter whose disk was lost.
	lostVotes bool
	// paused members receive neither ticks nor packets.
	paused bool
	// reads maps contexts to the commit index that the read must reach.
	reads map[uint64]uint64
}

// cluster runs members over a simulated network and checks the safety properties at each step.
type cluster struct {
	t       require.TestingT
	random  *rand.Rand
	now     time.Duration
	members map[uint64]*member
	packets []packet
	// cut holds the cut links, each as the ids of its sender and its receiver.
	cut map[[2]uint64]bool

	// leaders maps terms to the member that was elected in them.
	leaders map[uint64]uint64
	// committed and chains map the applied indexes to their entries and to the hash chains after them.
	committed        map[uint64]*raftpb.Entry
	chains           map[uint64]uint64
	highestCommitted uint64
	// voters is the newest committed member list.
	voters memberConfig
	// servedReads, installs and contexts count the reads served, snapshots installed and reads started.
	servedReads int
	installs    int
	contexts    uint64
	nextID      uint64
}

func newCluster(t require.TestingT, size int, seed uint64) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Hour, members: map[uint64]*member{}, cut: map[[2]uint64]bool{},
		leaders: map[uint64]uint64{}, committed: map[uint64]*raftpb.Entry{}, chains: map[uint64]uint64{0: 0},
	}
	var first []*raftpb.Member
	for id := uint64(1); id <= uint64(size); id++ {
		first = append(first, &raftpb.Member{Id: id})
	}
	for _, m := range first {
		c.start(m.GetId(), first)
	}
	c.nextID = uint64(size) + 1
	return c
}

// start opens a member's disk in the same way as package replica.
func (c *cluster) start(id uint64, bootstrap []*raftpb.Member) *member {
	m := c.members[id]
	if m == nil {
		m = &member{id: id, disk: simdisk.New()}
		c.members[id] = m
	}
	m.applied, m.chain, m.crash, m.reads = 0, 0, 0, map[uint64]uint64{}
	var err error
	m.snaps, err = snap.Open(m.disk, "snap")
	require.NoError(c.t, err)
	newest, err := m.snaps.Newest()
	require.NoError(c.t, err)
	log, contents, err := wal.Open(wal.Options{FS: m.disk, Dir: "wal", Group: "g", MemberID: id, SegmentBytes: 400})
	require.NoError(c.t, err)
	m.log = log
	state := State{HardState: contents.HardState}
	if contents.Empty() && bootstrap != nil {
		state, err = Bootstrap(bootstrap)
		require.NoError(c.t, err)
		require.NoError(c.t, log.Save(state.HardState, state.Entries))
		contents.Entries = state.Entries
	}
	if newest != nil {
		state.Snapshot = newest.Meta
		c.restore(m, *newest)
	}
	state.Entries = slices.DeleteFunc(slices.Clone(contents.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() <= m.applied })
	for _, e := range contents.Entries {
		if e.GetIndex() == m.applied && e.GetTerm() != state.Snapshot.GetTerm() {
			state.Entries = nil
		}
	}
	first := time.Duration(0)
	if m.earlyElection || c.random.IntN(2) == 0 {
		first = 3 * tick
	}
	m.node, err = New(Config{ID: id, Group: "g", Seed: c.random.Uint64(), MaxAppendBytes: 120, FirstElection: first}, state)
	require.NoError(c.t, err)
	m.node.Tick(c.now)
	return m
}

func (c *cluster) restore(m *member, s snap.Snapshot) {
	require.Equal(c.t, c.chains[s.Meta.GetIndex()], binary.LittleEndian.Uint64(s.Data), "member %d restores a state that was never applied", m.id)
	m.applied, m.chain = s.Meta.GetIndex(), c.chains[s.Meta.GetIndex()]
}

func (c *cluster) stop(m *member) {
	m.node = nil
	m.disk.Crash(c.random)
}

// loseDisk replaces the disk of a member by an empty one; the next start runs it under its old id in join mode.
func (c *cluster) loseDisk(m *member) {
	m.node = nil
	// A learner has neither voted nor counted towards a quorum, so it may join again.
	m.lostVotes = m.lostVotes || c.voters.isVoter(m.id)
	m.disk = simdisk.New()
}

// processReady processes Ready as a driver does, and crashes the member at the step set in member.crash.
func (c *cluster) processReady(m *member) {
	for m.node != nil && m.node.HasReady() {
		ready := m.node.Ready()
		var received *snap.Snapshot
		if ready.Snapshot != nil {
			received = c.received(m, ready.Snapshot)
		}
		if ready.MustSync() {
			c.keepContact(m)
		}
		if ready.MustSync() && m.crash == 1 {
			m.disk.FailSync(syscall.EIO)
			require.Error(c.t, m.log.Save(ready.HardState, ready.Entries))
			c.stop(m)
			return
		}
		if received != nil {
			require.NoError(c.t, m.snaps.Save(*received))
			require.NoError(c.t, m.log.Mark(received.Meta, true))
			c.restore(m, *received)
			c.installs++
			m.node.SetApplied(m.applied)
		}
		if ready.MustSync() {
			require.NoError(c.t, m.log.Save(ready.HardState, ready.Entries))
			if m.crash == 2 {
				c.stop(m)
				return
			}
		}
		c.send(m, ready.Messages)
		c.apply(m, ready.Committed)
		c.checkReads(m, ready.Reads)
		m.node.Advance(ready)
		c.checkLeader(m)
	}
}

func (c *cluster) received(m *member, meta *raftpb.SnapshotMeta) *snap.Snapshot {
	require.Greater(c.t, meta.GetIndex(), m.applied, "an older snapshot is installed over newer state")
	return &snap.Snapshot{Meta: meta, Data: binary.LittleEndian.AppendUint64(nil, c.chains[meta.GetIndex()])}
}

func (c *cluster) send(m *member, messages []*raftpb.Message) {
	for _, message := range messages {
		p := packet{Message: proto.CloneOf(message)}
		if s := message.GetSnapshot(); s != nil {
			loaded, err := m.snaps.Load(s.GetIndex())
			if err != nil {
				m.node.ReportSnapshot(message.GetTo(), false)
				continue
			}
			p.data = loaded.Data
		}
		if message.GetType() == raftpb.MessageType_VOTE_REPLY && !message.GetReject() {
			require.False(c.t, m.lostVotes, "member %d votes after its disk was lost", m.id)
		}
		c.packets = append(c.packets, p)
	}
}

// apply checks state machine safety: all members apply the same entry at each index.
func (c *cluster) apply(m *member, entries []*raftpb.Entry) {
	for _, e := range entries {
		require.Equal(c.t, m.applied+1, e.GetIndex(), "member %d skips an entry", m.id)
		if known := c.committed[e.GetIndex()]; known != nil {
			require.True(c.t, proto.Equal(known, e), "member %d applies %v where %v is committed", m.id, e, known)
		}
		m.applied = e.GetIndex()
		m.chain = xxhash.Sum64(fmt.Append(nil, m.chain, e.GetTerm(), e.GetData()))
		c.committed[m.applied] = e
		c.chains[m.applied] = m.chain
		if m.applied > c.highestCommitted {
			c.recordCommitted(e)
		}
	}
	m.node.SetApplied(m.applied)
}

// recordCommitted records the highest committed index and the committed member list.
func (c *cluster) recordCommitted(e *raftpb.Entry) {
	c.highestCommitted = e.GetIndex()
	if e.GetType() == raftpb.EntryType_ENTRY_MEMBERS {
		members := &raftpb.Members{}
		require.NoError(c.t, proto.Unmarshal(e.GetData(), members))
		c.voters = newMemberConfig(e.GetIndex(), members)
	}
}

// checkLeader checks election safety and leader completeness.
func (c *cluster) checkLeader(m *member) {
	n := m.node
	if n.role != Leader || c.leaders[n.term] == m.id {
		return
	}
	require.Zero(c.t, c.leaders[n.term], "term %d has two leaders", n.term)
	c.leaders[n.term] = m.id
	for index := n.log.base + 1; index <= c.highestCommitted; index++ {
		if e := c.committed[index]; e != nil && e.GetTerm() < n.term {
			require.Equal(c.t, e.GetTerm(), n.log.term(index), "leader %d of term %d lacks committed entry %d", m.id, n.term, index)
		}
	}
}

func (c *cluster) checkReads(m *member, states []ReadState) {
	for _, s := range states {
		if required, ok := m.reads[s.Context]; ok {
			require.GreaterOrEqual(c.t, s.Index, required, "member %d serves a stale read", m.id)
			delete(m.reads, s.Context)
			c.servedReads++
		}
	}
}

// checkLogs checks log matching over all pairs of members.
func (c *cluster) checkLogs() {
	all := c.running()
	for i, a := range all {
		for _, b := range all[i+1:] {
			logA, logB := a.node.log, b.node.log
			low, high := max(logA.base, logB.base), min(logA.last(), logB.last())
			for high > low && logA.term(high) != logB.term(high) {
				high--
			}
			for index := low + 1; index <= high; index++ {
				require.True(c.t, proto.Equal(logA.entries[index-logA.base-1], logB.entries[index-logB.base-1]), "logs of %d and %d differ at %d", a.id, b.id, index)
			}
		}
	}
}

func (c *cluster) running() []*member {
	var all []*member
	for id := uint64(1); id <= c.nextID; id++ {
		if m := c.members[id]; m != nil && m.node != nil {
			all = append(all, m)
		}
	}
	return all
}

// deliver delivers the packet at a position of the network queue.
func (c *cluster) deliver(position int) {
	p := c.packets[position]
	c.packets = slices.Delete(c.packets, position, position+1)
	m := c.members[p.GetTo()]
	if m == nil || m.node == nil || m.paused || c.cut[[2]uint64{p.GetFrom(), p.GetTo()}] {
		c.lose(p)
		return
	}
	require.NoError(c.t, m.node.Step(p.Message))
	c.processReady(m)
}

// lose drops a packet. For a snapshot, the sender gets a failed transfer reported, as after a broken stream.
func (c *cluster) lose(p packet) {
	if from := c.members[p.GetFrom()]; p.GetSnapshot() != nil && from != nil && from.node != nil {
		from.node.ReportSnapshot(p.GetTo(), false)
	}
}

// run advances the time by ticks; in each tick all packets are delivered in sending order, or in random order.
func (c *cluster) run(ticks int, shuffle bool) {
	for range ticks {
		c.now += tick
		for _, m := range c.running() {
			if !m.paused {
				m.node.Tick(c.now)
				c.processReady(m)
			}
		}
		for steps := 0; len(c.packets) > 0 && steps < 2000; steps++ {
			position := 0
			if shuffle {
				position = c.random.IntN(len(c.packets))
			}
			c.deliver(position)
		}
	}
}

// isolate cuts all links of some members in both directions; heal connects everything.
func (c *cluster) isolate(ids ...uint64) {
	for a := range c.members {
		for b := range c.members {
			if slices.Contains(ids, a) != slices.Contains(ids, b) {
				c.cut[[2]uint64{a, b}] = true
			}
		}
	}
}

func (c *cluster) heal() { clear(c.cut) }

// leader returns the running leader of the highest term, nil if there is none.
func (c *cluster) leader() (best *member) {
	for _, m := range c.running() {
		if m.node.role == Leader && (best == nil || m.node.term > best.node.term) {
			best = m
		}
	}
	return best
}

// elect runs the cluster until a leader has committed an entry of its term, at most 10 s of simulated time.
func (c *cluster) elect() *member {
	for range 200 {
		if m := c.leader(); m != nil && m.node.committedInCurrentTerm() {
			return m
		}
		c.run(1, false)
	}
	for _, m := range c.running() {
		c.logState(m)
	}
	require.Fail(c.t, "no leader within 10 s")
	return nil
}

// logState logs the state of a member when a check fails.
func (c *cluster) logState(m *member) {
	if l, ok := c.t.(interface{ Logf(string, ...any) }); ok {
		l.Logf("%+v vote %d, peers %v", m.node.Status(), m.node.vote, m.node.peers)
	}
}

func (c *cluster) propose(m *member, data string) error {
	_, _, err := m.node.Propose([]byte(data))
	m.node.Replicate()
	c.processReady(m)
	return err
}

func (c *cluster) read(m *member) uint64 {
	c.contexts++
	m.reads[c.contexts] = c.highestCommitted
	_ = m.node.ReadIndex(c.contexts)
	c.processReady(m)
	return c.contexts
}

func (c *cluster) change(m *member, kind ChangeKind, id uint64) error {
	_, _, err := m.node.ProposeChange(Change{Kind: kind, Member: &raftpb.Member{Id: id}})
	c.processReady(m)
	return err
}

func (c *cluster) snapshot(m *member, trailing uint64) {
	meta := m.node.SnapshotMeta(m.applied)
	if m.applied <= m.node.snapshot.GetIndex() {
		return
	}
	require.NoError(c.t, m.snaps.Save(snap.Snapshot{Meta: meta, Data: binary.LittleEndian.AppendUint64(nil, m.chain)}))
	require.NoError(c.t, m.log.Mark(meta, false))
	m.node.Compact(meta, meta.GetIndex()-min(trailing, meta.GetIndex()))
	oldest, err := m.snaps.Oldest()
	require.NoError(c.t, err)
	require.NoError(c.t, m.log.DropBefore(oldest))
}
