package raft

import (
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// progress is the leader's replication state for one other member.
type progress struct {
	id uint64
	// match is the highest index known to be synced by the member; next is the next index to send.
	match, next uint64
	// probing limits the member to one append in flight until the logs are known to match.
	probing  bool
	inflight int
	// installing is the index of the snapshot that the member is receiving, 0 if none; installDeadline is when the
	// transfer is retried.
	installing      uint64
	installDeadline time.Duration
	// ack is the leader's stamp of the last heartbeat that the member answered.
	ack uint64
	// answered is set once the member has answered in this term.
	answered bool
	// stamp is the time stamp that the member put into its last heartbeat reply, on the member's clock.
	stamp uint64
	// learnerStamp is a stamp of a member that may not vote yet, and learnerRound the leader's stamp when it arrived.
	learnerStamp, learnerRound uint64
	// mayVote is whether the member reported in its last heartbeat reply that its identity is confirmed.
	mayVote bool
	// repeat is set if a reply during a sync showed that appends may have been lost.
	repeat bool
}

// syncPeers creates and deletes the progress of peers so that it matches the current member list.
func (n *Node) syncPeers(stamp uint64) {
	if n.role != Leader {
		return
	}
	c := n.currentConfig()
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

// sortedPeers returns the peers ordered by id, so that runs with the same seed are deterministic.
func (n *Node) sortedPeers() []*progress {
	all := make([]*progress, 0, len(n.peers))
	for _, p := range n.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *progress) int { return int(a.id) - int(b.id) })
	return all
}

func (n *Node) appendLocal(kind raftpb.EntryType, data []byte) {
	e := &raftpb.Entry{Term: n.term, Index: n.log.last() + 1, Type: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	_ = n.recordConfig(e)
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

// Propose appends a command and returns its index and term. An error means that the command is not in the log. The
// command is sent by the next Replicate, so that several commands share one message.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.acceptsProposals(); err != nil {
		return 0, 0, err
	}
	n.appendLocal(raftpb.EntryType_ENTRY_COMMAND, data)
	return n.log.last(), n.term, nil
}

// Replicate sends the appended commands to the other members. The driver calls it once per batch of proposals.
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

// appendTo sends the next entries to a member, or the snapshot if they are compacted. With allowEmpty set it also sends
// an append without entries, which probes whether the logs match and carries the commit index.
func (n *Node) appendTo(p *progress, allowEmpty bool) {
	if p.installing != 0 || (p.probing && p.inflight > 0) || p.inflight >= n.config.MaxInflight {
		return
	}
	if p.next <= n.log.base || n.isSnapshotLess(p) {
		n.sendSnapshot(p)
		return
	}
	entries := n.log.slice(p.next, n.config.MaxAppendBytes)
	if len(entries) == 0 && !allowEmpty {
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

// isSnapshotLess reports whether the snapshot is less to send than the entries that it replaces, for a member without any entry.
func (n *Node) isSnapshotLess(p *progress) bool {
	if p.match > 0 || p.next != 1 || n.snapshot.GetBytes() == 0 {
		return false
	}
	return n.log.bytesBetween(0, n.snapshot.GetIndex()) > n.snapshot.GetBytes()
}

func (n *Node) sendSnapshot(p *progress) {
	if n.snapshot == nil {
		return
	}
	p.installing = n.snapshot.GetIndex()
	p.installDeadline = n.now + n.config.SnapshotTimeout
	n.send(&raftpb.Message{Type: raftpb.MessageType_SNAPSHOT, To: p.id, Snapshot: n.snapshot})
}

// ReportSnapshot reports the end of a snapshot transfer to a member. A failed transfer is retried with the next
// heartbeat.
func (n *Node) ReportSnapshot(id uint64, delivered bool) {
	if p := n.peers[id]; p != nil && p.installing != 0 && !delivered {
		p.probeFrom(p.match + 1)
	}
}

func (n *Node) retrySnapshots() {
	for _, p := range n.peers {
		if p.installing != 0 && n.now >= p.installDeadline {
			p.probeFrom(p.match + 1)
		}
	}
}

// probeFrom discards the state of appends and snapshots in flight and probes from next on.
func (p *progress) probeFrom(next uint64) {
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

// stepReject moves next back to the highest index at which the logs may match, and probes there.
func (n *Node) stepReject(p *progress, m *raftpb.Message) {
	stale := m.GetLogIndex() <= p.match || (p.probing && m.GetLogIndex() != p.next-1)
	if stale || p.installing != 0 {
		return
	}
	hint := n.log.conflictHint(m.GetRejectHint(), m.GetLogTerm())
	p.probeFrom(max(p.match, min(hint, m.GetLogIndex()-1)) + 1)
	n.appendTo(p, true)
}

// maybeCommit advances the commit index to what a quorum has synced. Only entries of the current term are committed by
// counting replicas: an entry of an earlier term that is on a quorum can still be replaced by a later leader.
func (n *Node) maybeCommit() {
	index := n.quorumValue(n.log.stable, func(p *progress) uint64 { return p.match })
	if index <= n.log.commit || n.log.term(index) != n.term {
		return
	}
	first := !n.committedInCurrentTerm()
	n.log.commit = index
	if first {
		n.releaseDeferredReads()
		// Members learn that they are fresh from a heartbeat that is sent after the first commit of the term.
		n.heartbeatAll(n.nextStamp())
	}
	if n.currentConfig().index <= index {
		n.stepDownIfRemoved()
	}
	n.announceCommit()
}

// announceCommit sends the new commit index to members that already have all entries. Otherwise they would apply the
// last entries only after the next heartbeat, which delays a new object set on all processes that watch them.
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

// committedInCurrentTerm reports whether an entry of the current term is committed.
func (n *Node) committedInCurrentTerm() bool {
	return n.log.term(n.log.commit) == n.term
}

// quorumValue returns the highest value that a quorum of voters has reached; local is the value of this member.
func (n *Node) quorumValue(local uint64, valueOf func(*progress) uint64) uint64 {
	var values []uint64
	for _, id := range n.currentConfig().voters() {
		switch p := n.peers[id]; {
		case id == n.config.ID:
			values = append(values, local)
		case p == nil:
			values = append(values, 0)
		default:
			values = append(values, valueOf(p))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-n.currentConfig().quorum()]
}

// bestVoter returns the reachable voter with the longest log, 0 if there is none.
func (n *Node) bestVoter() uint64 {
	var best *progress
	for _, p := range n.sortedPeers() {
		m := n.currentConfig().find(p.id)
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

// TransferLeadership starts a leadership transfer to the reachable voter with the longest log and reports whether there
// is one. Proposals are refused until the transfer ends or its timeout of Config.Election passes.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	n.transferTo = n.bestVoter()
	n.transferDeadline = n.now + n.config.Election
	if p := n.peers[n.transferTo]; p != nil {
		n.appendTo(p, false)
		n.continueTransfer(p)
	}
	return n.transferTo != 0
}

// continueTransfer completes a leadership transfer once the target has all entries.
func (n *Node) continueTransfer(p *progress) {
	if n.role == Leader && p.id == n.transferTo && p.match == n.log.last() {
		n.send(&raftpb.Message{Type: raftpb.MessageType_TIMEOUT_NOW, To: p.id})
	}
}
