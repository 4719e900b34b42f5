package replica

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"net"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/launch"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// register is a state machine with one number. A command sets it; the result is the previous number.
type register struct {
	mu      sync.Mutex
	value   uint64
	applied uint64
	// unblock, if set, blocks Apply until it is closed.
	unblock chan struct{}
}

func (r *register) Apply(index uint64, command []byte) proto.Message {
	if r.unblock != nil {
		<-r.unblock
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.value
	r.value = binary.LittleEndian.Uint64(command)
	r.applied = index
	return wrapperspb.UInt64(previous)
}

func (r *register) Snapshot() func() ([]byte, error) {
	value := r.get()
	return func() ([]byte, error) { return binary.LittleEndian.AppendUint64(nil, value), nil }
}

func (r *register) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = binary.LittleEndian.Uint64(data)
	return nil
}

func (r *register) get() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}

func set(value uint64) []byte { return binary.LittleEndian.AppendUint64(nil, value) }

// process is one member with its drpc server.
type process struct {
	*Replica
	machine *register
	stop    func()
}

// group runs members on loopback. Links can be cut: a cut link stays open but discards all data, as in a network
// partition without resets.
type group struct {
	addresses *launch.Addresses
	t         testing.TB
	dir       string
	first     []*raftpb.Member
	members   map[uint64]*process
	tune      func(*Options)
	// logger writes to logs, which a failed test prints.
	logger *zap.Logger
	logs   bytes.Buffer

	mu sync.Mutex
	// cut holds the cut links, each as the ids of its sender and its receiver.
	cut map[[2]uint64]bool
	// ids maps addresses to member ids.
	ids map[string]uint64
}

func newGroup(t testing.TB, size int, tune func(*Options)) *group {
	addresses, err := launch.ReserveAddresses()
	require.NoError(t, err)
	t.Cleanup(addresses.Release)
	g := &group{t: t, addresses: addresses, dir: t.TempDir(), members: map[uint64]*process{}, tune: tune, cut: map[[2]uint64]bool{}, ids: map[string]uint64{}}
	g.logger = zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig()), zapcore.Lock(zapcore.AddSync(&g.logs)), zapcore.DebugLevel))
	for id := uint64(1); id <= uint64(size); id++ {
		g.first = append(g.first, g.member(id))
	}
	for _, m := range g.first {
		g.start(m, g.first)
	}
	t.Cleanup(func() {
		for _, p := range g.members {
			p.stop()
		}
		if t.Failed() {
			t.Logf("log of the members:\n%s", g.logs.String())
		}
	})
	return g
}

// memberPort is below the kernel's range of ephemeral ports. A port of that range, reserved by a listener that is closed
// again, can be assigned to an outgoing connection before the member listens on it.
const memberPort = 7100

// member returns a new member with a unique address.
func (g *group) member(id uint64) *raftpb.Member {
	address := net.JoinHostPort(g.addresses.IP(1, int(id)), strconv.Itoa(memberPort))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ids[address] = id
	return &raftpb.Member{Id: id, Address: address}
}

func (g *group) start(m *raftpb.Member, bootstrap []*raftpb.Member) *process {
	machine := &register{}
	options := Options{
		ID: m.GetId(), Group: "test", Address: m.GetAddress(), Dir: filepath.Join(g.dir, fmt.Sprint(m.GetId())),
		StateMachine: machine, Bootstrap: bootstrap, Dial: g.dialFrom(m.GetId()), Logger: g.logger,
	}
	if g.tune != nil {
		g.tune(&options)
	}
	r, err := Start(options)
	require.NoError(g.t, err)
	p := &process{Replica: r, machine: machine}
	p.stop = g.serve(r, m.GetAddress())
	g.members[m.GetId()] = p
	return p
}

// serve runs the member's drpc server and returns a function that stops both once.
func (g *group) serve(r *Replica, address string) func() {
	listener, err := net.Listen("tcp", address)
	require.NoError(g.t, err)
	mux := drpcmux.New()
	require.NoError(g.t, r.Register(mux))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = drpcserver.New(mux).Serve(ctx, listener)
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			r.Stop()
			cancel()
			<-served
		})
	}
}

func (g *group) dialFrom(from uint64) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		return &faultyLink{Conn: conn, group: g, ends: [2]uint64{from, g.ids[address]}}, nil
	}
}

// faultyLink discards all data from the first write during a cut on. It stays dead after the cut, because a stream with a
// gap cannot be used again.
type faultyLink struct {
	net.Conn
	group *group
	ends  [2]uint64
	dead  bool
}

func (l *faultyLink) Write(data []byte) (int, error) {
	l.group.mu.Lock()
	l.dead = l.dead || l.group.cut[l.ends]
	dead := l.dead
	l.group.mu.Unlock()
	if dead {
		return len(data), nil
	}
	return l.Conn.Write(data)
}

// isolate cuts all links of a member in both directions; heal restores all links.
func (g *group) isolate(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.ids {
		if other != id {
			g.cut[[2]uint64{id, other}] = true
			g.cut[[2]uint64{other, id}] = true
		}
	}
}

// reconnect restores the links of a member.
func (g *group) reconnect(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.cut, func(ends [2]uint64, _ bool) bool { return ends[0] == id || ends[1] == id })
}

func (g *group) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.cut)
}

// kill stops a member without a leadership transfer, like the loss of its VM.
func (g *group) kill(id uint64) {
	p := g.members[id]
	p.report(event{failed: failure.New(failure.Internal, failure.Unknown, "killed by the test")})
	p.stop()
	delete(g.members, id)
}

// write proposes a value on all members in turn until one accepts it, and returns that member. A member whose disk hangs answers nothing, so each of
// them has a part of the time only.
func (g *group) write(value uint64, limit time.Duration) *process {
	var accepted *process
	require.Eventually(g.t, func() bool {
		for _, p := range g.members {
			ctx, cancel := context.WithTimeout(context.Background(), limit/4)
			_, err := p.Propose(ctx, set(value))
			cancel()
			if err == nil {
				accepted = p
				return true
			}
		}
		return false
	}, limit, 5*time.Millisecond, "no write is accepted")
	return accepted
}

func (g *group) read(p *process) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(g.t, p.ReadBarrier(ctx))
	return p.machine.get()
}

// change retries a membership change until it is accepted.
func (g *group) change(kind raft.ChangeKind, m *raftpb.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.Eventually(g.t, func() bool {
		for _, p := range g.members {
			if _, err := p.ChangeMembers(ctx, raft.Change{Kind: kind, Member: m}); err == nil {
				return true
			}
		}
		return false
	}, 10*time.Second, 10*time.Millisecond, "%s of member %d is not accepted", kind, m.GetId())
}
