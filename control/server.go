package control

import (
	"context"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/operators"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/upstream/vmlist"
)

// VMLister reads the platform's VM list.
type VMLister interface {
	Read(ctx context.Context) ([]vmlist.VM, error)
}

// Options configures a Server.
type Options struct {
	MemberID uint64
	// SourceIP is the source address of connections to the leader; default: chosen by the kernel.
	SourceIP  string
	Operators *Operators
	// OperatorsFile is watched for changes of the operators; if empty, they do not change.
	OperatorsFile string
	// VMList is nil on a platform without a VM list.
	VMList VMLister
	// VMListInterval is the time between reads of the list by the leader; default 1 s.
	VMListInterval time.Duration
	// BookingRetention is how long a booking is kept after its key was issued; default 24 h.
	BookingRetention time.Duration
	// RetireInterval is the time between retirements of old bookings; default 1 min.
	RetireInterval time.Duration
	// DeadAfter is the time without a report after which a process is declared dead; default 3 s.
	DeadAfter time.Duration
	// MemberDeadAfter is the time without a message from a member after which the leader declares the processes that
	// report to it dead; default 4 s.
	MemberDeadAfter time.Duration
	// MonitorInterval is the time between checks for unresponsive processes; default 250 ms.
	MonitorInterval time.Duration
	// HeartbeatInterval is the time between messages on an idle watch stream; default 1 s.
	HeartbeatInterval time.Duration
	// CallTimeout limits a proposal or read barrier; default 2 s.
	CallTimeout time.Duration
	// MaxWatchers limits the watch streams of this member; default 4,096.
	MaxWatchers int
	// MaxPending limits the proposals that wait for the replicated log; default 4,096.
	MaxPending int
	// MaxBookingBytes limits the response body stored with a booking; default 1 MiB.
	MaxBookingBytes int
	Log             *zap.Logger
	Clock           clock.Clock
	Metrics         gometrics.Registry
}

func (o *Options) setDefaults() {
	defaults.Set(&o.VMListInterval, time.Second)
	defaults.Set(&o.BookingRetention, 24*time.Hour)
	defaults.Set(&o.RetireInterval, time.Minute)
	defaults.Set(&o.DeadAfter, 3*time.Second)
	defaults.Set(&o.MemberDeadAfter, 4*time.Second)
	defaults.Set(&o.MonitorInterval, 250*time.Millisecond)
	defaults.Set(&o.HeartbeatInterval, time.Second)
	defaults.Set(&o.CallTimeout, 2*time.Second)
	defaults.Set(&o.MaxWatchers, 4096)
	defaults.Set(&o.MaxPending, 4096)
	defaults.Set(&o.MaxBookingBytes, 1<<20)
	if o.Operators == nil {
		o.Operators = &Operators{}
	}
	defaults.Set(&o.Log, zap.NewNop())
	defaults.Set[clock.Clock](&o.Clock, clock.System{})
	defaults.Set(&o.Metrics, gometrics.NewRegistry())
}

// sampleSize is the number of proposals in the sample from which quantiles are estimated.
const sampleSize = 1028

// Server is the drpc service of one control member.
type Server struct {
	options    Options
	machine    *StateMachine
	replicator Replicator
	pool       *rpcpool.Pool
	// pending and watchers hold one element for each pending proposal and each watch stream.
	pending  chan struct{}
	watchers chan struct{}
	// proposeTime is the duration of proposals in microseconds.
	proposeTime gometrics.Histogram
	started     time.Time
	// closing is closed when Run ends, which ends the watch streams.
	closing     chan struct{}
	closeOnce   sync.Once
	memberships *membershipFeed

	mu sync.Mutex
	// presence maps process ids to the last reports to this member.
	presence map[string]presence
	// memberLastSeen holds when each other member last sent a message to this member as the leader.
	memberLastSeen map[uint64]time.Time
	// leaderSince is zero while this member is not the leader.
	leaderSince time.Time
}

// presence is the last report of a process to this member.
type presence struct {
	lastSeen    time.Time
	incarnation string
	setVersion  uint64
}

var _ controlpb.DRPCControlServer = (*Server)(nil)

