// Package replica runs one member of a replicated group: it drives the consensus core of package raft with a write-ahead
// log, snapshots, a transport and a state machine.
//
// Goroutines: the loop owns the core and the log, and lends the log to a goroutine that syncs while the loop keeps contact; the
// applier owns the state machine; the saver writes snapshots; each peer has one sender. Stop waits for all of them. The
// goroutines communicate over channels, and all locks are leaf locks, so there is no lock order.
package replica

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// StateMachine is the replicated state machine. It must change only through Apply and Restore. All calls come from one
// goroutine.
type StateMachine interface {
	// Apply executes one command and returns its result. It must be deterministic.
	Apply(index uint64, command []byte) proto.Message
	// Snapshot captures the whole state after the last Apply. The returned function encodes it; it is called once, on
	// another goroutine, while further commands are applied.
	Snapshot() func() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Options of a Replica. ID, Group, Address, Dir and StateMachine must be set.
type Options struct {
	// ID is the member id, never reused: a member whose disk was lost gets a new one.
	ID uint64
	// Group is the identity of the replicated group.
	Group string
	// Address is where this member's drpc server listens, an IP address and port.
	Address string
	// Dir is the data directory of this member.
	Dir string
	// StateMachine is passed empty; Start restores it from the snapshot and the log.
	StateMachine StateMachine
	// Bootstrap is the list of the first members, ignored when the data directory holds a log. With an empty directory
	// the member participates once all other first members have answered; if the group has formed without this directory,
	// the member stops with failure.IdentityLost. With an empty directory and no Bootstrap the member joins: it waits
	// until a leader contacts it as a learner.
	Bootstrap []*raftpb.Member

	// FS is the file system; default is that of the operating system.
	FS diskfs.FS
	// OnFresh is called, by the goroutines of the member, when Fresh becomes true after the start or after it was false; nil for none. It must
	// not block.
	OnFresh func()
	// Logger receives one line per event; default is no logging.
	Logger *zap.Logger
	// Metrics is the registry of the metrics named raft.*; default is a private registry.
	Metrics gometrics.Registry
	// SourceIP is the source address of connections to other members; default: chosen by the kernel.
	SourceIP string
	// Dial opens connections to other members; default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// Tick is the interval of the core's clock; default 50 ms.
	Tick time.Duration
	// Election is the shortest election timeout; default 1 s.
	Election time.Duration
	// FirstElection replaces Election from the start of the member until it first has a leader; default Election.
	FirstElection time.Duration
	// DialTimeout limits the time to open a connection to another member; default 1 s.
	DialTimeout time.Duration
	// SnapshotEvery is the number of applied entries between snapshots; default 10,000.
	SnapshotEvery uint64
	// SnapshotBytes is the number of bytes of commands between snapshots, or twice the size of the last snapshot if that is more; default
	// 64 MiB. Whichever of SnapshotEvery and SnapshotBytes is reached first counts.
	SnapshotBytes int64
	// TrailingEntries is the number of entries before a snapshot that stay in memory for slow members; default 5,000.
	TrailingEntries uint64
	// TrailingBytes limits the bytes of these entries; default 16 MiB.
	TrailingBytes int64
	// MaxLogBytes is the size of the log on disk from which commands are refused, so that votes and a snapshot still have room; default no
	// limit.
	MaxLogBytes int64
	// SegmentBytes is the size of a log segment; default 64 MiB.
	SegmentBytes int64
	// MaxCommandBytes limits one command; default 3 MiB, below the 4 MiB of a drpc message.
	MaxCommandBytes int
	// MaxSnapshotBytes limits a received snapshot; default 1 GiB.
	MaxSnapshotBytes int
	// QueueLength limits the queues of proposals, of reads and of messages per peer, each; default 1,024.
	QueueLength int
	// MaxUnapplied limits the committed entries that are not applied yet; beyond it commands are refused; default 20,000.
	MaxUnapplied uint64
	// WriteDeadline limits one write to a peer; default 2 s.
	WriteDeadline time.Duration
	// AckTimeout is how long messages may stay unacknowledged before the connection is replaced; default 3 s.
	AckTimeout time.Duration
	// StopTimeout limits two steps of Stop, each: finishing the commands in progress and transferring leadership;
	// default 2 s.
	StopTimeout time.Duration
	// Seed of random election timeouts; default is taken from the clock.
	Seed uint64
}

func (o *Options) setDefaults() {
	defaults.Set[diskfs.FS](&o.FS, diskfs.OS{})
	defaults.Set(&o.Logger, zap.NewNop())
	defaults.Set(&o.Metrics, gometrics.NewRegistry())
	defaults.Set(&o.Tick, 50*time.Millisecond)
	defaults.Set(&o.Election, time.Second)
	defaults.Set(&o.FirstElection, o.Election)
	defaults.Set(&o.DialTimeout, time.Second)
	defaults.Set(&o.SnapshotEvery, 10_000)
	defaults.Set(&o.SnapshotBytes, 64<<20)
	defaults.Set(&o.TrailingEntries, 5_000)
	defaults.Set(&o.TrailingBytes, 16<<20)
	defaults.Set(&o.MaxCommandBytes, 3<<20)
	defaults.Set(&o.MaxSnapshotBytes, 1<<30)
	defaults.Set(&o.QueueLength, 1024)
	defaults.Set(&o.MaxUnapplied, 20_000)
	defaults.Set(&o.WriteDeadline, 2*time.Second)
	defaults.Set(&o.AckTimeout, 3*time.Second)
	defaults.Set(&o.StopTimeout, 2*time.Second)
	defaults.Set(&o.Seed, uint64(time.Now().UnixNano()))
	if o.Dial == nil {
		dialer := net.Dialer{Timeout: o.DialTimeout, KeepAlive: 5 * time.Second}
		if o.SourceIP != "" {
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(o.SourceIP)}
		}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
}

func (o *Options) validate() error {
	if o.ID == 0 || o.Group == "" || o.Address == "" || o.Dir == "" || o.StateMachine == nil {
		return failure.New(failure.InvalidRequest, failure.NotRun, "id, group, address, directory and state machine must be set")
	}
	return nil
}

// Replica is a running member.
type Replica struct {
	options   Options
	log       *zap.Logger
	metrics   meters
	started   time.Time
	node      *raft.Node
	storage   *storage
	transport *transport
	formation *formation

	inbox     chan inbound
	events    chan event
	proposals chan *proposal
	reads     chan *readRequest
	applyJobs chan applyJob
	saveJobs  chan saveJob
	stopping  chan struct{}
	stopOnce  sync.Once
	// done is closed after the loop has ended.
	done       chan struct{}
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	status atomic.Pointer[raft.Status]
	// publishedAt is when status was last stored, as returned by now.
	publishedAt atomic.Int64
	freshUntil  atomic.Int64
	freshAt     atomic.Int64
	failed      atomic.Pointer[failure.Error]
	// snapshotBytes is the size of the newest snapshot.
	snapshotBytes atomic.Int64
	// snapshotRetryAt is when a snapshot that could not be saved is taken again, as returned by now; 0 if the last one was saved.
	snapshotRetryAt atomic.Int64
	// snapshotFailed is set if the last snapshot could not be saved, also while the next attempt runs.
	snapshotFailed atomic.Bool
	waitsForRoom   atomic.Bool
	// saving is set while a snapshot is written.
	saving atomic.Bool
	// receiving is held while a snapshot is received.
	receiving sync.Mutex

	// The fields below are used by the loop only.

	// forming is set until a first member with an empty directory may participate.
	forming bool
	// pending maps log indexes to the proposals in the log.
	pending map[uint64]*proposal
	// unsavedBytes is the size of the commands that the core has taken and the log does not hold yet.
	unsavedBytes int64
	// savedIndex is the index of the newest saved snapshot.
	savedIndex uint64
	// freedIndex is the index of the newest snapshot after which everything superfluous was removed.
	freedIndex   uint64
	room         room
	commandSizes commandSizes
	// refusedBytes is the size of the last command that was refused for lack of room, 0 since there is room for it or another member leads.
	refusedBytes int64
	// tooLongSince is when the log became too long or a command was refused for lack of room, zero if neither is so.
	tooLongSince time.Time
	// handedOverAt is when leadership was last transferred for lack of room.
	handedOverAt time.Time
	// rounds maps the contexts of ReadIndex calls to the read rounds that are not confirmed yet.
	rounds map[uint64]*readRound
	// lastRound is the context of the last started round.
	lastRound uint64
	// confirmed holds the read rounds that wait until their index is applied.
	confirmed []*readRound
	// applying counts the jobs that the applier has not finished.
	applying int
	// received maps indexes to the data of received snapshots.
	received map[uint64][]byte
	// held are the messages that wait for the end of a sync.
	held       []inbound
	lastLeader uint64
	lastTerm   uint64
	drain      drainState
}

// Start opens the data directory and starts the member. The other members can reach it after Register.
func Start(options Options) (*Replica, error) {
	options.setDefaults()
	if err := options.validate(); err != nil {
		return nil, err
	}
	r := newReplica(options)
	storage, loaded, err := openStorage(options)
	if err != nil {
		return nil, err
	}
	r.storage, r.formation, r.forming = storage, loaded.formation, loaded.forming
	if err := r.restore(loaded); err != nil {
		_ = storage.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.transport = newTransport(ctx, r)
	r.node.Tick(r.now())
	r.publish()
	applier := newApplier(r, loaded.state.Snapshot)
	logBytes := r.logBytes()
	r.goroutines.Go(applier.run)
	r.goroutines.Go(func() { r.saveSnapshots(ctx) })
	r.goroutines.Go(func() { r.run(ctx) })
	r.log.Info("raft member started", zap.Uint64("last_index", r.Status().LastIndex), zap.Bool("may_vote", r.Status().MayVote),
		zap.Int64("cut_bytes", loaded.truncatedBytes), logBytes, r.lastSnapshotBytes(), r.diskSpace())
	return r, nil
}

func newReplica(o Options) *Replica {
	return &Replica{
		options: o, log: o.Logger.With(zap.Uint64("member", o.ID)), metrics: newMeters(o.Metrics), started: time.Now(),
		inbox: make(chan inbound, 4*o.QueueLength), events: make(chan event, o.QueueLength),
		proposals: make(chan *proposal, o.QueueLength), reads: make(chan *readRequest, o.QueueLength),
		applyJobs: make(chan applyJob, 1), saveJobs: make(chan saveJob, 1),
		stopping: make(chan struct{}), done: make(chan struct{}),
		pending: map[uint64]*proposal{}, rounds: map[uint64]*readRound{}, received: map[uint64][]byte{},
		lastRound: uint64(time.Now().UnixNano()),
	}
}

// restore loads the newest snapshot into the state machine and creates the core.
func (r *Replica) restore(loaded loadedState) error {
	if loaded.snapshot != nil {
		if err := r.options.StateMachine.Restore(loaded.snapshot.Data); err != nil {
			return failure.Wrap(err, failure.StorageFailed, failure.NotRun, "restore snapshot %d", loaded.snapshot.Meta.GetIndex())
		}
		r.snapshotBytes.Store(int64(len(loaded.snapshot.Data)))
		r.savedIndex = loaded.snapshot.Meta.GetIndex()
	}
	for _, e := range loaded.state.Entries {
		r.commandSizes.add(int64(len(e.GetData())))
	}
	node, err := raft.New(r.coreConfig(), loaded.state)
	r.node = node
	return err
}

// logBytes returns a log field with the size of the log. It is for the loop.
func (r *Replica) logBytes() zap.Field { return zap.Int64("log_bytes", r.storage.wal.Bytes()) }

func (r *Replica) lastSnapshotBytes() zap.Field {
	return zap.Int64("snapshot_bytes", r.snapshotBytes.Load())
}

// diskSpace returns log fields with the size of the file system, which may differ from the one that the settings name; -1 if it is unknown.
func (r *Replica) diskSpace() zap.Field {
	space, known := diskfs.SpaceOf(r.options.FS, r.options.Dir)
	if !known {
		space = diskfs.Space{Total: -1, Free: -1}
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddInt64("filesystem_bytes", space.Total)
		e.AddInt64("filesystem_free_bytes", space.Free)
		return nil
	}))
}

