package control

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// TestMain guards against leaked goroutines.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeGroup replicates commands in memory: every member that is not lagging applies each command at once.
type fakeGroup struct {
	mu      sync.Mutex
	log     []*controlpb.Command
	leader  uint64
	members []*fakeMember
}

type fakeMember struct {
	group    *fakeGroup
	id       uint64
	address  string
	machine  *StateMachine
	applied  int
	lagging  bool
	barriers int
	// loseResponses is the number of proposals that are applied but reported with an unknown outcome.
	loseResponses int
	stopServing   context.CancelFunc
}

func (g *fakeGroup) catchUp(m *fakeMember) (last proto.Message) {
	for ; m.applied < len(g.log); m.applied++ {
		last = m.machine.Apply(uint64(m.applied+1), proto.Clone(g.log[m.applied]).(*controlpb.Command))
	}
	return last
}

func (m *fakeMember) Propose(_ context.Context, command *controlpb.Command) (proto.Message, error) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != m.id {
		return nil, failure.New(failure.NotLeader, failure.NotRun, "not the leader")
	}
	g.log = append(g.log, proto.Clone(command).(*controlpb.Command))
	result := g.catchUp(m)
	for _, other := range g.members {
		if !other.lagging {
			g.catchUp(other)
		}
	}
	if m.loseResponses > 0 {
		m.loseResponses--
		return nil, failure.New(failure.OutcomeUnknown, failure.Unknown, "response lost")
	}
	return result, nil
}

func (m *fakeMember) ReadBarrier(context.Context) error {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.barriers++
	m.group.catchUp(m)
	return nil
}

func (m *fakeMember) Leader() (uint64, string) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	for _, other := range m.group.members {
		if other.id == m.group.leader {
			return other.id, other.address
		}
	}
	return 0, ""
}

func (m *fakeMember) Fresh() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.applied == len(m.group.log)
}

func (m *fakeMember) StateAge() (time.Duration, bool) { return 1500 * time.Microsecond, m.Fresh() }

func (m *fakeMember) Members() *raftpb.Members {
	members := &raftpb.Members{}
	for _, other := range m.group.members {
		members.Members = append(members.Members, &raftpb.Member{Id: other.id, Address: other.address})
	}
	return members
}

func (m *fakeMember) ChangeMembers(context.Context, string, *raftpb.Member) error { return nil }

func (m *fakeMember) Progress() (uint64, uint64, uint64) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return 1, uint64(len(m.group.log)), uint64(m.applied)
}

func (m *fakeMember) setLagging(lagging bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.lagging = lagging
	if !lagging {
		m.group.catchUp(m)
	}
}

const operatorToken = "operator-token"

var testOperator = &controlpb.Operator{Name: "dana", Token: operatorToken}

func testOperators() *Operators {
	operators, _ := ReadOperators(strings.NewReader("dana " + tokenHash(operatorToken) + "\neli " + tokenHash("other-token")))
	return operators
}

// startGroup serves a group of members on loopback; the first is the leader.
func startGroup(t testing.TB, size int, options Options) (*fakeGroup, []*Server, []string) {
	t.Helper()
	group := &fakeGroup{leader: 1}
	var servers []*Server
	var addresses []string
	for id := uint64(1); id <= uint64(size); id++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		member := &fakeMember{group: group, id: id, address: listener.Addr().String(), machine: NewStateMachine()}
		group.members = append(group.members, member)
		options.MemberID, options.Operators = id, testOperators()
		server := NewServer(member.machine, member, options)
		member.stopServing = serveMember(t, server, listener)
		servers = append(servers, server)
		addresses = append(addresses, member.address)
	}
	return group, servers, addresses
}

func serveMember(t testing.TB, server *Server, listener net.Listener) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	mux := drpcmux.New()
	require.NoError(t, controlpb.DRPCRegisterControl(mux, server))
	var running sync.WaitGroup
	running.Go(func() { _ = Serve(ctx, mux, listener) })
	running.Go(func() { _ = server.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return cancel
}

func eventually(t testing.TB, condition func() bool, message string) {
	t.Helper()
	require.Eventually(t, condition, 7*time.Second, 5*time.Millisecond, message)
}

// Guards against an unlimited number of connections, and against a closed connection that still counts towards the
// limit.
func TestConnectionsAreBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	bounded := &boundedListener{Listener: listener, open: make(chan struct{}, 1)}
	defer func() { _ = bounded.Close() }()
	dial := func() net.Conn {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), time.Second)
		require.NoError(t, err)
		return conn
	}
	first := dial()
	defer func() { _ = first.Close() }()
	accepted, err := bounded.Accept()
	require.NoError(t, err)
	next := make(chan net.Conn, 1)
	go func() {
		conn, _ := bounded.Accept()
		next <- conn
	}()
	excess := dial()
	defer func() { _ = excess.Close() }()
	_, err = excess.Read(make([]byte, 1))
	require.Error(t, err, "closed at once")
	require.NoError(t, accepted.Close())
	second := dial()
	defer func() { _ = second.Close() }()
	conn := <-next
	require.NoError(t, conn.Close())
}
