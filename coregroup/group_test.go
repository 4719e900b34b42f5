package coregroup

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// testNode is a node that runs only its Group.
type testNode struct {
	t       *testing.T
	address string
	dir     string
	fs      diskfs.FS
	first   bool
	seeds   []string
	log     *zap.Logger
	group   *Group
	stop    func()
}

// nodeService implements the calls of the node service that concern the group.
type nodeService struct {
	nodepb.DRPCNodeUnimplementedServer
	group *Group
}

func (s *nodeService) Join(ctx context.Context, q *nodepb.JoinRequest) (*nodepb.JoinResponse, error) {
	return s.group.Join(ctx, q)
}

func (s *nodeService) Meet(ctx context.Context, q *nodepb.Contacts) (*nodepb.Contacts, error) {
	return s.group.Meet(ctx, q)
}

func (n *testNode) start() {
	n.t.Helper()
	var listener net.Listener
	require.Eventually(n.t, func() bool {
		var err error
		listener, err = net.Listen("tcp", n.address)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	if n.log == nil {
		n.log = zap.NewNop()
	}
	n.group = New(Options{
		Dir: n.dir, FS: n.fs, Address: n.address, AvailabilityZone: n.address, Seeds: func() []string { return n.seeds }, FirstStart: n.first,
		Tolerance: Tolerance{VMs: 1}, Log: n.log, Metrics: gometrics.NewRegistry(),
	})
	mux := drpcmux.New()
	require.NoError(n.t, n.group.Register(mux))
	require.NoError(n.t, nodepb.DRPCRegisterNode(mux, &nodeService{group: n.group}))
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = drpcserver.New(mux).Serve(ctx, listener) })
	tasks.Go(func() { n.group.Run(ctx) })
	n.first = false
	n.stop = sync.OnceFunc(func() { cancel(); tasks.Wait() })
	n.t.Cleanup(n.stop)
}

func startNodes(t *testing.T, disks ...bool) []*testNode {
	return startNodesOn(t, func(int) diskfs.FS { return diskfs.OS{} }, disks...)
}

// startNodesOn starts nodes with the file systems that fs returns for their indexes.
func startNodesOn(t *testing.T, fs func(index int) diskfs.FS, disks ...bool) []*testNode {
	return startNodesLogging(t, zap.NewNop(), fs, disks...)
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func startNodesLogging(t *testing.T, log *zap.Logger, fs func(index int) diskfs.FS, disks ...bool) []*testNode {
	var nodes []*testNode
	var addresses []string
	for range disks {
		addresses = append(addresses, freeAddress(t))
	}
	for i, disk := range disks {
		n := &testNode{t: t, log: log, fs: fs(i), address: addresses[i], first: true, seeds: addresses[:min(3, len(addresses))]}
		if disk {
			n.dir = t.TempDir()
		}
		nodes = append(nodes, n)
		n.start()
	}
	return nodes
}

func publish(nodes []*testNode, version uint64) func() bool {
	return func() bool {
		for _, n := range nodes {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := n.group.Propose(ctx, &nodepb.Command{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: version, Document: []byte{byte(version)}}}})
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	}
}

func read(t *testing.T, n *testNode) uint64 {
	t.Helper()
	version := uint64(0)
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		state, err := n.group.Read(ctx)
		version = state.GetSetVersion()
		return err == nil
	}, 15*time.Second, 20*time.Millisecond)
	return version
}

// convergenceTimeout limits the wait for the group to reach an expected state.
const convergenceTimeout = 20 * time.Second

// TestGroupFormsAndRepairsALostDisk guards against a group that does not form from seeds alone, against one that accepts
// changes before all voters have joined, and against a member with a lost disk that returns as a voter, forms a second
// group, or never returns.
func TestGroupFormsAndRepairsALostDisk(t *testing.T) {
	nodes := startNodes(t, true, true, true)
	require.Eventually(t, publish(nodes, 1), convergenceTimeout, 20*time.Millisecond)
	voters := 0
	for _, m := range nodes[0].group.Members() {
		if !m.GetLearner() {
			voters++
		}
	}
	require.Equal(t, 3, voters, "a change was acknowledged before all voters had joined")

	for i := range nodes {
		n := nodes[i]
		n.stop()
		require.NoError(t, os.RemoveAll(n.dir))
		n.start()
		require.EqualValues(t, i+1, read(t, n), "a member with a lost disk reads the acknowledged change")
		require.Eventually(t, publish(nodes, uint64(i+2)), convergenceTimeout, 20*time.Millisecond)
		require.Eventually(t, func() bool {
			count := 0
			for _, m := range n.group.Members() {
				if m.GetLearner() {
					return false
				}
				count++
			}
			return count == 3
		}, convergenceTimeout, 20*time.Millisecond, "the lost voter is replaced")
	}
}

