package fleetview

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/coregroup"
	"github.com/wasabishunt/wasabishunt/rollout"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// applyLimit is the time within which an acknowledged set must be in force on each node.
	applyLimit = 2500 * time.Millisecond
	// thinLink is a link of 10 Mbit/s in bytes per second.
	thinLink = 10_000_000 / 8
	// formLimit limits the wait for a new group.
	formLimit = 15 * time.Second
)

// testMember is a core member that serves watchers.
type testMember struct {
	group  *coregroup.Group
	server *Server
}

// startMembers forms a group of core members and returns them with their addresses.
func startMembers(t *testing.T, count, window int) ([]testMember, []string) {
	t.Helper()
	var listeners []net.Listener
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	t.Cleanup(func() { cancel(); tasks.Wait() })
	var members []testMember
	for i, listener := range listeners {
		group := coregroup.New(coregroup.Options{
			Dir: t.TempDir(), Address: addresses[i], AvailabilityZone: fmt.Sprint(i % 3), Seeds: func() []string { return addresses[:min(3, count)] }, FirstStart: true,
			Tolerance: coregroup.Tolerance{VMs: (count - 1) / 2}, Log: zap.NewNop(), Metrics: gometrics.NewRegistry(),
		})
		directory := upstreams.NewDirectory()
		reader := &upstreams.Reader{Directory: directory, Lister: fixedList{}, ReadsForAll: group.Leads, Log: zap.NewNop()}
		server := &Server{Group: group, Directory: directory, Reader: reader, Placement: NewPlacements(), EngineClock: func() float64 { return 0 }, Namings: func(time.Time) []rollout.Naming { return nil }, Log: zap.NewNop()}
		mux := drpcmux.New()
		require.NoError(t, group.Register(mux))
		require.NoError(t, nodepb.DRPCRegisterNode(mux, server))
		tasks.Go(func() { _ = drpcserver.New(mux).Serve(ctx, smallWindows{listener, window}) })
		tasks.Go(func() { group.Run(ctx) })
		tasks.Go(func() { reader.Run(ctx) })
		members = append(members, testMember{group, server})
	}
	return members, addresses
}

const (
	// windowBytes is the size of socket buffers. They are small, so that a peer that does not read blocks the writer.
	windowBytes = 128 << 10
	// smallestWindowBytes is below the largest segment of the loopback device, so that most of a message waits in the writer.
	smallestWindowBytes = 16 << 10
)

// smallWindows accepts connections with small send buffers.
type smallWindows struct {
	net.Listener
	bytes int
}

func (l smallWindows) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(l.bytes)
}

// propose replicates a change through whichever member leads.
func propose(t *testing.T, members []testMember, command *nodepb.Command) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, m := range members {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			err := m.group.Propose(ctx, command)
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	}, formLimit, 20*time.Millisecond)
}

func publishSet(t *testing.T, members []testMember, version uint64, document []byte) {
	t.Helper()
	propose(t, members, &nodepb.Command{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: version, Document: document}}})
}

// routesDocument returns a document with random names, in the form and size of a set with that many routes.
func routesDocument(version, routes int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	name := func(length int) string {
		letters := make([]byte, length)
		for i := range letters {
			letters[i] = byte('a' + random.IntN(26))
		}
		return string(letters)
	}
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"routes":[`, version)
	for i := range routes {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"r-%s","hostname":"%s.example","path-prefix":"/%s/","kind":"safe","timeout-ms":1500,"target-latency-ms":120,`+
			`"priority":1,"service":"%s","attempts":2,"public":true,"sticky":false,"resumable":false}`, name(7), name(5), name(8), name(6))
	}
	text.WriteString(`]}`)
	return []byte(text.String())
}

// thinNode is a node whose connections to core members share one slow link.
type thinNode struct {
	watcher *Watcher
	mu      sync.Mutex
	// sets holds when each version arrived, weights the newest version named, received the bytes of all connections, dials their number.
	sets     map[uint64]time.Time
	weights  uint64
	received int
	dials    int
	// placements is the number of reports on stores.
	placements int
	// reroute returns the address to which a connection goes; nil for the address itself.
	reroute func(address string) string
}

// startThinNode starts a watcher behind a link of the given number of bytes per second.
func startThinNode(t *testing.T, addresses []string, bytesPerSecond float64, window int) *thinNode {
	t.Helper()
	n := &thinNode{sets: map[uint64]time.Time{}}
	limiter := rate.NewLimiter(rate.Limit(bytesPerSecond), maxLinkRead)
	contacts := func() []string { return addresses }
	n.watcher = &Watcher{
		Node: "thin", Contacts: contacts, Seeds: contacts, Log: zap.NewNop(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			n.mu.Lock()
			n.dials++
			if n.reroute != nil {
				address = n.reroute(address)
			}
			n.mu.Unlock()
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			err = conn.(*net.TCPConn).SetReadBuffer(window)
			return &linkConn{Conn: conn, node: n, limiter: limiter}, err
		},
		OnSet: func(set PublishedSet) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if _, known := n.sets[set.Version]; !known {
				n.sets[set.Version] = time.Now()
			}
		},
		OnUpdate: func(_ string, u *nodepb.WatchUpdate) {
			n.mu.Lock()
			defer n.mu.Unlock()
			for _, w := range u.GetWeights() {
				n.weights = max(n.weights, w.GetVersion())
			}
			n.placements += len(u.GetPlacements().GetStores())
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { n.watcher.Run(ctx) })
	t.Cleanup(func() { cancel(); tasks.Wait() })
	return n
}

func (n *thinNode) has(version uint64) func() bool {
	return func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		_, ok := n.sets[version]
		return ok
	}
}

