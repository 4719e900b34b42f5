// Package raft implements the Raft algorithm for one member of a replicated group: elections, log replication,
// membership changes, linearizable reads and freshness. It is a deterministic state machine: messages, ticks and the
// time are its input, a Ready is its output. It starts no goroutine, does no I/O and reads no clock; its random numbers
// come from a seeded source.
//
// The driver repeats: Step, Tick, Propose or ReadIndex; Ready; save and sync Ready.HardState, Ready.Snapshot and
// Ready.Entries; send Ready.Messages; apply Ready.Committed to the state machine; Advance. Of the other calls
// on the Node only KeepContact and StepContact come between Ready and Advance.
package raft

import (
	"math/rand/v2"
	"time"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Role of a member in its group.
type Role uint8

// Roles. A learner or a member that may not vote stays a Follower.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// Config holds the settings of a Node.
type Config struct {
	// ID is the member id, above 0 and never reused.
	ID uint64
	// Group is the identity of the replicated group; messages of other groups are refused.
	Group string
	// Heartbeat is the interval between heartbeats of a leader; default 100 ms.
	Heartbeat time.Duration
	// Election is the shortest election timeout; a random addition of up to the same length is drawn each time; default
	// 1 s.
	Election time.Duration
	// FirstElection replaces Election from the start of the member until it first has a leader; default Election. A short
	// value does not disturb a working group, because members with a recent leader refuse the pre-vote.
	FirstElection time.Duration
	// CheckQuorum is how long a leader stays leader, and a member stays fresh, without contact to a quorum; default 1 s.
	CheckQuorum time.Duration
	// SnapshotTimeout is how long a leader waits for a follower to install a snapshot before it retries; default 30 s.
	SnapshotTimeout time.Duration
	// MaxAppendBytes limits the entries of one append message; default 1 MiB.
	MaxAppendBytes int
	// MaxInflight limits the unanswered append messages per follower; default 64.
	MaxInflight int
	// MaxUncommitted limits the entries that wait for a quorum; default 8,192.
	MaxUncommitted uint64
	// MaxReads limits the reads that wait for a quorum; default 4,096.
	MaxReads int
	// Seed of the random election timeouts.
	Seed uint64
}

func (c *Config) setDefaults() {
	defaults.Set(&c.Heartbeat, 100*time.Millisecond)
	defaults.Set(&c.Election, time.Second)
	defaults.Set(&c.FirstElection, c.Election)
	defaults.Set(&c.CheckQuorum, time.Second)
	defaults.Set(&c.SnapshotTimeout, 30*time.Second)
	defaults.Set(&c.MaxAppendBytes, 1<<20)
	defaults.Set(&c.MaxInflight, 64)
	defaults.Set(&c.MaxUncommitted, 8192)
	defaults.Set(&c.MaxReads, 4096)
}

// State is the stored state of a member at its start. The zero value is a member in join mode.
type State struct {
	HardState *raftpb.HardState
	// Snapshot is the newest valid snapshot; nil if there is none.
	Snapshot *raftpb.SnapshotMeta
	// Entries begin right after the snapshot.
	Entries []*raftpb.Entry
}

// ReadState is the result of one ReadIndex call: the read may be served once Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is the work that the driver does before it calls Advance.
type Ready struct {
	// HardState is set when term, vote or may_vote changed or entries are added. It is synced with Entries.
	HardState *raftpb.HardState
	// Snapshot replaces the whole log and state machine. It is saved and synced before HardState and Entries.
	Snapshot *raftpb.SnapshotMeta
	// Entries are appended to the log and synced; they replace entries of the same and higher indexes.
	Entries []*raftpb.Entry
	// Messages are sent only after the sync.
	Messages []*raftpb.Message
	// Committed entries are applied in order, each once per start.
	Committed []*raftpb.Entry
	// Reads are the confirmed reads.
	Reads []ReadState
}

// MustSync reports whether anything must be saved and synced before messages leave.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

func (r *Ready) empty() bool {
	return !r.MustSync() && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Node is the consensus core of one member. It is not safe for concurrent use.
type Node struct {
	config Config
	random *rand.Rand
	// now is the driver's time of the last Tick. It is never ahead of the driver's clock, so leases that are stamped with
	// it expire early rather than late.
	now time.Duration

	term, vote, leader uint64
	mayVote            bool
	// firstStamp is the time of the first tick; smaller stamps belong to an earlier incarnation of the member.
	firstStamp uint64
	role       Role
	// saved is the last hard state that the driver has synced.
	saved *raftpb.HardState

	log *entryLog
	// snapshot is the newest snapshot, installing a received one that the driver has not saved yet.
	snapshot   *raftpb.SnapshotMeta
	installing *raftpb.SnapshotMeta
	// configs holds the member lists in the log, oldest first; the last one is in effect.
	configs []memberConfig

	electionDeadline time.Duration
	// pastFirstElection is set once the member has had a leader since its start, or took long to store a vote.
	pastFirstElection bool
	// votedAt is when a vote was given that is not durable yet, 0 if there is none.
	votedAt       time.Duration
	nextHeartbeat time.Duration
	leaderContact time.Duration
	votes         map[uint64]bool

	// peers holds the replication state of the other members; nil unless this member leads.
	peers     map[uint64]*progress
	lastStamp uint64
	// quorumStamp is the latest stamp whose heartbeat was answered by a quorum.
	quorumStamp uint64
	// commitAtHeartbeat is the commit index at the last round of heartbeats.
	commitAtHeartbeat uint64
	transferTo        uint64
	transferDeadline  time.Duration

	reads []pendingRead
	// deferredReads wait until an entry of the current term is committed.
	deferredReads []pendingRead
	readStates    []ReadState

	applied uint64
	// freshStamp is the latest stamp before which every committed entry is applied.
	freshStamp uint64
	freshness  []freshPoint

	messages []*raftpb.Message
}

// New returns a Node that continues from the state on disk.
func New(config Config, state State) (*Node, error) {
	config.setDefaults()
	if config.ID == 0 || config.Group == "" {
		return nil, failure.New(failure.InvalidRequest, failure.NotRun, "member id and group must be set")
	}
	n := &Node{config: config, random: rand.New(rand.NewPCG(config.Seed, config.ID)), log: &entryLog{}}
	if err := n.load(state); err != nil {
		return nil, err
	}
	n.resetElection()
	return n, nil
}

func (n *Node) load(state State) error {
	if s := state.Snapshot; s != nil {
		n.snapshot = s
		n.log.reset(s.GetIndex(), s.GetTerm())
		n.configs = []memberConfig{newMemberConfig(s.GetIndex(), s.GetMembers())}
	}
	for _, e := range state.Entries {
		if e.GetIndex() != n.log.last()+1 {
			return failure.New(failure.StorageFailed, failure.NotRun, "log entry %d follows entry %d", e.GetIndex(), n.log.last())
		}
		n.log.entries = append(n.log.entries, e)
		if err := n.recordConfig(e); err != nil {
			return err
		}
	}
	n.log.stable = n.log.last()
	n.log.commit = min(max(state.HardState.GetCommit(), n.log.base), n.log.last())
	n.log.delivered = n.log.base
	n.applied = n.log.base
	n.term = max(state.HardState.GetTerm(), n.log.lastTerm())
	if n.term == state.HardState.GetTerm() {
		n.vote = state.HardState.GetVote()
	}
	n.mayVote = state.HardState.GetMayVote()
	n.saved = n.hardState()
	return nil
}

func (n *Node) hardState() *raftpb.HardState {
	return &raftpb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit, MayVote: n.mayVote}
}

// HasReady reports whether Ready has any work.
func (n *Node) HasReady() bool {
	r := n.Ready()
	return !r.empty()
}

// Ready returns the outstanding work without changing the Node; Advance marks the work as done.
func (n *Node) Ready() Ready {
	r := Ready{
		Snapshot:  n.installing,
		Entries:   n.log.unstable(),
		Messages:  n.messages,
		Committed: n.log.toApply(),
		Reads:     n.readStates,
	}
	s := n.saved
	changed := s.GetTerm() != n.term || s.GetVote() != n.vote || s.GetMayVote() != n.mayVote
	if changed || len(r.Entries) > 0 || r.Snapshot != nil {
		r.HardState = n.hardState()
	}
	return r
}

// Advance records that the work of r is done.
func (n *Node) Advance(r Ready) {
	if r.HardState != nil {
		n.saved = r.HardState
		n.finishVote()
	}
	n.installing = nil
	n.messages = nil
	n.readStates = nil
	if k := len(r.Committed); k > 0 {
		n.log.delivered = r.Committed[k-1].GetIndex()
	}
	if k := len(r.Entries); k > 0 {
		n.log.stable = r.Entries[k-1].GetIndex()
	}
	if n.role == Leader {
		n.maybeCommit()
		n.stepDownIfRemoved()
	}
}

// SetApplied sets the index of the last entry applied to the state machine, on which freshness depends.
func (n *Node) SetApplied(index uint64) {
	n.applied = max(n.applied, index)
	n.updateFreshness()
}

// Compact records a durable snapshot and drops the entries up to dropTo, which is at most the snapshot's index. It
// returns false if the Node already has this or a newer snapshot.
func (n *Node) Compact(meta *raftpb.SnapshotMeta, dropTo uint64) bool {
	if meta.GetIndex() <= n.snapshot.GetIndex() {
		return false
	}
	n.snapshot = meta
	n.log.compact(min(dropTo, meta.GetIndex(), n.log.delivered, n.log.stable))
	n.trimConfigs(meta.GetIndex())
	return true
}

// TrailingFrom returns the index to pass to Compact, so that at most a number of entries and of bytes before a snapshot stay for members
// that are a little behind.
func (n *Node) TrailingFrom(snapshot, entries uint64, bytes int64) uint64 {
	return n.log.trailingFrom(snapshot, entries, bytes)
}

// Holds reports whether the log has an entry of this index and term, or has compacted it.
func (n *Node) Holds(e *raftpb.Entry) bool {
	return e.GetIndex() <= n.log.commit || n.log.matches(e.GetIndex(), e.GetTerm())
}

// Status is a copy of the Node's state for operators and drivers.
type Status struct {
	ID, Term, Leader, Commit, Applied, LastIndex, FirstIndex uint64
	Role                                                     Role
	// MayVote is false for a member in join mode whose identity no leader has confirmed yet.
	MayVote bool
	Voter   bool
	Members *raftpb.Members
}

// Status returns the current state.
func (n *Node) Status() Status {
	return Status{
		ID: n.config.ID, Term: n.term, Leader: n.leader, Commit: n.log.commit, Applied: n.applied,
		LastIndex: n.log.last(), FirstIndex: n.log.base + 1, Role: n.role, MayVote: n.mayVote, Voter: n.isVoter(), Members: n.currentConfig().proto(),
	}
}

// SnapshotMeta returns the metadata of a snapshot taken at an applied index.
func (n *Node) SnapshotMeta(index uint64) *raftpb.SnapshotMeta {
	return &raftpb.SnapshotMeta{Index: index, Term: n.log.term(index), Members: n.configAt(index).proto()}
}

func (n *Node) send(m *raftpb.Message) {
	m.Group = n.config.Group
	m.From = n.config.ID
	if m.GetTerm() == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}