// NewServer returns a Server for a state machine and its replicator. Run must be called for its periodic work.
func NewServer(machine *StateMachine, replicator Replicator, options Options) *Server {
	options.setDefaults()
	return &Server{
		options:        options,
		machine:        machine,
		replicator:     replicator,
		pool:           rpcpool.New(rpcpool.Options{LocalIP: options.SourceIP}),
		pending:        make(chan struct{}, options.MaxPending),
		watchers:       make(chan struct{}, options.MaxWatchers),
		proposeTime:    gometrics.GetOrRegisterHistogram("control.propose_us", options.Metrics, gometrics.NewUniformSample(sampleSize)),
		started:        options.Clock.Now(),
		closing:        make(chan struct{}),
		presence:       map[string]presence{},
		memberLastSeen: map[uint64]time.Time{},
		memberships:    newMembershipFeed(),
	}
}

// Run does the periodic work until the context ends: it monitors processes, publishes membership updates, reads the VM
// list and retires bookings. It then ends the watch streams and returns after its goroutines have ended.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runPeriodically(ctx, s.options.MonitorInterval, s.monitor) })
	group.Go(func() error { return runPeriodically(ctx, s.options.RetireInterval, s.retire) })
	group.Go(func() error { return runPeriodically(ctx, s.options.HeartbeatInterval, s.sendLeaderHeartbeat) })
	group.Go(func() error { return s.publishMemberships(ctx) })
	if path := s.options.OperatorsFile; path != "" {
		file := operators.NewFile(path, &s.options.Operators.List, s.options.Log)
		group.Go(func() error { file.Follow(ctx); return nil })
	}
	if s.options.VMList != nil {
		group.Go(func() error { return runPeriodically(ctx, s.options.VMListInterval, s.readVMList) })
	}
	err := group.Wait()
	s.closeOnce.Do(func() { close(s.closing) })
	_ = s.pool.Close()
	return err
}

// runPeriodically calls work at an interval until the context ends.
func runPeriodically(ctx context.Context, interval time.Duration, work func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			work(ctx)
		}
	}
}

// Load returns the number of watch streams and of pending proposals.
func (s *Server) Load() (watchers, pending int) { return len(s.watchers), len(s.pending) }

func (s *Server) isLeader() bool {
	id, _ := s.replicator.Leader()
	return id == s.options.MemberID
}

// notLeaderFailure redirects the caller to the leader.
func (s *Server) notLeaderFailure() *controlpb.Failure {
	_, address := s.replicator.Leader()
	f := failureMessage(failure.New(failure.NotLeader, failure.NotRun, "this member is not the leader"))
	f.LeaderAddress = address
	return f
}

// propose stamps a command with the leader's time and replicates it. It fails as overloaded at MaxPending proposals.
func (s *Server) propose(ctx context.Context, command *controlpb.Command) (proto.Message, *controlpb.Failure) {
	if !s.isLeader() {
		return nil, s.notLeaderFailure()
	}
	select {
	case s.pending <- struct{}{}:
		defer func() { <-s.pending }()
	default:
		e := failure.New(failure.Overloaded, failure.NotRun, "too many calls wait for the replicated log")
		e.RetryAfter = 200 * time.Millisecond
		return nil, failureMessage(e)
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	command.UnixMs = s.options.Clock.Now().UnixMilli()
	started := time.Now()
	result, err := s.replicator.Propose(ctx, command)
	s.proposeTime.Update(time.Since(started).Microseconds())
	if err != nil {
		gometrics.GetOrRegisterCounter("control.proposals_failed", s.options.Metrics).Inc(1)
		return nil, s.proposalFailure(err)
	}
	return result, nil
}

// proposalFailure reports the execution of a command as unknown unless the replicator rules out that it was applied.
func (s *Server) proposalFailure(err error) *controlpb.Failure {
	f := failureMessage(err)
	_, f.LeaderAddress = s.replicator.Leader()
	if f.Execution != string(failure.NotRun) {
		f.Kind = string(controlclient.ProposalLost)
		f.Execution = string(failure.Unknown)
	}
	return f
}

// unexpectedResult reports a result of an unexpected type, such as that of a command whose index was applied before.
func unexpectedResult() *controlpb.Failure {
	return failureMessage(failure.New(failure.Internal, failure.Unknown, "the command has no result"))
}
