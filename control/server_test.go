package control

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/upstream/vmlist"
)

func newClient(t testing.TB, addresses []string) *controlclient.Client {
	client := controlclient.NewClient(controlclient.ClientOptions{Addresses: addresses})
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func startWatcher(t testing.TB, id string, addresses []string) (*controlclient.Watcher, context.CancelFunc) {
	return runWatcher(t, controlclient.WatcherOptions{
		Addresses: addresses, ProcessID: id, Role: "agent", Address: "127.0.1.1:7300", Serves: "u1",
	})
}

func runWatcher(t testing.TB, options controlclient.WatcherOptions) (*controlclient.Watcher, context.CancelFunc) {
	w := controlclient.NewWatcher(options)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { w.Run(ctx) })
	stop := func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	return w, stop
}

func publish(t testing.TB, client *controlclient.Client, id string, expect uint64, document []byte) (*controlpb.PublishResponse, error) {
	t.Helper()
	return client.Publish(context.Background(), &controlpb.PublishRequest{
		Operator: testOperator, OperationId: id, ExpectVersion: expect, Document: document,
	})
}

// Guards against a follower that does not redirect a write to the leader, and against a lost response after which the
// resend publishes again.
func TestPublishFindsTheLeaderAndResends(t *testing.T) {
	group, _, addresses := startGroup(t, 3, Options{})
	group.members[0].loseResponses = 2
	client := newClient(t, []string{addresses[2], addresses[1], addresses[0]})
	response, err := publish(t, client, "op1", 0, setWithAccounts(t, "a"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), response.Version)
	require.GreaterOrEqual(t, len(group.log), 3, "the proposal was resent")
	response, err = publish(t, client, "op1", 1, setWithAccounts(t, "a"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), response.Version, "a resend with the new current version")
	conflict, err := publish(t, client, "op2", 0, setWithAccounts(t, "b"))
	require.True(t, failure.Is(err, failure.VersionConflict))
	require.Equal(t, "dana", conflict.CurrentOperator)
}

// Guards against changes by a caller that is not an operator, such as a client account.
func TestOperatorsAreAuthenticated(t *testing.T) {
	_, servers, addresses := startGroup(t, 1, Options{})
	client := newClient(t, addresses)
	for _, operator := range []*controlpb.Operator{nil, {Name: "dana"}, {Name: "dana", Token: "other-token"}, {Name: "zed", Token: operatorToken}} {
		_, err := client.Publish(context.Background(), &controlpb.PublishRequest{Operator: operator, OperationId: "o", Document: setWithAccounts(t)})
		require.True(t, failure.Is(err, failure.Unauthorized))
		_, err = client.Drain(context.Background(), &controlpb.DrainRequest{Operator: operator, OperationId: "o"})
		require.True(t, failure.Is(err, failure.Unauthorized))
		_, err = client.Evacuate(context.Background(), &controlpb.EvacuateRequest{Operator: operator, OperationId: "o", AvailabilityZone: "z"})
		require.True(t, failure.Is(err, failure.Unauthorized))
		_, err = client.Audit(context.Background(), &controlpb.AuditRequest{Operator: operator})
		require.True(t, failure.Is(err, failure.Unauthorized))
	}
	withKey := fmt.Appendf(nil, `accounts: [{name: a, key_sha256: [%s]}]`, tokenHash(operatorToken))
	_, err := publish(t, client, "op1", 0, withKey)
	require.True(t, failure.Is(err, failure.InvalidSet))
	require.NotEmpty(t, failure.Of(err).Problems)
	require.Len(t, servers[0].machine.auditPage(0, 10), 1, "a refused publish is in the audit trail")
	_, version := servers[0].machine.CurrentSet()
	require.Zero(t, version)
}

// Guards against a process that starts on a lagging member with an older set than one that was already published.
func TestFirstReadIsLinearizable(t *testing.T) {
	group, _, addresses := startGroup(t, 2, Options{})
	client := newClient(t, addresses[:1])
	_, err := publish(t, client, "op1", 0, setWithAccounts(t, "a"))
	require.NoError(t, err)
	group.members[1].setLagging(true)
	_, err = publish(t, client, "op2", 1, setWithAccounts(t, "b"))
	require.NoError(t, err)
	stream, closeStream := watchStream(t, addresses[1], 0)
	defer closeStream()
	update, err := stream.Recv()
	require.NoError(t, err)
	require.Equal(t, uint64(2), update.GetSnapshot().GetVersion())
}

