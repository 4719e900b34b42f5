package coregroup

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/replica"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/supervise"
)

// Options are the options of a Group.
type Options struct {
	// Dir is the data directory; if it is empty, the node runs no member and only calls the members of other nodes.
	Dir string
	// Address is where this node's drpc server listens.
	Address          string
	AvailabilityZone string
	// Seeds returns the seeds of the current settings, which are addresses of some nodes.
	Seeds func() []string
	// FirstStart is set at the first start of the deployment.
	FirstStart bool
	Tolerance  Tolerance
	// FS is the file system of the identity, the log and the snapshots; default is that of the operating system.
	FS diskfs.FS
	// DiskBytes is the size of the disk of the data directory; default 64 MiB.
	DiskBytes int64
	Log       *zap.Logger
	Metrics   gometrics.Registry
}

const (
	groupName = "core"
	// keepAliveInterval is the pause between keep-alives to the leader, a quarter of replaceAfter.
	keepAliveInterval = 500 * time.Millisecond
	// joinInterval is the pause between attempts to join.
	joinInterval = 150 * time.Millisecond
	// membershipInterval is the pause between membership decisions of the leader.
	membershipInterval = 100 * time.Millisecond
	// restartDelay is the pause before a member that stopped is started again. It doubles up to maxRestartDelay while members fail within
	// stableTime of their start, because each start may cost the group an election.
	restartDelay    = 500 * time.Millisecond
	maxRestartDelay = 4 * time.Second
	stableTime      = 10 * time.Second
	// callTimeout limits one call to another node.
	callTimeout = 700 * time.Millisecond
	// formingTimeout is how long a new group waits for all its voters before it accepts changes with fewer.
	formingTimeout = 6 * time.Second
	// electionTimeout is long enough that a disk stall of some hundred ms causes no election.
	electionTimeout = 600 * time.Millisecond
	// firstElectionTimeout is one tick, because after a power loss of all VMs no request is served until there is a leader.
	// A restarted member does not disturb a running leader: its pre-vote is refused.
	firstElectionTimeout = raftTick
	// leaderWait is how long a read of a member without a leader waits for one. Operators give up after 1 s, of which links and slow machines
	// take a part.
	leaderWait = 500 * time.Millisecond
	// dialTimeout is far above a round trip and below the 1 s after which TCP repeats the first packet of a connection. A
	// VM that is just starting drops that packet.
	dialTimeout = 200 * time.Millisecond
	raftTick    = 40 * time.Millisecond
	// snapshotEvery is the number of applied entries between snapshots.
	snapshotEvery   = 200
	trailingEntries = 100
	maxCommandBytes = 3 << 20
	// The following are shares of the disk. Between snapshots the log of small sets grows by snapshotShare, and that of large ones by twice
	// the size of a set. Two snapshots are kept, with the log since the older one. Changes are refused from maxLogShare on.
	snapshotShare   = 128
	trailingShare   = 128
	segmentShare    = 64
	maxLogShare     = 2
	raftQueueLength = 256
	stopTimeout     = time.Second
	maxCandidates   = 256
)

// Group is one node's part in the core group. Lock order: Group.mu before machine.mu.
type Group struct {
	options Options
	pool    *rpcpool.Pool

	mu         sync.Mutex
	member     *replica.Replica
	machine    *machine
	self       identity
	candidates map[uint64]candidate
	// appointed is the identity for which this node has a role in the group, until it is saved. Used by runMember only.
	appointed *identity
	// foundingGranted is set once this node has appointed the founder.
	foundingGranted bool
	// leaderSince is when this member became leader in leaderTerm.
	leaderSince time.Time
	leaderTerm  uint64
	// changed is closed and replaced when the member starts or stops.
	changed chan struct{}

	leaderHint atomic.Pointer[leaderHint]
	// joinHint is an address that any node named as that of the leader, "" if none did. It is good enough for a Join call only.
	joinHint atomic.Pointer[string]
	contacts contacts
}