// TestMembersThatAreGoneForGoodAreReplaced guards against a group that stays smaller when its VMs are replaced one after
// the other by VMs with new addresses, whose seeds are only lost VMs and one node without a member.
func TestMembersThatAreGoneForGoodAreReplaced(t *testing.T) {
	nodes := startNodes(t, true, true, true, false)
	require.Eventually(t, publish(nodes, 1), convergenceTimeout, 20*time.Millisecond)
	seeds := []string{nodes[0].address, nodes[1].address, nodes[3].address}
	nodes[3].seeds = append([]string{nodes[2].address}, seeds...)
	members := nodes[:3:3]
	for i := range 3 {
		lost := members[0]
		lost.stop()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		replacement := &testNode{t: t, address: listener.Addr().String(), dir: t.TempDir(), seeds: seeds}
		require.NoError(t, listener.Close())
		replacement.start()
		members = append(members[1:], replacement)
		version := uint64(i + 2)
		require.Eventually(t, publish(members, version), convergenceTimeout, 20*time.Millisecond)
		require.Equal(t, version, read(t, replacement))
		require.Eventually(t, func() bool {
			count := 0
			for _, m := range replacement.group.Members() {
				if m.GetLearner() || m.GetAddress() == lost.address {
					return false
				}
				count++
			}
			return count == 3
		}, convergenceTimeout, 20*time.Millisecond, "the lost VM is replaced")
	}
}

// TestAllStopAndTheSeedsKnowNobody guards against the loss of acknowledged changes when all members stop at once, and
// against nodes that find no member because the restarted seeds have no contacts.
func TestAllStopAndTheSeedsKnowNobody(t *testing.T) {
	nodes := startNodes(t, true, true, true, false, false)
	require.Eventually(t, publish(nodes, 5), convergenceTimeout, 20*time.Millisecond)
	for _, n := range nodes {
		n.stop()
	}
	for _, n := range nodes {
		n.seeds = []string{nodes[3].address, nodes[4].address}
	}
	require.NoError(t, os.RemoveAll(nodes[0].dir))
	for _, n := range nodes {
		n.start()
	}
	require.EqualValues(t, 5, read(t, nodes[0]))
	require.Eventually(t, func() bool { return len(nodes[4].group.Contacts()) >= 3 }, convergenceTimeout, 20*time.Millisecond)
}

// TestNoSecondGroup guards against a group that is formed again by members that all lost their disks, or by a node that
// is not part of the first start.
func TestNoSecondGroup(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	n := &testNode{t: t, address: address, dir: t.TempDir(), seeds: []string{address}}
	n.start()
	require.Never(t, func() bool { return n.group.Leads() }, 2*time.Second, 50*time.Millisecond)
	err = n.group.Propose(context.Background(), &nodepb.Command{})
	require.True(t, failure.Is(err, failure.NotLeader))
	require.Equal(t, failure.NotRun, failure.Of(err).Execution)
}

// TestHighestVersionWins guards against an older version that replaces a newer one, and against a change of one kind that
// undoes a change of another kind.
func TestHighestVersionWins(t *testing.T) {
	m := newMachine()
	put := func(version uint64) {
		m.Apply(0, encode(t, &nodepb.Command{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: version, Document: []byte{byte(version)}}}}))
	}
	name := func(model string, version uint64) {
		m.Apply(0, encode(t, &nodepb.Command{Change: &nodepb.Command_NameWeights{NameWeights: &nodepb.WeightVersion{Model: model, Version: version}}}))
	}
	put(7)
	_, changed := m.read()
	put(3)
	put(7)
	select {
	case <-changed:
		t.Fatal("an older version changed the state")
	default:
	}
	name("a", 2)
	name("b", 1)
	name("a", 1)
	m.Apply(0, []byte("\xff not a command"))
	data, err := m.Snapshot()()
	require.NoError(t, err)
	restored := newMachine()
	require.NoError(t, restored.Restore(data))
	state, _ := restored.read()
	require.EqualValues(t, 7, state.GetSetVersion())
	require.Equal(t, []byte{7}, state.GetDocument())
	versions := map[string]uint64{}
	for _, w := range state.GetWeights() {
		versions[w.GetModel()] = w.GetVersion()
	}
	require.Equal(t, map[string]uint64{"a": 2, "b": 1}, versions)
}

// TestDirectoryWithoutIdentityIsEmptied guards against a member that uses the log of an earlier identity under a new one.
func TestDirectoryWithoutIdentityIsEmptied(t *testing.T) {
	dir := t.TempDir()
	self, found, err := loadIdentity(diskfs.OS{}, dir)
	require.NoError(t, err)
	require.False(t, found)
	require.NoError(t, saveIdentity(diskfs.OS{}, dir, self))
	reloaded, found, err := loadIdentity(diskfs.OS{}, dir)
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, self, reloaded)
	require.NoError(t, os.MkdirAll(filepath.Join(dir, "raft", "wal"), 0o755))
	require.NoError(t, os.Remove(filepath.Join(dir, identityName)))
	other, found, err := loadIdentity(diskfs.OS{}, dir)
	require.NoError(t, err)
	require.False(t, found)
	require.NotEqual(t, self.ID, other.ID)
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Empty(t, entries)
}

// TestContactsExpire guards against addresses that are kept forever or without a limit.
func TestContactsExpire(t *testing.T) {
	var c contacts
	c.add([]string{"b", "a"}, start)
	require.Equal(t, []string{"a", "b"}, c.list(start))
	for i := range 2 * maxContacts {
		c.add([]string{string(rune('A' + i))}, start)
	}
	require.Len(t, c.list(start), maxContacts)
	require.Empty(t, c.list(start.Add(contactLifetime+time.Second)))
}
