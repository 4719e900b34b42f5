package controlclient

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/clocktest"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stubControl sends one set and responds to presence reports with the result of a function.
type stubControl struct {
	controlpb.DRPCControlUnimplementedServer
	presence func() *controlpb.PresenceResponse
}

func (s *stubControl) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	return &controlpb.StatusResponse{}, nil
}

func (s *stubControl) ReportPresence(context.Context, *controlpb.PresenceRequest) (*controlpb.PresenceResponse, error) {
	return s.presence(), nil
}

func (s *stubControl) WatchSet(_ *controlpb.WatchSetRequest, stream controlpb.DRPCControl_WatchSetStream) error {
	// The document is sent in two parts, like a large one.
	for _, part := range []*controlpb.SetSnapshot{
		{Version: 3, Document: []byte(`{"zones":[{"name":"z",`), More: true},
		{Version: 3, Document: []byte(`"region":"r"}]}`)},
	} {
		if err := stream.Send(&controlpb.SetUpdate{Update: &controlpb.SetUpdate_Snapshot{Snapshot: part}}); err != nil {
			return err
		}
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}

func serveControl(t *testing.T, server controlpb.DRPCControlServer) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, controlpb.DRPCRegisterControl(mux, server))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = drpcserver.New(mux).Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return listener.Addr().String()
}

func runWatcher(t *testing.T, options WatcherOptions) *Watcher {
	w := NewWatcher(options)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return w
}

// Guards against a paused process that reads an old response after it resumes and considers its set fresh.
func TestLateAnswerDoesNotLookFresh(t *testing.T) {
	requested, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	stub := &stubControl{presence: func() *controlpb.PresenceResponse {
		once.Do(func() { close(requested) })
		<-release
		return &controlpb.PresenceResponse{Epoch: 7, SetVersion: 3, Fresh: true}
	}}
	respondAll := sync.OnceFunc(func() { close(release) })
	defer respondAll()
	clock := clocktest.NewManual(time.Unix(1000, 0))
	w := runWatcher(t, WatcherOptions{
		Addresses: []string{serveControl(t, stub)}, ProcessID: "p", Clock: clock, CallTimeout: time.Minute, PresenceInterval: time.Hour,
	})
	<-requested
	require.Eventually(t, func() bool { return w.Current().Version == 3 }, 5*time.Second, time.Millisecond)
	clock.Advance(4 * time.Second)
	// The response to the first report wakes the waiters because it has a new epoch. The second report was triggered by
	// the set.
	changed := w.Changed()
	release <- struct{}{}
	<-changed
	require.Equal(t, uint64(7), w.Current().Epoch)
	require.False(t, w.Current().Fresh(clock.Now()), "the confirmation is 4 s old")
	respondAll()
	require.Eventually(t, func() bool { return w.Current().Fresh(clock.Now()) }, 5*time.Second, time.Millisecond)
}

// Guards against accepting a confirmation of a version that the process does not have yet.
func TestConfirmationOfANewerVersionDoesNotCount(t *testing.T) {
	w := NewWatcher(WatcherOptions{Addresses: []string{"127.0.0.1:1"}, ProcessID: "p"})
	defer func() { _ = w.client.Close() }()
	now := time.Now()
	require.Equal(t, newerSet, w.confirm(now, &controlpb.PresenceResponse{SetVersion: 1, Fresh: true}))
	require.Equal(t, notConfirmed, w.confirm(now, &controlpb.PresenceResponse{SetVersion: 0, Fresh: false}))
	require.Equal(t, setConfirmed, w.confirm(now, &controlpb.PresenceResponse{SetVersion: 0, Fresh: true}))
}

