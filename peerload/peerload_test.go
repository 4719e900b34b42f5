package peerload

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/quarantine"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// saves records what other nodes saved.
type saves struct {
	mu                sync.Mutex
	pending, recorded []uint64
}

func (s *saves) DrainSaves() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	drained := s.pending
	s.pending = nil
	return drained
}

func (s *saves) RecordSaves(parts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded = append(s.recorded, parts...)
}

// Guards against nodes that do not receive each other's load, and against a malformed datagram that ends the
// exchange.
func TestNodesTellEachOtherTheirLoad(t *testing.T) {
	t.Run("one zone", func(t *testing.T) { testExchange(t, "z0", "z0") })
	t.Run("two zones", func(t *testing.T) { testExchange(t, "z0", "z1") })
}

func testExchange(t *testing.T, zones ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	type node struct {
		exchange *Exchange
		conn     *net.UDPConn
		done     chan struct{}
	}
	var nodes []*node
	for _, zone := range zones {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		self := Peer{Address: conn.LocalAddr().String(), AvailabilityZone: zone}
		exchange := New(Options{Node: self.Address, Self: self, Tracker: placement.NewTracker(), Saves: &saves{}, Quarantine: quarantine.New(self.Address), Log: zap.NewNop(), Metrics: gometrics.NewRegistry()})
		n := &node{exchange: exchange, conn: conn, done: make(chan struct{})}
		nodes = append(nodes, n)
	}
	addresses := []string{nodes[0].conn.LocalAddr().String(), nodes[1].conn.LocalAddr().String()}
	for _, n := range nodes {
		n.exchange.SetPeers([]Peer{
			{Address: addresses[0], AvailabilityZone: zones[0]}, {Address: addresses[1], AvailabilityZone: zones[1]}, {Address: "not an address"},
		})
		go func() { n.exchange.Run(ctx, n.conn); close(n.done) }()
	}
	defer func() {
		cancel()
		<-nodes[0].done
		<-nodes[1].done
	}()
	_, err := nodes[1].conn.WriteToUDP([]byte("\xff\xff"), nodes[0].conn.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	instance := &upstreams.Instance{ID: "i"}
	attempt := nodes[1].exchange.options.Tracker.Begin(instance, placement.Work{PrefillTokens: 700})
	prefill := func() int {
		return nodes[0].exchange.options.Tracker.Candidates([]*upstreams.Instance{instance}, time.Now(), &placement.Request{})[0].PrefillTokens
	}
	require.Eventually(t, func() bool { return prefill() == 700 }, 5*time.Second, 5*time.Millisecond)
	attempt.End(placement.Answered, time.Now())
	require.Eventually(t, func() bool { return prefill() == 0 }, 5*time.Second, 5*time.Millisecond)
	sender, receiver := nodes[1].exchange.options.Saves.(*saves), nodes[0].exchange.options.Saves.(*saves)
	sender.mu.Lock()
	sender.pending = []uint64{1, 2}
	sender.mu.Unlock()
	require.Eventually(t, func() bool {
		receiver.mu.Lock()
		defer receiver.mu.Unlock()
		return len(receiver.recorded) == 2
	}, 5*time.Second, 5*time.Millisecond, "an idle node still reports its saves")
	now := time.Now()
	reported := nodes[1].exchange.options.Quarantine.(*quarantine.List)
	for i, engine := range []string{"a", "b", "c"} {
		reported.RecordCrash(engine, []uint64{7}, now.Add(time.Duration(i-2)*time.Second))
	}
	require.Eventually(t, func() bool {
		_, allowed := nodes[0].exchange.options.Quarantine.(*quarantine.List).Check([]uint64{7}, time.Now())
		return !allowed
	}, 5*time.Second, 5*time.Millisecond)
	require.EqualValues(t, 1, nodes[0].exchange.metrics.blockedParts.Count())
}
