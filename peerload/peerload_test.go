package peerload

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// saves records what other nodes saved.
type saves struct {
	mu          sync.Mutex
	take, noted []uint64
}

func (s *saves) TakeSaves() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.take
	s.take = nil
	return taken
}

func (s *saves) NoteSaves(parts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noted = append(s.noted, parts...)
}

// Guards against nodes that do not hear of each other's load, and against a garbled datagram that ends the exchange.
func TestNodesTellEachOtherTheirLoad(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	type node struct {
		exchange *Exchange
		conn     *net.UDPConn
		done     chan struct{}
	}
	var nodes []*node
	for _, name := range []string{"a", "b"} {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		n := &node{exchange: &Exchange{Node: name, Tracker: placement.NewTracker(), Saves: &saves{}, Log: zap.NewNop()}, conn: conn, done: make(chan struct{})}
		nodes = append(nodes, n)
	}
	addresses := []string{nodes[0].conn.LocalAddr().String(), nodes[1].conn.LocalAddr().String()}
	for i, n := range nodes {
		n.exchange.Address = addresses[i]
		n.exchange.SetPeers([]Peer{{Address: addresses[0]}, {Address: addresses[1]}, {Address: "not an address"}})
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
	ticket := nodes[1].exchange.Tracker.Begin(instance, placement.Work{PrefillTokens: 700})
	prefill := func() int {
		return nodes[0].exchange.Tracker.Candidates([]*upstreams.Instance{instance}, time.Now(), &placement.Request{})[0].PrefillTokens
	}
	require.Eventually(t, func() bool { return prefill() == 700 }, 5*time.Second, 5*time.Millisecond)
	ticket.End(placement.Answered, time.Now())
	require.Eventually(t, func() bool { return prefill() == 0 }, 5*time.Second, 5*time.Millisecond)
	told, heard := nodes[1].exchange.Saves.(*saves), nodes[0].exchange.Saves.(*saves)
	told.mu.Lock()
	told.take = []uint64{1, 2}
	told.mu.Unlock()
	require.Eventually(t, func() bool {
		heard.mu.Lock()
		defer heard.mu.Unlock()
		return len(heard.noted) == 2
	}, 5*time.Second, 5*time.Millisecond, "an idle node still tells its saves")
}

// Guards against reports that are older the more nodes there are: with 300 that all tell each other, 1.5 s.
func TestManyNodesReportWithinTheirZone(t *testing.T) {
	e := &Exchange{Address: "127.0.0.1:1", AvailabilityZone: "z0", Log: zap.NewNop()}
	list := func(n int) []Peer {
		var peers []Peer
		for i := range n {
			peers = append(peers, Peer{Address: fmt.Sprintf("127.0.0.1:%d", i+1), AvailabilityZone: fmt.Sprint("z", i%4)})
		}
		return peers
	}
	e.SetPeers(list(maxPeers))
	require.Len(t, e.current(), maxPeers-1)
	e.SetPeers(list(300))
	require.Len(t, e.current(), 74)
}