// Guards against an older membership table from a lagging member that replaces a newer one, and against removed
// processes that stay in the table.
func TestMembershipNeverGoesBack(t *testing.T) {
	w := NewWatcher(WatcherOptions{Addresses: []string{"127.0.0.1:1"}, ProcessID: "p"})
	defer func() { _ = w.client.Close() }()
	a, b := &controlpb.ProcessState{ProcessId: "a", State: "leaving"}, &controlpb.ProcessState{ProcessId: "b", State: "live"}
	w.applyMembership(&controlpb.MembershipUpdate{Revision: 5, Full: true, Processes: []*controlpb.ProcessState{a, b}})
	w.applyMembership(&controlpb.MembershipUpdate{Revision: 4, Full: true, Processes: []*controlpb.ProcessState{{ProcessId: "a", State: "live"}}})
	require.Equal(t, Leaving, w.Current().Processes["a"].State)
	w.applyMembership(&controlpb.MembershipUpdate{Revision: 6, Processes: []*controlpb.ProcessState{{ProcessId: "b", State: removedState}}})
	require.Len(t, w.Current().Processes, 1)
}

// Guards against an evacuation that ends because a member of an earlier release, or one that is behind, sends an update without it.
func TestEvacuationsNeverGoBack(t *testing.T) {
	w := NewWatcher(WatcherOptions{ProcessID: "p"})
	changed := w.Changed()
	w.applyMembership(&controlpb.MembershipUpdate{Revision: 5, EvacuationsRevision: 5, EvacuatedZones: []string{"z1"}})
	<-changed
	require.True(t, w.Current().Evacuations.Contains("z1"))
	w.applyMembership(&controlpb.MembershipUpdate{Revision: 6})
	w.applyMembership(&controlpb.MembershipUpdate{Revision: 4, EvacuationsRevision: 3, Full: true})
	require.True(t, w.Current().Evacuations.Contains("z1"))
	w.applyMembership(&controlpb.MembershipUpdate{Revision: 7, EvacuationsRevision: 7, EvacuatedZones: []string{"z2"}})
	require.False(t, w.Current().Evacuations.Contains("z1"))
	require.True(t, w.Current().Evacuations.Contains("z2"))
}

// Guards against a delta that is applied to another version than its base.
func TestDeltaWithAGapIsRefused(t *testing.T) {
	stub := &stubControl{presence: func() *controlpb.PresenceResponse { return &controlpb.PresenceResponse{SetVersion: 3, Fresh: true} }}
	w := runWatcher(t, WatcherOptions{Addresses: []string{serveControl(t, stub)}, ProcessID: "p"})
	require.Eventually(t, func() bool { return w.Current().Fresh(time.Now()) }, 5*time.Second, time.Millisecond)
	require.Error(t, w.applyDelta(&controlpb.SetDelta{FromVersion: 4, ToVersion: 5}))
	require.NoError(t, w.applyDelta(&controlpb.SetDelta{FromVersion: 1, ToVersion: 2}))
	require.Equal(t, uint64(3), w.Current().Version)
	require.NoError(t, w.applyDelta(&controlpb.SetDelta{FromVersion: 3, ToVersion: 4}))
	require.Equal(t, uint64(4), w.Current().Version)
}

// Guards against a fenced process that still accepts requests or reports presence.
func TestFencedProcessStops(t *testing.T) {
	stub := &stubControl{presence: func() *controlpb.PresenceResponse {
		return &controlpb.PresenceResponse{Failure: &controlpb.Failure{Kind: "fenced", Execution: "not_run"}}
	}}
	w := NewWatcher(WatcherOptions{Addresses: []string{serveControl(t, stub)}, ProcessID: "p"})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	w.Run(ctx)
	require.NoError(t, ctx.Err(), "Run ends by itself")
	require.True(t, w.Fenced())
	require.False(t, w.Current().Fresh(time.Now()))
}

// Guards against an execution of not_run for a call whose connection broke after it was sent.
func TestBrokenCallIsUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	})
	defer running.Wait()
	defer func() { _ = listener.Close() }()
	client := NewClient(ClientOptions{Addresses: []string{listener.Addr().String()}, Timeout: 300 * time.Millisecond})
	defer func() { _ = client.Close() }()
	_, err = client.ClaimBooking(context.Background(), &controlpb.ClaimBookingRequest{})
	require.Equal(t, failure.Unknown, failure.Of(err).Execution)
	require.True(t, failure.Is(err, failure.OutcomeUnknown))
}
