package controlclient

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/launch"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// fakeMember is a control member whose set and whose responses to presence reports the test chooses.
type fakeMember struct {
	controlpb.DRPCControlUnimplementedServer
	address string
	relay   *launch.Relay

	mu      sync.Mutex
	version uint64
	changed chan struct{}
	// refusals is the number of presence reports that are refused before the others are accepted; refusedAt is the time of the last refusal.
	refusals  int
	refusedAt time.Time
	// unsure makes the member answer that it is not sure to be current.
	unsure  bool
	reports int
	// open is the number of open watch streams.
	open int
	// members is the membership in Status responses.
	members *controlpb.StatusResponse
	// leader is the member that refusals of bookings name; empty: this member leads.
	leader string
	// publishedAs is the version in responses to Publish.
	publishedAs uint64
}

// startMembers serves members behind relays, all with the first set.
func startMembers(t *testing.T, count int) []*fakeMember {
	members := make([]*fakeMember, count)
	for i := range members {
		m := &fakeMember{version: 1, publishedAs: uint64(i + 1), changed: make(chan struct{}), members: &controlpb.StatusResponse{}}
		relay, err := launch.NewRelay("127.0.0.1:0", serveControl(t, m))
		require.NoError(t, err)
		t.Cleanup(relay.Close)
		m.address, m.relay = relay.Address(), relay
		members[i] = m
	}
	return members
}

func (m *fakeMember) publish(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = version
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *fakeMember) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members, nil
}

func (m *fakeMember) follow(leader string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leader = leader
}

// ClaimBooking grants each claim at the leader.
func (m *fakeMember) ClaimBooking(context.Context, *controlpb.ClaimBookingRequest) (*controlpb.BookingResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader != "" {
		return &controlpb.BookingResponse{Failure: &controlpb.Failure{Kind: string(failure.NotLeader), Execution: string(failure.NotRun), LeaderAddress: m.leader}}, nil
	}
	return &controlpb.BookingResponse{Granted: true}, nil
}

// Publish accepts each set.
func (m *fakeMember) Publish(context.Context, *controlpb.PublishRequest) (*controlpb.PublishResponse, error) {
	return &controlpb.PublishResponse{Version: m.publishedAs}, nil
}

func (m *fakeMember) ReportPresence(context.Context, *controlpb.PresenceRequest) (*controlpb.PresenceResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports++
	if m.refusals > 0 {
		m.refusals--
		m.refusedAt = time.Now()
		return &controlpb.PresenceResponse{Failure: &controlpb.Failure{Kind: string(failure.NoQuorum), Execution: string(failure.NotRun)}}, nil
	}
	return &controlpb.PresenceResponse{Epoch: 1, SetVersion: m.version, Fresh: !m.unsure}, nil
}

func (m *fakeMember) reported() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reports
}

func (m *fakeMember) streams() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open
}

func (m *fakeMember) countStream(by int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open += by
}

// WatchSet sends each version as a whole set, and a heartbeat every second as the server does.
func (m *fakeMember) WatchSet(q *controlpb.WatchSetRequest, stream controlpb.DRPCControl_WatchSetStream) error {
	m.countStream(1)
	defer m.countStream(-1)
	sent := q.FromVersion
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		m.mu.Lock()
		version, changed := m.version, m.changed
		m.mu.Unlock()
		update := &controlpb.SetUpdate{Update: &controlpb.SetUpdate_Heartbeat{Heartbeat: &controlpb.WatchHeartbeat{Version: version}}}
		if version > sent {
			document := fmt.Appendf(nil, `{"zones":[{"name":"z%d","region":"r"}]}`, version)
			update = &controlpb.SetUpdate{Update: &controlpb.SetUpdate_Snapshot{Snapshot: &controlpb.SetSnapshot{Version: version, Document: document}}}
			sent = version
		}
		if err := stream.Send(update); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
		case <-heartbeat.C:
		}
	}
}

// processWatching returns a process id that tries the addresses in the given order.
func processWatching(addresses ...string) string {
	for i := 0; ; i++ {
		id := fmt.Sprint("p", i)
		order := newDirectory(addresses).watchOrder(id)
		matches := true
		for j := range order {
			matches = matches && order[j] == addresses[j]
		}
		if matches {
			return id
		}
	}
}
