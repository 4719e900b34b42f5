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
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/replica"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/supervise"
)

// Options of a Group.
type Options struct {
	// Dir is the data directory; without one the node only calls the members.
	Dir string
	// Address is where this node's drpc server listens.
	Address          string
	AvailabilityZone string
	// Seeds returns the addresses of some members as the settings name them now.
	Seeds func() []string
	// FirstStart is set at the first start of the whole deployment.
	FirstStart bool
	Tolerance  Tolerance
	Log        *zap.Logger
	Metrics    gometrics.Registry
}

const (
	groupName = "core"
	// signInterval is the pause between signs of life, a quarter of replaceAfter.
	signInterval = 500 * time.Millisecond
	// joinInterval is the pause between tries to join.
	joinInterval = 150 * time.Millisecond
	// rosterInterval is the pause between membership decisions of the leader.
	rosterInterval = 100 * time.Millisecond
	// reopenPause is the pause before a member opens its storage again after it failed.
	reopenPause = 500 * time.Millisecond
	// callTimeout limits one call to another node.
	callTimeout = 700 * time.Millisecond
	// formingLimit is how long a new group waits for all its voters before it takes changes with fewer.
	formingLimit = 6 * time.Second
	// electionTimeout leaves room for a disk stall of some hundred ms.
	electionTimeout = 600 * time.Millisecond
	// firstElection is some ticks: after a loss of all power nobody is served until there is a leader.
	firstElection = 160 * time.Millisecond
	// dialTimeout is far above a round trip. A VM that is just starting drops the first packet of a connection, and the
	// next one comes a second later.
	dialTimeout = 200 * time.Millisecond
	raftTick    = 40 * time.Millisecond
	// snapshotEvery keeps the log of a small disk short.
	snapshotEvery  = 200
	segmentBytes   = 4 << 20
	trailing       = 100
	maxCommand     = 3 << 20
	raftQueue      = 256
	stopTimeout    = time.Second
	maxRememberIDs = 256
)

// Group is one node's part in the core group. Lock order: mu before the machine's lock.
type Group struct {
	options Options
	pool    *rpcpool.Pool

	mu         sync.Mutex
	member     *replica.Replica
	machine    *machine
	own        identity
	candidates map[uint64]candidate
	granted    bool
	leadSince  time.Time
	leadTerm   uint64
	changed    chan struct{}

	leaderHint atomic.Pointer[string]
	contacts   contacts
}

// New returns a Group that is not running yet.
func New(options Options) *Group {
	return &Group{
		options: options, pool: rpcpool.New(rpcpool.Options{}), candidates: map[uint64]candidate{}, changed: make(chan struct{}),
	}
}

// Run keeps the member running until the context ends, then hands leadership over.
func (g *Group) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { supervise.Loop(ctx, g.options.Log, "contacts", func() { g.keepContacts(ctx) }) })
	if g.options.Dir == "" {
		<-ctx.Done()
		return
	}
	for ctx.Err() == nil {
		var err error
		panicked := supervise.Call(g.options.Log, "core member", func() { err = g.runMember(ctx) })
		if err = cmp.Or(panicked, err); err != nil {
			g.options.Log.Error("core member stopped", zap.Error(err))
		}
		clock.Sleep(ctx, reopenPause)
	}
}

