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
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/coldstart"
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

// coldNews records the restarts that other nodes report.
type coldNews struct {
	mu   sync.Mutex
	own  []*nodepb.ColdInstance
	from map[uint32]bool
}

func (c *coldNews) News(bool, time.Time) []*nodepb.ColdInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own
}

func (c *coldNews) Apply(_ string, zone bool, news []*nodepb.ColdInstance, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range news {
		if c.from == nil {
			c.from = map[uint32]bool{}
		}
		c.from[n.GetInstance()] = zone
	}
}

func (c *coldNews) ApplyUnresponsive(string, []string, time.Time) {}

// Guards against nodes that do not hear of an instance that may have restarted, and against a report of the own zone that the other zones are not
// told of, or a digest of another zone that goes round.
func TestNodesTellEachOtherOfRestarts(t *testing.T) {
	for name, zones := range map[string][2]string{"one zone": {"z0", "z0"}, "two zones": {"z0", "z1"}} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			var done sync.WaitGroup
			defer done.Wait()
			defer cancel()
			var exchanges []*Exchange
			var conns []*net.UDPConn
			var peers []Peer
			for i, zone := range zones {
				conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
				require.NoError(t, err)
				peer := Peer{Address: conn.LocalAddr().String(), AvailabilityZone: zone}
				conns, peers = append(conns, conn), append(peers, peer)
				news := &coldNews{}
				if i == 0 {
					news.own = []*nodepb.ColdInstance{{Instance: 7, AgeMs: 1, LeftMs: 3000}}
				}
				exchanges = append(exchanges, New(Options{
					Node: peer.Address, Self: peer, Tracker: placement.NewTracker(), Saves: &saves{}, Quarantine: quarantine.New(peer.Address), Cold: news,
					Log: zap.NewNop(), Metrics: gometrics.NewRegistry(),
				}))
			}
			for i, e := range exchanges {
				e.SetPeers(peers)
				done.Go(func() { e.Run(ctx, conns[i]) })
			}
			heard := exchanges[1].options.Cold.(*coldNews)
			require.Eventually(t, func() bool {
				heard.mu.Lock()
				defer heard.mu.Unlock()
				zone, known := heard.from[7]
				return known && zone == (zones[0] == zones[1])
			}, 5*time.Second, 5*time.Millisecond)
		})
	}
}

// Guards against datagrams that grow in deployments without cold instances.
func TestReportsWithoutColdInstancesAreUnchanged(t *testing.T) {
	now := time.Now()
	e := New(Options{
		Node: "n", Self: Peer{Address: "127.0.0.1:1"}, Tracker: placement.NewTracker(), Saves: &saves{}, Quarantine: quarantine.New("n"), Cold: coldstart.New(coldstart.Options{}),
		Log: zap.NewNop(), Metrics: gometrics.NewRegistry(),
	})
	require.Nil(t, e.report(1).GetCold())
	require.Nil(t, e.digest(now).GetCold())
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