// errno returns a log field with the number of the system call error. It stands before the error, whose text begins with a long path.
func errno(err error) zap.Field { return zap.Int("errno", int(diskfs.Errno(err))) }

func (r *Replica) coreConfig() raft.Config {
	return raft.Config{ID: r.options.ID, Group: r.options.Group, Election: r.options.Election, FirstElection: r.options.FirstElection, Seed: r.options.Seed}
}

// now returns a monotonic time that does not repeat after a restart, as raft.Node.Tick requires.
func (r *Replica) now() time.Duration {
	return time.Duration(r.started.UnixNano()) + time.Since(r.started)
}

// Register adds the raft service to a drpc server's mux.
func (r *Replica) Register(mux drpc.Mux) error {
	if err := raftpb.DRPCRegisterFormation(mux, &formationServer{replica: r}); err != nil {
		return err
	}
	return raftpb.DRPCRegisterRaft(mux, r.Server())
}

// Server returns the handler of the raft calls of other members. It is for a process that starts a new Replica after a
// failure but can register the service only once.
func (r *Replica) Server() raftpb.DRPCRaftServer { return &server{replica: r} }

// Status returns the member's state after the last step of the loop.
func (r *Replica) Status() raft.Status { return *r.status.Load() }

// Leader returns the id and address of the current leader, or 0 and an empty address if it is unknown. A member whose loop waits for its disk
// hears nothing of a new leader. It forgets the last one after the longest election timeout, like a member without contact.
func (r *Replica) Leader() (id uint64, address string) {
	s := r.status.Load()
	if r.WaitsForRoom() || r.now()-time.Duration(r.publishedAt.Load()) > 2*r.options.Election {
		return 0, ""
	}
	for _, m := range s.Members.GetMembers() {
		if m.GetId() == s.Leader {
			return s.Leader, m.GetAddress()
		}
	}
	return 0, ""
}