// New returns a Group that is not running yet.
func New(options Options) *Group {
	defaults.Set[diskfs.FS](&options.FS, diskfs.OS{})
	return &Group{
		options: options, pool: rpcpool.New(rpcpool.Options{DialTimeout: dialTimeout}), candidates: map[uint64]candidate{}, changed: make(chan struct{}),
	}
}

// Run keeps the member running until the context ends, then stops it with a leadership transfer.
func (g *Group) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { supervise.Loop(ctx, g.options.Log, "contacts", func() { g.keepContacts(ctx) }) })
	if g.options.Dir == "" {
		<-ctx.Done()
		return
	}
	delay := restartDelay / 2
	for ctx.Err() == nil {
		started := time.Now()
		var err error
		panicked := supervise.Call(g.options.Log, "core member", func() { err = g.runMember(ctx) })
		if err = cmp.Or(panicked, err); err != nil {
			g.options.Log.Error("core member stopped", zap.Error(err))
		}
		delay = nextRestartDelay(delay, err != nil && time.Since(started) < stableTime)
		if failure.Is(err, failure.StorageFailed) {
			g.awaitWritableDisk(ctx, delay)
			continue
		}
		clock.Sleep(ctx, delay)
	}
}

// nextRestartDelay returns the pause before the next start of a member.
func nextRestartDelay(last time.Duration, failedEarly bool) time.Duration {
	if !failedEarly {
		return restartDelay
	}
	return min(2*last, maxRestartDelay)
}

// runMember runs one incarnation of the member until the context ends, the member fails or it is removed from the group.
func (g *Group) runMember(ctx context.Context) error {
	self, err := g.identify(ctx)
	if err != nil {
		return err
	}
	state := newMachine()
	member, err := replica.Start(g.replicaOptions(self, state))
	if err != nil {
		return err
	}
	g.setMember(member, state, self)
	defer g.setMember(nil, nil, identity{})
	memberCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	removed := make(chan struct{})
	tasks.Go(func() {
		supervise.Loop(memberCtx, g.options.Log, "sign of life", func() { g.sendKeepAlives(memberCtx, member, self, removed) })
	})
	tasks.Go(func() {
		supervise.Loop(memberCtx, g.options.Log, "membership", func() { g.manageMembership(memberCtx, member, state) })
	})
	defer tasks.Wait()
	defer cancel()
	select {
	case <-ctx.Done():
		member.Stop()
		return nil
	case <-member.Done():
		member.Stop()
		return member.Err()
	case <-removed:
		g.options.Log.Warn("member removed from the group", zap.Uint64("member", self.ID))
		member.Stop()
		return discard(g.options.Dir)
	}
}

// identify returns the identity of the data directory. A new one is saved once the node has its role in the group. A founder is appointed only
// once, so a disk that refuses the file must not end its appointment.
func (g *Group) identify(ctx context.Context) (identity, error) {
	self, found, err := loadIdentity(g.options.FS, g.options.Dir)
	if err != nil || found {
		return self, err
	}
	if g.appointed == nil {
		if self.Founder, err = g.awaitRole(ctx, self); err != nil {
			return self, err
		}
		g.appointed = &self
	}
	self = *g.appointed
	if err := saveIdentity(g.options.FS, g.options.Dir, self); err != nil {
		return self, err
	}
	g.appointed = nil
	return self, nil
}

func (g *Group) replicaOptions(self identity, state *machine) replica.Options {
	disk := g.diskBytes()
	o := replica.Options{
		ID: self.ID, Group: groupName, Address: g.options.Address, Dir: g.options.Dir + "/raft", FS: g.options.FS, StateMachine: state,
		Logger: g.options.Log, Metrics: g.options.Metrics, Tick: raftTick, Election: electionTimeout, FirstElection: firstElectionTimeout, DialTimeout: dialTimeout,
		SnapshotEvery: snapshotEvery, SnapshotBytes: disk / snapshotShare, TrailingEntries: trailingEntries, TrailingBytes: disk / trailingShare,
		SegmentBytes: disk / segmentShare, MaxLogBytes: disk / maxLogShare, MaxCommandBytes: maxCommandBytes,
		QueueLength: raftQueueLength, StopTimeout: stopTimeout, OnFresh: state.becameFresh,
	}
	if self.Founder {
		o.Bootstrap = []*raftpb.Member{{Id: self.ID, Address: g.options.Address, AvailabilityZone: g.options.AvailabilityZone}}
	}
	return o
}