// runMember runs one incarnation of the member.
func (g *Group) runMember(ctx context.Context) error {
	own, found, err := loadIdentity(diskfs.OS{}, g.options.Dir)
	if err != nil {
		return err
	}
	if !found {
		if own.Founder, err = g.awaitRole(ctx, own); err != nil {
			return err
		}
		if err := saveIdentity(diskfs.OS{}, g.options.Dir, own); err != nil {
			return err
		}
	}
	state := newMachine()
	member, err := replica.Start(g.replicaOptions(own, state))
	if err != nil {
		return err
	}
	g.set(member, state, own)
	defer g.set(nil, nil, identity{})
	memberCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	removed := make(chan struct{})
	tasks.Go(func() {
		supervise.Loop(memberCtx, g.options.Log, "sign of life", func() { g.signOfLife(memberCtx, member, own, removed) })
	})
	tasks.Go(func() {
		supervise.Loop(memberCtx, g.options.Log, "membership", func() { g.manageRoster(memberCtx, member, state) })
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
		g.options.Log.Warn("member removed from the group", zap.Uint64("member", own.ID))
		member.Stop()
		return discard(g.options.Dir)
	}
}

func (g *Group) replicaOptions(own identity, state *machine) replica.Options {
	o := replica.Options{
		ID: own.ID, Group: groupName, Address: g.options.Address, Dir: g.options.Dir + "/raft", StateMachine: state,
		Logger: g.options.Log, Metrics: g.options.Metrics, Tick: raftTick, Election: electionTimeout, FirstElection: firstElection, DialTimeout: dialTimeout,
		SnapshotEvery: snapshotEvery, Trailing: trailing, SegmentBytes: segmentBytes, MaxCommandBytes: maxCommand,
		QueueLength: raftQueue, StopTimeout: stopTimeout,
	}
	if own.Founder {
		o.Bootstrap = []*raftpb.Member{{Id: own.ID, Address: g.options.Address, AvailabilityZone: g.options.AvailabilityZone}}
	}
	return o
}

func (g *Group) set(member *replica.Replica, state *machine, own identity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.member, g.machine, g.own = member, state, own
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

// delegate passes raft calls to the running incarnation.
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
		return nil, failure.New(failure.NotLeader, failure.NotRun, "no member runs on this node")
	}
	return member.Server(), nil
}

var _ drpc.Description = raftpb.DRPCRaftDescription{}

// Leader returns the address of the leader as far as this node knows, or "".
func (g *Group) Leader() string {
	if member, _ := g.current(); member != nil {
		if _, address := member.Leader(); address != "" {
			return address
		}
		return ""
	}
	if hint := g.leaderHint.Load(); hint != nil {
		return *hint
	}
	return ""
}

// HintLeader tells a node without a member who leads.
func (g *Group) HintLeader(address string) { g.leaderHint.Store(&address) }

// HandOver asks this node's member to hand its leadership over.
func (g *Group) HandOver() {
	if member, _ := g.current(); member != nil {
		member.HandOver()
	}
}

// Leads reports whether this node's member leads.
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

// Fresh reports whether the local state holds all that was committed until 1 s ago.
func (g *Group) Fresh() bool {
	member, _ := g.current()
	return member != nil && member.Fresh()
}

// State returns the local state, nil without a member, and a channel that is closed when it changes.
func (g *Group) State() (*nodepb.State, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.machine == nil {
		return nil, g.changed
	}
	state, changed := g.machine.read()
	return state, changed
}

// Members returns the members of the group as this node's member knows them.
func (g *Group) Members() []*raftpb.Member {
	if member, _ := g.current(); member != nil {
		return member.Members()
	}
	return nil
}

// Propose makes a change durable. It fails with failure.NotLeader on a node that does not lead.
func (g *Group) Propose(ctx context.Context, command *nodepb.Command) error {
	member, state := g.current()
	if member == nil || member.Status().Role != raft.Leader {
		return failure.New(failure.NotLeader, failure.NotRun, "this node does not lead the group")
	}
	if now, _ := state.read(); !now.GetFormed() {
		return failure.New(failure.NoQuorum, failure.NotRun, "the group waits for its first members")
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

// Read returns a state that holds everything that was acknowledged before the call.
func (g *Group) Read(ctx context.Context) (*nodepb.State, error) {
	member, state := g.current()
	if member == nil {
		return nil, failure.New(failure.NotLeader, failure.NotRun, "this node has no member of the group")
	}
	if err := member.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	now, _ := state.read()
	return now, nil
}
