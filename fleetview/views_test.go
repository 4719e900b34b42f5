package fleetview

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// startViewNode starts a watcher that fills a directory and counts its connections. It applies what the leader sends if followsLeader is
// set.
func startViewNode(t *testing.T, addresses []string, followsLeader bool) (*upstreams.Directory, *atomic.Int32) {
	t.Helper()
	directory, dials := upstreams.NewDirectory(), &atomic.Int32{}
	contacts := func() []string { return addresses }
	watcher := &Watcher{
		Node: "n", Contacts: contacts, Seeds: contacts, Directory: directory, Log: zap.NewNop(), OnSet: func(PublishedSet) {},
		OnUpdate: func(_ string, u *nodepb.WatchUpdate) {
			if !u.GetLeads() || !followsLeader {
				return
			}
			if u.GetInstances() != nil {
				directory.ApplyList(DecodeView(u.GetInstances()), time.Now())
			}
			directory.Confirm(time.Now())
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { watcher.Run(ctx) })
	t.Cleanup(func() { cancel(); tasks.Wait() })
	return directory, dials
}

// awaitViews waits until all members are in the group and have a view, and one of them sends its list.
func awaitViews(t *testing.T, members []testMember) {
	t.Helper()
	require.Eventually(t, func() bool {
		leads := false
		for _, m := range members {
			leads = leads || m.server.Reader.Current()
			if m.server.Directory.View().Revision == 0 || len(m.server.Group.Members()) < len(members) {
				return false
			}
		}
		return leads
	}, formLimit, 10*time.Millisecond)
}

// Guards against a node that gets no instances because only core members that do not lead have them, against one that asks again and
// again for views that are not newer, and against an ask that counts as a node, which would divide the budgets among more nodes than there are.
func TestMembersHandOutTheirViews(t *testing.T) {
	members, addresses := startMembers(t, 3, windowBytes)
	awaitViews(t, members)
	directory, dials := startViewNode(t, addresses, false)
	require.Eventually(t, func() bool { return directory.View().Revision > 0 }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, "a", directory.View().Instances[0].ID)
	before := dials.Load()
	time.Sleep(2 * viewAskInterval)
	require.LessOrEqual(t, dials.Load()-before, int32(3))
	for _, m := range members {
		m.server.mu.Lock()
		require.NotContains(t, m.server.nodes, "")
		m.server.mu.Unlock()
	}
}

// Guards against transfers of the whole list from members that do not lead while the leader sends it.
func TestNodeThatFollowsTheLeaderAsksNobody(t *testing.T) {
	members, addresses := startMembers(t, 3, windowBytes)
	awaitViews(t, members)
	directory, dials := startViewNode(t, addresses, true)
	require.Eventually(t, func() bool { return directory.View().Revision > 0 }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(3 * time.Second)
	require.EqualValues(t, len(addresses), dials.Load(), "one connection for each stream")
}

// Guards against a member with an outdated view that is asked although another one has a newer view, against links between zones that
// carry a view without need, and against a member that is asked at once again after it failed.
func TestNewestViewIsAskedFor(t *testing.T) {
	directory, now := upstreams.NewDirectory(), time.Now()
	v := newViewCopies(&Watcher{Directory: directory, AvailabilityZone: "z", zones: map[string]string{"old": "z", "near": "z", "far": "y"}})
	require.Empty(t, v.choose(now))
	announce := func(address string, age time.Duration) {
		v.announce(address, &nodepb.WatchUpdate{Instances: &nodepb.InstanceView{Revision: encodeViewAge(age)}}, now)
	}
	announce("old", time.Minute)
	require.Empty(t, v.choose(now.Add(viewSettleTime-time.Millisecond)), "the other members have not announced their views yet")
	announce("far", time.Second)
	announce("near", 2*time.Second)
	later := now.Add(viewSettleTime)
	for range 20 {
		require.Equal(t, "near", v.choose(later))
	}
	v.failedAt["near"] = later
	require.Equal(t, "far", v.choose(later))
	v.remove("far")
	require.Equal(t, "old", v.choose(later))
	announce("far", time.Second)
	v.announce("far", &nodepb.WatchUpdate{Leads: true}, now)
	require.Equal(t, "old", v.choose(later), "the leader sends its view itself")
	v.watcher.NodeViews = func() []NodeView {
		return []NodeView{{Address: "node", AvailabilityZone: "z", CurrentAt: now.Add(-20 * time.Second)}}
	}
	require.Equal(t, "node", v.choose(later), "a node that is no core member has a newer view than any of these")
	directory.ApplyList(nil, now.Add(-time.Minute))
	require.Equal(t, "node", v.choose(later))
	directory.ApplyList(nil, now.Add(-10*time.Second))
	require.Empty(t, v.choose(later), "no view is newer than that of the node")
}

// Guards against ages that wrap around or are lost in encoding.
func TestAgesOfViewsSurviveTheWire(t *testing.T) {
	for _, age := range []time.Duration{0, time.Millisecond, time.Hour} {
		got, ok := decodeViewAge(encodeViewAge(age))
		require.True(t, ok)
		require.Equal(t, age, got)
	}
	for _, revision := range []uint64{0, math.MaxUint64, math.MaxInt64} {
		_, ok := decodeViewAge(revision)
		require.False(t, ok)
	}
}

// viewServer answers each ask with one view.
type viewServer struct {
	nodepb.DRPCNodeUnimplementedServer
	view *nodepb.InstanceView
}

func (s *viewServer) Watch(stream nodepb.DRPCNode_WatchStream) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	return stream.Send(&nodepb.WatchUpdate{Instances: s.view})
}

// Guards against a transfer of a large view over a thin or lossy link that is given up although bytes arrive, and begun again and again.
func TestLargeViewCrossesASlowLink(t *testing.T) {
	server := &viewServer{view: &nodepb.InstanceView{Revision: encodeViewAge(time.Minute)}}
	for i := range 3000 {
		server.view.Instances = append(server.view.Instances, &nodepb.Instance{Id: fmt.Sprintf("i-%060d", i), Service: "s", Address: "127.0.0.1:1"})
	}
	mux := drpcmux.New()
	require.NoError(t, nodepb.DRPCRegisterNode(mux, server))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = drpcserver.New(mux).Serve(ctx, smallWindows{listener, smallestWindowBytes}) })
	defer tasks.Wait()
	defer cancel()
	directory := upstreams.NewDirectory()
	limiter := rate.NewLimiter(60_000, maxLinkRead)
	v := newViewCopies(&Watcher{Directory: directory, Log: zap.NewNop(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return &linkConn{Conn: conn, node: &thinNode{}, limiter: limiter}, err
	}})
	pause := v.askAndApply(ctx, listener.Addr().String())
	require.Len(t, directory.View().Instances, 3000)
	require.Greater(t, directory.Age(time.Now()), time.Minute+2*time.Second, "the time of the transfer counts")
	require.Greater(t, pause, 10*time.Second, "a large view is not asked for again soon")
}
