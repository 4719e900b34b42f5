package raft

import (
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// progress is what a leader knows about one other member.
type progress struct {
	id uint64
	// match is the highest index known to be synced by the member; next is the next index to send.
	match, next uint64
	// probing: one append at a time until the logs are known to match.
	probing  bool
	inflight int
	// installing is the index of the snapshot that the member is receiving, 0 if none; installEnd limits the wait.
	installing uint64
	installEnd time.Duration
	// ack is the stamp of the last heartbeat that the member answered.
	ack uint64
	// answered is set once the member answered in this term.
	answered bool
	// stamp is the member's own time stamp of its last heartbeat reply.
	stamp uint64
	// proofStamp is a stamp of a member that may not vote yet, and proofRound the leader's stamp when it arrived.
	proofStamp, proofRound uint64
	// mayVote is what the member last reported about whether its identity is established.
	mayVote bool
}

// syncPeers adds and drops peers after a change of the member list.
func (n *Node) syncPeers(stamp uint64) {
	if n.role != Leader {
		return
	}
	c := n.current()
	for _, m := range c.members {
		if m.GetId() != n.config.ID && n.peers[m.GetId()] == nil {
			n.peers[m.GetId()] = &progress{id: m.GetId(), next: n.log.last() + 1, probing: true, ack: stamp}
		}
	}
	for id := range n.peers {
		if c.find(id) == nil {
			delete(n.peers, id)
		}
	}
}

// sortedPeers gives the peers in the order of their ids, so that runs with the same seed are equal.
func (n *Node) sortedPeers() []*progress {
	all := make([]*progress, 0, len(n.peers))
	for _, p := range n.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *progress) int { return int(a.id) - int(b.id) })
	return all
}

func (n *Node) appendOwn(kind raftpb.EntryType, data []byte) {
	e := &raftpb.Entry{Term: n.term, Index: n.log.last() + 1, Type: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	_ = n.noteConfig(e)
}

func (n *Node) acceptsProposals() error {
	switch {
	case n.role != Leader || n.transferTo != 0:
		return failure.New(failure.NotLeader, failure.NotRun, "member %d is not the leader; the leader is %d", n.config.ID, n.leader)
	case n.log.last()-n.log.commit >= n.config.MaxUncommitted:
		return failure.New(failure.Overloaded, failure.NotRun, "%d entries wait for a quorum", n.config.MaxUncommitted)
	}
	return nil
}

// Propose appends a command and returns its index and term. An error means that the command is not in the log.
// Replicate sends the commands of several calls together.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.acceptsProposals(); err != nil {
		return 0, 0, err
	}
	n.appendOwn(raftpb.EntryType_ENTRY_COMMAND, data)
	return n.log.last(), n.term, nil
}

// Replicate sends appended commands to the other members. A driver calls it once after a batch of proposals.
func (n *Node) Replicate() {
	if n.role == Leader {
		n.appendAll()
	}
}

func (n *Node) appendAll() {
	for _, p := range n.sortedPeers() {
		n.appendTo(p, false)
	}
}