func (g *Group) setMember(member *replica.Replica, state *machine, self identity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.member, g.machine, g.self = member, state, self
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Group) current() (*replica.Replica, *machine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member, g.machine
}

// Register adds the services of the group to a drpc mux. Calls that arrive while no member runs are refused.
func (g *Group) Register(mux *drpcmux.Mux) error {
	return mux.Register(delegate{g}, raftpb.DRPCRaftDescription{})
}

// delegate forwards raft calls to the running incarnation.
type delegate struct{ group *Group }

// Exchange implements the raft service.
func (d delegate) Exchange(stream raftpb.DRPCRaft_ExchangeStream) error {
	server, err := d.server()
	if err != nil {
		return err
	}
	return server.Exchange(stream)
}

// InstallSnapshot implements the raft service.
func (d delegate) InstallSnapshot(stream raftpb.DRPCRaft_InstallSnapshotStream) error {
	server, err := d.server()
	if err != nil {
		return err
	}
	return server.InstallSnapshot(stream)
}

func (d delegate) server() (raftpb.DRPCRaftServer, error) {
	member, _ := d.group.current()
	if member == nil {
		return nil, failure.New(failure.NotLeader, failure.NotRun, "no member of the group runs on this node")
	}
	return member.Server(), nil
}

var _ drpc.Description = raftpb.DRPCRaftDescription{}

// TransferLeadership starts a leadership transfer if this node's member leads.
func (g *Group) TransferLeadership() {
	if member, _ := g.current(); member != nil {
		member.TransferLeadership()
	}
}

// Leads reports whether this node's member is the leader.
func (g *Group) Leads() bool {
	member, _ := g.current()
	return member != nil && member.Status().Role == raft.Leader
}

// Term returns the term of this node's member, which grows with each leader.
func (g *Group) Term() uint64 {
	if member, _ := g.current(); member != nil {
		return member.Status().Term
	}
	return 0
}

// Fresh reports whether the local state holds everything committed up to 1 s ago.
func (g *Group) Fresh() bool {
	member, _ := g.current()
	return member != nil && member.Fresh()
}

// State returns the local state, nil without a member or while that waits for room on its disk, and a channel that is closed at the next change and
// when the state becomes fresh.
func (g *Group) State() (*nodepb.State, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.machine == nil || g.member.WaitsForRoom() {
		return nil, g.changed
	}
	state, changed := g.machine.read()
	return state, changed
}

// Members returns the member list of this node's member, nil without a member.
func (g *Group) Members() []*raftpb.Member {
	if member, _ := g.current(); member != nil {
		return member.Members()
	}
	return nil
}

// Propose replicates a change. It fails with failure.NotLeader on a node that is not the leader.
func (g *Group) Propose(ctx context.Context, command *nodepb.Command) error {
	member, state := g.current()
	if member == nil || member.Status().Role != raft.Leader {
		return failure.New(failure.NotLeader, failure.NotRun, "this node is not the leader of the group")
	}
	if current, _ := state.read(); !current.GetFormed() {
		return failure.New(failure.NoQuorum, failure.NotRun, "the new group waits for its first members")
	}
	return propose(ctx, member, command)
}

func propose(ctx context.Context, member *replica.Replica, command *nodepb.Command) error {
	data, err := proto.Marshal(command)
	if err != nil {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "encode a command")
	}
	_, err = member.Propose(ctx, data)
	return err
}

// Read returns a state that includes every change acknowledged before the call.
func (g *Group) Read(ctx context.Context) (*nodepb.State, error) {
	member, state := g.current()
	if member == nil {
		return nil, failure.New(failure.NotLeader, failure.NotRun, "no member of the group runs on this node")
	}
	if _, leader := member.Leader(); leader == "" {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, leaderWait)
		defer cancel()
	}
	if err := member.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	current, _ := state.read()
	return current, nil
}
