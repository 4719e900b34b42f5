package coregroup

import (
	"context"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// silentAddress returns an address that accepts connections and answers nothing, like that of a frozen VM.
func silentAddress(t *testing.T, ip string) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// Guards against a member with a lost disk that joins late because it waits for one silent node after the other, so that the group cannot bear
// the next loss in time.
func TestMemberJoinsBesideSilentNodes(t *testing.T) {
	t.Parallel()
	nodes := startNodes(t, true, true, true)
	require.Eventually(t, publish(nodes, 1), convergenceTimeout, 20*time.Millisecond)
	n := nodes[2]
	n.stop()
	require.NoError(t, os.RemoveAll(n.dir))
	// In the order of contacts these addresses stand before the others.
	silent := []string{silentAddress(t, "127.0.0.10"), silentAddress(t, "127.0.0.11"), silentAddress(t, "127.0.0.12")}
	nodes[0].group.AddContacts(silent)
	nodes[1].group.AddContacts(silent)
	n.seeds = append(silent, nodes[0].address, nodes[1].address)
	n.start()
	begin := time.Now()
	require.Eventually(t, func() bool { return len(n.group.Members()) > 0 }, convergenceTimeout, 5*time.Millisecond)
	t.Logf("the new member is in the group after %s", time.Since(begin))
	require.Less(t, time.Since(begin), 2*callTimeout, "two silent nodes one after the other")
	require.True(t, lo.ContainsBy(n.group.Members(), func(m *raftpb.Member) bool { return m.GetAddress() == n.address }))
}

// lateLeader answers Join, and is the leader from leadsAt on.
type lateLeader struct {
	nodepb.DRPCNodeUnimplementedServer
	leadsAt time.Time
}

func (s *lateLeader) Join(context.Context, *nodepb.JoinRequest) (*nodepb.JoinResponse, error) {
	return &nodepb.JoinResponse{Noted: !time.Now().Before(s.leadsAt)}, nil
}

// Guards against a member that waits for a silent node before it calls one again that answered during an election and leads now.
func TestMemberJoinsOnceALeaderIsElectedBesideASilentNode(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	begin := time.Now()
	require.NoError(t, nodepb.DRPCRegisterNode(mux, &lateLeader{leadsAt: begin.Add(2 * joinInterval)}))
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = drpcserver.New(mux).Serve(ctx, listener) })
	t.Cleanup(func() { cancel(); tasks.Wait() })
	seeds := []string{silentAddress(t, "127.0.0.10"), listener.Addr().String()}
	g := New(Options{Address: "127.0.0.1:1", Seeds: func() []string { return seeds }, Log: zap.NewNop()})
	founder, err := g.awaitRole(ctx, identity{ID: 9})
	require.NoError(t, err)
	require.False(t, founder)
	t.Logf("joined after %s", time.Since(begin))
	require.Less(t, time.Since(begin), callTimeout)
}