// Guards against hundreds of deltas for a watcher that is far behind, and against a whole set for one slightly behind.
func TestWatcherFarBehindGetsOneSnapshot(t *testing.T) {
	_, servers, addresses := startGroup(t, 1, Options{})
	for v := uint64(0); v < 501; v++ {
		servers[0].machine.Apply(v+1, publishCommand(fmt.Sprint(v), v, "dana", setWithAccounts(t, fmt.Sprint(v%7))))
	}
	far, closeFar := watchStream(t, addresses[0], 1)
	defer closeFar()
	update, err := far.Recv()
	require.NoError(t, err)
	require.Equal(t, uint64(501), update.GetSnapshot().GetVersion())
	update, err = far.Recv()
	require.NoError(t, err)
	require.NotNil(t, update.GetHeartbeat(), "nothing follows the snapshot")
	near, closeNear := watchStream(t, addresses[0], 500)
	defer closeNear()
	update, err = near.Recv()
	require.NoError(t, err)
	require.Equal(t, uint64(501), update.GetDelta().GetToVersion())
}

// Guards against a process that accepts work under a set which its member no longer confirms.
func TestUnconfirmedSetBecomesStale(t *testing.T) {
	group, _, addresses := startGroup(t, 2, Options{})
	client := newClient(t, addresses[:1])
	_, err := publish(t, client, "op1", 0, setWithAccounts(t, "a"))
	require.NoError(t, err)
	w, _ := startWatcher(t, "p", addresses[1:])
	fresh := func() bool { return w.Current().Fresh(time.Now()) }
	eventually(t, fresh, "the watcher is confirmed")
	require.NotZero(t, w.Current().Epoch)
	w.Observe(2)
	require.False(t, fresh(), "a higher version was observed")
	_, err = publish(t, client, "op2", 1, setWithAccounts(t, "b"))
	require.NoError(t, err)
	eventually(t, fresh, "the watcher has version 2")
	group.members[1].setLagging(true)
	_, err = publish(t, client, "op3", 2, setWithAccounts(t, "c"))
	require.NoError(t, err)
	eventually(t, func() bool { return w.Current().Version == 3 && fresh() }, "the watcher moves to the leader")
}

// Guards against a process that waits for its member's next heartbeat although the data path shows a newer version.
func TestObservedVersionIsFetchedAtOnce(t *testing.T) {
	group, servers, addresses := startGroup(t, 2, Options{})
	client := newClient(t, addresses[:1])
	_, err := publish(t, client, "op1", 0, setWithAccounts(t, "a"))
	require.NoError(t, err)
	w, _ := startWatcher(t, "p", addresses[1:])
	// The watcher must be connected to the follower, which is then made to lag.
	eventually(t, func() bool { return w.Current().Fresh(time.Now()) && len(servers[1].watchers) == 1 }, "the watcher is connected to the follower")
	group.members[1].setLagging(true)
	_, err = publish(t, client, "op2", 1, setWithAccounts(t, "b"))
	require.NoError(t, err)
	barriers := func() int {
		group.mu.Lock()
		defer group.mu.Unlock()
		return group.members[1].barriers
	}
	before := barriers()
	w.Observe(2)
	eventually(t, func() bool { return w.Current().Version == 2 }, "version 2")
	require.Len(t, servers[1].watchers, 1, "from the same member")
	require.Greater(t, barriers(), before, "the member has caught up, no other one was needed")
}

// Guards against unresponsive processes that stay live, and against a leaving VM that an outdated list makes live
// again.
func TestSilenceAndVMList(t *testing.T) {
	list := &fakeList{vms: []vmlist.VM{{VM: "vm1", Address: "127.0.1.1", State: vmlist.Leaving, Version: 3}}}
	_, servers, addresses := startGroup(t, 2, Options{VMListInterval: 10 * time.Millisecond, MonitorInterval: 10 * time.Millisecond})
	w, stop := startWatcher(t, "p", addresses)
	state := func() string {
		for _, p := range servers[0].machine.processes() {
			return p.State
		}
		return ""
	}
	eventually(t, func() bool { return state() == "live" }, "registered")
	stop()
	began := time.Now()
	eventually(t, func() bool { return state() == "dead" }, "dead after it stopped reporting")
	require.GreaterOrEqual(t, time.Since(began), time.Second, "not declared dead too early")
	servers[0].options.VMList = list
	servers[0].readVMList(context.Background())
	require.Equal(t, "leaving", state())
	list.vms[0].State, list.vms[0].Version = vmlist.Live, 2
	servers[0].readVMList(context.Background())
	require.Equal(t, "leaving", state())
	require.False(t, w.Fenced())
}

