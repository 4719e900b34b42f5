package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/coregroup"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/retrybudget"
	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// testList is the list of instances as one node can read it.
type testList struct {
	unreadable atomic.Bool
	instances  atomic.Pointer[[]upstreams.Instance]
}

func (l *testList) List(context.Context) ([]upstreams.Instance, error) {
	if l.unreadable.Load() {
		return nil, failure.New(failure.UpstreamFailed, failure.Unknown, "the list cannot be read")
	}
	var list []upstreams.Instance
	for _, instance := range *l.instances.Load() {
		instance.Versions = map[string]uint64{}
		list = append(list, instance)
	}
	return list, nil
}

func (l *testList) show(instances ...upstreams.Instance) { l.instances.Store(&instances) }

// runningNode is a node in the process of the test.
type runningNode struct {
	*Node
	list *testList
	dir  string
	stop func()
}

// fleet starts nodes with the same seeds.
type fleet struct {
	t     *testing.T
	seeds []string
	nodes int
	// fs is the file system of the state disks, nil for that of the operating system.
	fs diskfs.FS
	// weightsWithin is that of the nodes that are started next.
	weightsWithin time.Duration
}

const (
	// firstPort and lastPort bound the ports of nodes. They lie below those that the kernel gives to outgoing connections: between the search for a port
	// and its use a connection of another test could take it.
	firstPort, lastPort = 12_000, 32_000
)

var nextPort atomic.Int32

// freeAddress returns an address whose port was free for TCP and UDP and is not given again in this process.
func freeAddress(t *testing.T) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int32(firstPort+rand.IntN(lastPort-firstPort)))
	for range lastPort - firstPort {
		port := firstPort + (int(nextPort.Add(1))-firstPort)%(lastPort-firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		require.NoError(t, listener.Close())
		if err != nil {
			continue
		}
		require.NoError(t, packets.Close())
		return address
	}
	require.Fail(t, "no port is free")
	return ""
}

// testGrace is the time between the stop signal and the kill.
const testGrace = 4 * time.Second

// start starts a node, as a core member if dir is not empty.
func (f *fleet) start(dir, internal string, list *testList) *runningNode {
	f.nodes++
	n := New(Config{
		Name: fmt.Sprintf("n%d", f.nodes), AvailabilityZone: "z", IP: "127.0.0.1", DataDir: dir, FirstStart: dir != "", Seeds: f.seeds,
		Front: freeAddress(f.t), Ready: freeAddress(f.t), Internal: internal, LoadReports: freeAddress(f.t), Tolerance: coregroup.Tolerance{VMs: 1},
		Grace: testGrace, MemoryBytes: 1 << 30, MaxDescriptors: 2000, Retries: retrybudget.Limits{Window: time.Second}, WeightsWithin: f.weightsWithin,
	}, Parts{Lister: list, FS: f.fs, DecodeSet: func(document []byte) (*trafficset.Set, error) {
		set := &trafficset.Set{Version: uint64(document[0])}
		return set, set.Build()
	}}, zap.NewNop(), gometrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() {
		// A port that another process took in the meantime explains a node that is never ready.
		if err := n.Run(ctx); err != nil {
			f.t.Logf("%s: %v", n.config.Name, err)
		}
	})
	running := &runningNode{Node: n, list: list, dir: dir, stop: sync.OnceFunc(func() { cancel(); tasks.Wait() })}
	return running
}

// startCore starts three core members with a published set that read a list with an engine, and one that leaves.
func startCore(t *testing.T) (*fleet, []*runningNode) {
	t.Helper()
	f := &fleet{t: t}
	return f, f.startCore()
}

func (f *fleet) startCore() []*runningNode {
	t := f.t
	t.Helper()
	for range 3 {
		f.seeds = append(f.seeds, freeAddress(t))
	}
	var core []*runningNode
	for _, address := range f.seeds {
		list := &testList{}
		list.show(upstreams.Instance{ID: "a", Service: "s", Address: "1", Born: 1}, upstreams.Instance{ID: "b", Service: "s", Address: "2", Born: 1, Draining: true})
		core = append(core, f.start(t.TempDir(), address, list))
	}
	t.Cleanup(func() {
		var stops sync.WaitGroup
		for _, n := range core {
			stops.Go(n.stop)
		}
		stops.Wait()
	})
	require.Eventually(t, func() bool {
		for _, n := range core {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			err := n.group.Propose(ctx, &nodepb.Command{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: 1, Document: []byte{1}}}})
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	}, 15*time.Second, 20*time.Millisecond)
	for _, n := range core {
		require.Eventually(t, func() bool { return n.Ready() == nil }, 10*time.Second, 20*time.Millisecond)
	}
	return core
}