func (n *thinNode) hasWeights(version uint64) func() bool {
	return func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.weights >= version
	}
}

func (n *thinNode) hasPlacements(count int) func() bool {
	return func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.placements >= count
	}
}

func (n *thinNode) receivedBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received
}

// maxLinkRead is the largest number of bytes that one read takes from a slow link.
const maxLinkRead = 8 << 10

// linkConn is a connection over a slow link.
type linkConn struct {
	net.Conn
	node    *thinNode
	limiter *rate.Limiter
}

func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), maxLinkRead)])
	if n > 0 {
		_ = c.limiter.WaitN(context.Background(), n)
		c.node.mu.Lock()
		c.node.received += n
		c.node.mu.Unlock()
	}
	return n, err
}

// Guards against sets that reach a node too late or never, because their copies from all core members fill its link and streams
// that are still receiving one are closed.
func TestSetsReachANodeBehindASlowLink(t *testing.T) {
	members, addresses := startMembers(t, 5, windowBytes)
	publishSet(t, members, 1, routesDocument(1, 20))
	node := startThinNode(t, addresses, thinLink, windowBytes)
	require.Eventually(t, node.has(1), applyLimit, 5*time.Millisecond)
	publishSet(t, members, 2, routesDocument(2, 2800))
	<-time.After(time.Second)
	publishSet(t, members, 3, append(routesDocument(2, 2800), ' '))
	require.Eventually(t, node.has(3), applyLimit, 5*time.Millisecond)
}

// Guards against a set that crosses the link of a node once for each core member.
func TestSetCrossesALinkOnce(t *testing.T) {
	members, addresses := startMembers(t, 5, windowBytes)
	publishSet(t, members, 1, routesDocument(1, 20))
	node := startThinNode(t, addresses, 100*thinLink, windowBytes)
	require.Eventually(t, node.has(1), applyLimit, 5*time.Millisecond)
	before := node.receivedBytes()
	document := routesDocument(2, 2800)
	publishSet(t, members, 2, document)
	require.Eventually(t, node.has(2), applyLimit, 5*time.Millisecond)
	// Copies on other streams may still be on their way.
	require.Never(t, func() bool { return node.receivedBytes()-before > len(document)*5/4 }, 300*time.Millisecond, 10*time.Millisecond)
}

// Guards against small changes that cost as much as the whole set.
func TestSmallChangeOfALargeSetIsCheap(t *testing.T) {
	members, addresses := startMembers(t, 5, windowBytes)
	document := routesDocument(1, 2800)
	publishSet(t, members, 1, document)
	node := startThinNode(t, addresses, 100*thinLink, windowBytes)
	require.Eventually(t, node.has(1), applyLimit, 5*time.Millisecond)
	before := node.receivedBytes()
	publishSet(t, members, 2, append(routesDocument(1, 2800), ' '))
	require.Eventually(t, node.has(2), applyLimit, 5*time.Millisecond)
	require.Less(t, node.receivedBytes()-before, len(document)/20)
}

// Guards against a transfer that is broken off although it makes progress: it begins anew and never ends.
func TestSlowButSoundTransferIsFinished(t *testing.T) {
	members, addresses := startMembers(t, 1, windowBytes)
	publishSet(t, members, 1, routesDocument(1, 20))
	const bytesPerSecond = 300_000
	node := startThinNode(t, addresses, bytesPerSecond, windowBytes)
	require.Eventually(t, node.has(1), applyLimit, 5*time.Millisecond)
	// Random bytes cannot be compressed; their transfer takes twice streamTimeout.
	document := make([]byte, 2*int(streamTimeout.Seconds())*bytesPerSecond)
	random := rand.NewChaCha8([32]byte{})
	_, _ = random.Read(document)
	publishSet(t, members, 2, document)
	require.Eventually(t, node.has(2), 2*2*streamTimeout, 5*time.Millisecond)
}

// Guards against a core member that takes a node for silent because it was busy sending to it itself.
func TestNodeIsNotTakenForSilentDuringATransfer(t *testing.T) {
	members, addresses := startMembers(t, 1, smallestWindowBytes)
	publishSet(t, members, 1, routesDocument(1, 20))
	const bytesPerSecond = 300_000
	node := startThinNode(t, addresses, bytesPerSecond, smallestWindowBytes)
	require.Eventually(t, node.has(1), applyLimit, 5*time.Millisecond)
	size := int((streamTimeout + 300*time.Millisecond).Seconds() * bytesPerSecond)
	for round := range 4 {
		members[0].server.Placement.Append(&nodepb.StorePlacement{Address: strings.Repeat("x", size)}, nil)
		require.Eventually(t, node.hasPlacements(round+1), 2*2*streamTimeout, 5*time.Millisecond)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	// One for the set, one for the updates.
	require.Equal(t, 2, node.dials)
}

// Guards against small news that wait until a large set has been transferred.
func TestNewsDoesNotWaitBehindASet(t *testing.T) {
	members, addresses := startMembers(t, 5, windowBytes)
	publishSet(t, members, 1, routesDocument(1, 20))
	const bytesPerSecond = 300_000
	node := startThinNode(t, addresses, bytesPerSecond, windowBytes)
	require.Eventually(t, node.has(1), applyLimit, 5*time.Millisecond)
	document := make([]byte, 2*bytesPerSecond)
	random := rand.NewChaCha8([32]byte{})
	_, _ = random.Read(document)
	publishSet(t, members, 2, document)
	propose(t, members, &nodepb.Command{Change: &nodepb.Command_NameWeights{NameWeights: &nodepb.WeightVersion{Model: "m", Version: 4}}})
	require.Eventually(t, node.hasWeights(4), 500*time.Millisecond, 5*time.Millisecond)
}
