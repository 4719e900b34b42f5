package member

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/control"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/replica"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// operatorsFile holds the SHA-256 of "token".
const operatorsFile = "dana 3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0\n"

// testMember is one member that can be restarted on the same addresses and directory.
type testMember struct {
	t         *testing.T
	id        uint64
	dir       string
	rpc       string
	status    string
	bootstrap []*raftpb.Member
	cancel    context.CancelFunc
	runErr    chan error
}

func listenOn(t *testing.T, address string) net.Listener {
	t.Helper()
	var listener net.Listener
	require.Eventually(t, func() bool {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	return listener
}

func (m *testMember) start(rpc, status net.Listener) {
	m.t.Helper()
	operators, problems := control.ReadOperators(strings.NewReader(operatorsFile))
	require.Empty(m.t, problems)
	registry := gometrics.NewRegistry()
	member, err := Open(Options{
		Replica:  replica.Options{ID: m.id, Group: "test", Address: m.rpc, Dir: m.dir, Bootstrap: m.bootstrap, SnapshotEvery: 20},
		Control:  control.Options{MemberID: m.id, Operators: operators, Metrics: registry},
		Listener: rpc, Status: status, DrainNotice: 100 * time.Millisecond, Log: zap.NewNop(), Metrics: registry,
	})
	require.NoError(m.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.runErr = cancel, make(chan error, 1)
	go func() { m.runErr <- member.Run(ctx) }()
}

func (m *testMember) stop() {
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.cancel = nil
	require.NoError(m.t, <-m.runErr)
}

func startMembers(t *testing.T, size int) []*testMember {
	var members []*testMember
	var listeners [][2]net.Listener
	var bootstrap []*raftpb.Member
	for id := uint64(1); id <= uint64(size); id++ {
		rpc, status := listenOn(t, "127.0.0.1:0"), listenOn(t, "127.0.0.1:0")
		m := &testMember{t: t, id: id, dir: t.TempDir(), rpc: rpc.Addr().String(), status: status.Addr().String()}
		bootstrap = append(bootstrap, &raftpb.Member{Id: id, Address: m.rpc})
		members = append(members, m)
		listeners = append(listeners, [2]net.Listener{rpc, status})
	}
	for i, m := range members {
		m.bootstrap = bootstrap
		m.start(listeners[i][0], listeners[i][1])
		t.Cleanup(m.stop)
	}
	return members
}

func (m *testMember) get(path string) (int, string) {
	response, err := http.Get("http://" + m.status + path)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func publish(client *controlclient.Client, id string, expect uint64) (*controlpb.PublishResponse, error) {
	return client.Publish(context.Background(), &controlpb.PublishRequest{
		Operator: &controlpb.Operator{Name: "dana", Token: "token"}, OperationId: id, ExpectVersion: expect,
		Document: fmt.Appendf(nil, "zones: [{name: z%d, region: r}]", expect),
	})
}

// Guards against a change that is lost or applied twice when the leader stops, when a member restarts from its snapshot
// and log, or when a request is resent to the new leader; and against a member that is ready without a quorum.
func TestMembersOverTheRealReplica(t *testing.T) {
	members := startMembers(t, 3)
	addresses := []string{members[0].rpc, members[1].rpc, members[2].rpc}
	client := controlclient.NewClient(controlclient.ClientOptions{Addresses: addresses, Timeout: 20 * time.Second, MaxAttempts: 1000})
	defer func() { _ = client.Close() }()
	var first *controlpb.PublishResponse
	for v := uint64(0); v < 50; v++ {
		response, err := publish(client, fmt.Sprintf("op%d", v), v)
		require.NoError(t, err)
		require.Equal(t, v+1, response.Version)
		if v == 0 {
			first = response
		}
	}
	leader := leaderOf(t, client, members)
	leader.stop()
	resent, err := publish(client, "op0", 0)
	require.NoError(t, err)
	require.Equal(t, first.Version, resent.Version, "a resend after a leader change returns the first outcome")
	response, err := publish(client, "op50", 50)
	require.NoError(t, err)
	require.Equal(t, uint64(51), response.Version)

	leader.start(listenOn(t, leader.rpc), listenOn(t, leader.status))
	require.Eventually(t, func() bool {
		status, err := client.StatusOf(context.Background(), leader.rpc, true)
		return err == nil && status.SetVersion == 51
	}, 10*time.Second, 20*time.Millisecond, "the restarted member catches up")
	require.Eventually(t, func() bool { code, _ := leader.get("/readyz"); return code == http.StatusOK }, 10*time.Second, 20*time.Millisecond)
	_, text := leader.get("/metrics")
	require.Contains(t, text, "wasabishunt_control_set_version 51")
	code, _ := leader.get("/healthz")
	require.Equal(t, http.StatusOK, code)

	for _, m := range members {
		if m != leader {
			m.stop()
		}
	}
	require.Eventually(t, func() bool { code, _ := leader.get("/readyz"); return code == http.StatusServiceUnavailable }, 10*time.Second, 20*time.Millisecond)
}

func leaderOf(t *testing.T, client *controlclient.Client, members []*testMember) *testMember {
	t.Helper()
	for _, s := range client.StatusAll(context.Background(), true) {
		if s.Err == nil && s.Status.LeaderId == s.Status.MemberId {
			return members[s.Status.MemberId-1]
		}
	}
	require.Fail(t, "no leader")
	return nil
}

func removeMember(client *controlclient.Client, operation string, id uint64) error {
	_, err := client.ChangeMembers(context.Background(), &controlpb.ChangeMembersRequest{
		Operator: &controlpb.Operator{Name: "dana", Token: "token"}, OperationId: operation, Action: "remove", Member: &raftpb.Member{Id: id},
	})
	return err
}

// Guards against a removal that succeeds for a mistyped member id, and against a resent removal that is refused because
// the member is already removed, also after a leader change.
func TestRemoveOfUnknownMemberIsRefused(t *testing.T) {
	members := startMembers(t, 3)
	addresses := []string{members[0].rpc, members[1].rpc, members[2].rpc}
	client := controlclient.NewClient(controlclient.ClientOptions{Addresses: addresses, Timeout: 20 * time.Second, MaxAttempts: 1000})
	defer func() { _ = client.Close() }()
	_, err := publish(client, "op0", 0)
	require.NoError(t, err)
	for range 2 {
		err = removeMember(client, "remove-9", 9)
		require.True(t, failure.Is(err, failure.NotFound), "%v", err)
		require.Equal(t, failure.NotRun, failure.Of(err).Execution)
	}
	leader := leaderOf(t, client, members)
	removed := members[leader.id%3]
	operation := fmt.Sprint("remove-", removed.id)
	for range 2 {
		require.NoError(t, removeMember(client, operation, removed.id))
	}
	removed.stop()
	leader.stop()
	leader.start(listenOn(t, leader.rpc), listenOn(t, leader.status))
	require.NoError(t, removeMember(client, operation, removed.id))
	// A new leader accepts member changes once it has committed an entry of its own term.
	_, err = publish(client, "op1", 1)
	require.NoError(t, err)
	err = removeMember(client, "remove-9", 9)
	require.True(t, failure.Is(err, failure.NotFound), "%v", err)
	status, err := client.StatusOf(context.Background(), leader.rpc, true)
	require.NoError(t, err)
	require.Len(t, status.Members.Members, 2)
}