// restart stops all core members at once and starts them again.
func (f *fleet) restart(core []*runningNode) {
	var stops sync.WaitGroup
	for _, n := range core {
		stops.Go(n.stop)
	}
	stops.Wait()
	for i, n := range core {
		core[i] = f.start(n.dir, f.seeds[i], n.list)
	}
}

// draining returns for each instance of the node's view whether it is leaving.
func (n *runningNode) draining() map[string]bool {
	states := map[string]bool{}
	for _, instance := range n.directory.View().Instances {
		states[instance.ID] = instance.Draining
	}
	return states
}

// Guards against a node that starts while nobody can read the instance list and is not ready until it can be read again, although the
// core members know the instances, and against a view that looks newer than it is.
func TestNodeStartsWhileTheListIsAway(t *testing.T) {
	f, core := startCore(t)
	away := &testList{}
	away.unreadable.Store(true)
	for _, n := range core {
		n.list.unreadable.Store(true)
	}
	since := time.Now()
	time.Sleep(4 * time.Second)
	started := f.start("", freeAddress(t), away)
	t.Cleanup(started.stop)
	if !assert.Eventually(t, func() bool { return started.Ready() == nil }, 6*time.Second, 20*time.Millisecond) {
		require.NoError(t, started.Ready())
	}
	require.Equal(t, map[string]bool{"a": false, "b": true}, started.draining())
	require.Greater(t, started.directory.Age(time.Now()), time.Since(since)-upstreams.CopyMargin, "the view looks newer than the last read")
	started.list.show(upstreams.Instance{ID: "a", Service: "s", Address: "1", Born: 1}, upstreams.Instance{ID: "b", Service: "s", Address: "2", Born: 1})
	started.list.unreadable.Store(false)
	require.Eventually(t, func() bool { return started.directory.Age(time.Now()) < 1500*time.Millisecond }, 4*time.Second, 20*time.Millisecond)
	require.Equal(t, map[string]bool{"a": false, "b": true}, started.draining(), "what another node saw leaving stays leaving")
}

// Guards against a fleet without a ready core member after all of them have started again while nobody can read the instance list, although nodes
// without a disk still know the instances, and against a copy from such a node that looks newer than it is.
func TestRestartedCoreGetsTheListFromOtherNodes(t *testing.T) {
	f, core := startCore(t)
	list := &testList{}
	list.show(*core[0].list.instances.Load()...)
	node := f.start("", freeAddress(t), list)
	t.Cleanup(node.stop)
	require.Eventually(t, func() bool { return node.Ready() == nil }, 10*time.Second, 20*time.Millisecond)
	for _, n := range append(core, node) {
		n.list.unreadable.Store(true)
	}
	since := time.Now()
	f.restart(core)
	for _, n := range core {
		if !assert.Eventually(t, func() bool { return n.Ready() == nil }, 10*time.Second, 20*time.Millisecond) {
			require.NoError(t, n.Ready())
		}
		require.Equal(t, map[string]bool{"a": false, "b": true}, n.draining())
		require.Greater(t, n.directory.Age(time.Now()), time.Since(since)-upstreams.CopyMargin, "the copy looks newer than the last read")
	}
	require.NoError(t, node.Ready())
}

// Guards against a node that goes on with an old view because neither it nor the leader can read the instance list, although another
// core member can.
func TestNodeGetsTheNewestListThatIsKnown(t *testing.T) {
	_, core := startCore(t)
	var others []*runningNode
	for _, n := range core {
		if n.group.Leads() {
			n.list.unreadable.Store(true)
		}
		others = append(others, n)
	}
	time.Sleep(2500 * time.Millisecond)
	var reader *runningNode
	for _, n := range others {
		if !n.group.Leads() && reader == nil {
			reader = n
			continue
		}
		n.list.unreadable.Store(true)
	}
	reader.list.show(upstreams.Instance{ID: "a", Service: "s", Address: "1", Born: 1, Draining: true}, upstreams.Instance{ID: "c", Service: "s", Address: "3", Born: 1})
	for _, n := range core {
		require.Eventually(t, func() bool {
			states := n.draining()
			_, goneListed := states["b"]
			_, newListed := states["c"]
			return states["a"] && newListed && !goneListed
		}, 10*time.Second, 20*time.Millisecond)
	}
}