// Fresh reports whether the applied state holds everything committed up to 1 s ago, see design section 2.3.
func (r *Replica) Fresh() bool {
	select {
	case <-r.done:
		return false
	default:
		return !r.WaitsForRoom() && int64(r.now()) < r.freshUntil.Load()
	}
}

// StateAge returns how long ago the applied state was known to hold everything committed, and false if it never was since the start.
func (r *Replica) StateAge() (age time.Duration, known bool) {
	at := r.freshAt.Load()
	return max(0, r.now()-time.Duration(at)), at != 0
}

// Members returns the current member list.
func (r *Replica) Members() []*raftpb.Member { return r.status.Load().Members.GetMembers() }

// Done returns a channel that is closed when the member has stopped, also after a failure; see Err.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the failure that stopped the member, nil if there was none.
func (r *Replica) Err() error {
	if e := r.failed.Load(); e != nil {
		return e
	}
	return nil
}

// TransferLeadership starts a leadership transfer to another voter if this member leads. The member continues as a
// follower.
func (r *Replica) TransferLeadership() { r.report(event{transferLeadership: true}) }

// Stop finishes the commands in progress, transfers leadership to another voter, and ends all goroutines. Each of the
// first two steps is limited by Options.StopTimeout.
func (r *Replica) Stop() {
	r.stopOnce.Do(func() { close(r.stopping) })
	<-r.done
	r.goroutines.Wait()
}