type fakeList struct{ vms []vmlist.VM }

func (l *fakeList) Read(context.Context) ([]vmlist.VM, error) { return l.vms, nil }

// Guards against an unlimited number of pending bookings, and against keys from the future that retention cannot drop.
func TestBookingLimits(t *testing.T) {
	_, servers, addresses := startGroup(t, 1, Options{MaxPending: 1})
	client := newClient(t, addresses)
	request := &controlpb.ClaimBookingRequest{
		Key: &controlpb.BookingKey{Account: "a", IdempotencyKey: "k"}, ClaimId: "c", IssuedUnixMs: time.Now().Add(time.Hour).UnixMilli(),
	}
	_, err := client.ClaimBooking(context.Background(), request)
	require.True(t, failure.Is(err, failure.InvalidRequest))
	request.IssuedUnixMs = time.Now().UnixMilli()
	servers[0].pending <- struct{}{}
	_, err = client.ClaimBooking(context.Background(), request)
	require.True(t, failure.Is(err, failure.Overloaded))
	require.Equal(t, failure.NotRun, failure.Of(err).Execution)
	<-servers[0].pending
	response, err := client.ClaimBooking(context.Background(), request)
	require.NoError(t, err)
	require.True(t, response.Granted)
	old := &controlpb.ClaimBookingRequest{
		Key: &controlpb.BookingKey{Account: "a", IdempotencyKey: "old"}, ClaimId: "c", IssuedUnixMs: time.Now().Add(-25 * time.Hour).UnixMilli(),
	}
	_, err = client.ClaimBooking(context.Background(), old)
	require.True(t, failure.Is(err, failure.KeyTooOld), "before the first periodic retirement")
	servers[0].options.BookingRetention = -time.Hour
	servers[0].retire(context.Background())
	request.ClaimId = "c2"
	_, err = client.ClaimBooking(context.Background(), request)
	require.True(t, failure.Is(err, failure.KeyTooOld))
}

// Guards against a claim whose outcome is reported as not run although it may have entered the log.
func TestLostAnswersAreUnknown(t *testing.T) {
	group, _, addresses := startGroup(t, 1, Options{})
	group.members[0].loseResponses = 1 << 30
	client := controlclient.NewClient(controlclient.ClientOptions{Addresses: addresses, Timeout: 200 * time.Millisecond})
	defer func() { _ = client.Close() }()
	_, err := client.ReleaseBooking(context.Background(), &controlpb.ReleaseBookingRequest{
		Key: &controlpb.BookingKey{Account: "a", IdempotencyKey: "k"}, ClaimEpoch: 1,
	})
	require.Equal(t, failure.Unknown, failure.Of(err).Execution)
	unreachable := controlclient.NewClient(controlclient.ClientOptions{Addresses: []string{"127.0.0.1:1"}, Timeout: 200 * time.Millisecond})
	defer func() { _ = unreachable.Close() }()
	_, err = unreachable.ReleaseBooking(context.Background(), &controlpb.ReleaseBookingRequest{})
	require.Equal(t, failure.NotRun, failure.Of(err).Execution)
}

// Guards against a member that reads the operators file only at its start.
func TestOperatorsFileIsFollowed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operators")
	require.NoError(t, os.WriteFile(path, []byte("dana "+tokenHash("next-token")+"\n"), 0o600))
	_, _, addresses := startGroup(t, 1, Options{OperatorsFile: path})
	client := newClient(t, addresses)
	audit := func(token string) error {
		_, err := client.Audit(t.Context(), &controlpb.AuditRequest{Operator: &controlpb.Operator{Name: "dana", Token: token}})
		return err
	}
	eventually(t, func() bool { return audit("next-token") == nil }, "the new token is accepted")
	require.True(t, failure.Is(audit(operatorToken), failure.Unauthorized), "the old token is refused")
}