// appendTo sends entries, or the snapshot if the entries are compacted. With empty set it also sends an append
// without entries, which finds out whether the logs match.
func (n *Node) appendTo(p *progress, empty bool) {
	if p.installing != 0 || (p.probing && p.inflight > 0) || p.inflight >= n.config.MaxInflight {
		return
	}
	if p.next <= n.log.base {
		n.sendSnapshot(p)
		return
	}
	entries := n.log.slice(p.next, n.config.MaxAppendBytes)
	if len(entries) == 0 && !empty {
		return
	}
	n.send(&raftpb.Message{
		Type: raftpb.MessageType_APPEND, To: p.id, LogIndex: p.next - 1, LogTerm: n.log.term(p.next - 1),
		Commit: n.log.commit, Entries: entries,
	})
	p.inflight++
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

func (n *Node) sendSnapshot(p *progress) {
	if n.snapshot == nil {
		return
	}
	p.installing = n.snapshot.GetIndex()
	p.installEnd = n.now + n.config.SnapshotTimeout
	n.send(&raftpb.Message{Type: raftpb.MessageType_SNAPSHOT, To: p.id, Snapshot: n.snapshot})
}

// ReportSnapshot tells the leader that a snapshot transfer to a member ended. After a failure it is tried again
// with the next heartbeat.
func (n *Node) ReportSnapshot(id uint64, delivered bool) {
	if p := n.peers[id]; p != nil && p.installing != 0 && !delivered {
		p.restart(p.match + 1)
	}
}

func (n *Node) retrySnapshots() {
	for _, p := range n.peers {
		if p.installing != 0 && n.now >= p.installEnd {
			p.restart(p.match + 1)
		}
	}
}

func (p *progress) restart(next uint64) {
	p.next = next
	p.probing = true
	p.inflight = 0
	p.installing = 0
}

func (n *Node) stepAppendReply(p *progress, m *raftpb.Message) {
	p.answered = true
	if m.GetReject() {
		n.stepReject(p, m)
		return
	}
	if m.GetLogIndex() > n.log.last() {
		return
	}
	p.inflight = max(p.inflight-1, 0)
	if m.GetLogIndex() >= p.installing {
		p.installing = 0
	}
	if m.GetLogIndex() >= p.match {
		p.match = m.GetLogIndex()
		p.next = max(p.next, p.match+1)
		if p.probing {
			p.probing = false
			p.inflight = 0
			p.next = p.match + 1
		}
	}
	n.maybeCommit()
	n.appendTo(p, false)
	n.continueTransfer(p)
}

// stepReject moves back to where the logs may match.
func (n *Node) stepReject(p *progress, m *raftpb.Message) {
	stale := m.GetLogIndex() <= p.match || (p.probing && m.GetLogIndex() != p.next-1)
	if stale || p.installing != 0 {
		return
	}
	hint := n.log.hint(m.GetRejectHint(), m.GetLogTerm())
	p.restart(max(p.match, min(hint, m.GetLogIndex()-1)) + 1)
	n.appendTo(p, true)
}

// maybeCommit commits what a quorum has synced. Only entries of the own term are committed by counting: an entry of
// an earlier term that is on a quorum can still be replaced by a later leader.
func (n *Node) maybeCommit() {
	index := n.quorumValue(n.log.stable, func(p *progress) uint64 { return p.match })
	if index <= n.log.commit || n.log.term(index) != n.term {
		return
	}
	first := !n.committedOwnTerm()
	n.log.commit = index
	if first {
		n.releaseStashed()
	}
	if n.current().index <= index {
		n.leaveIfRemoved()
	}
	n.announceCommit()
}

// announceCommit tells the new commit index to members that have all entries. Without it they would apply the last
// entries only with the next heartbeat, and processes that watch them would learn of a new object set that much later.
func (n *Node) announceCommit() {
	if n.role != Leader {
		return
	}
	for _, p := range n.sortedPeers() {
		if !p.probing && p.next > n.log.last() {
			n.appendTo(p, true)
		}
	}
}

func (n *Node) committedOwnTerm() bool {
	return n.log.term(n.log.commit) == n.term
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (n *Node) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, id := range n.current().voters() {
		switch p := n.peers[id]; {
		case id == n.config.ID:
			values = append(values, own)
		case p == nil:
			values = append(values, 0)
		default:
			values = append(values, of(p))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-n.current().quorum()]
}

// bestVoter returns the reachable voter with the longest log, 0 if there is none.
func (n *Node) bestVoter() uint64 {
	var best *progress
	for _, p := range n.sortedPeers() {
		m := n.current().find(p.id)
		if m == nil || m.GetLearner() || !p.mayVote || n.sinceStamp(p.ack) > n.config.CheckQuorum {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	if best == nil {
		return 0
	}
	return best.id
}

// TransferLeadership hands leadership to the voter with the longest log. New proposals are refused meanwhile. It
// reports whether there is such a voter.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	n.transferTo = n.bestVoter()
	n.transferEnd = n.now + n.config.Election
	if p := n.peers[n.transferTo]; p != nil {
		n.appendTo(p, false)
		n.continueTransfer(p)
	}
	return n.transferTo != 0
}

func (n *Node) continueTransfer(p *progress) {
	if n.role == Leader && p.id == n.transferTo && p.match == n.log.last() {
		n.send(&raftpb.Message{Type: raftpb.MessageType_TIMEOUT_NOW, To: p.id})
	}
}
