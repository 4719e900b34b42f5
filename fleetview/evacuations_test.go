package fleetview

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
)

// deafConn is a connection on which nothing arrives while deaf is set; what is sent passes.
type deafConn struct {
	net.Conn
	deaf *atomic.Bool
}

func (c deafConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.deaf.Load() {
			return n, err
		}
	}
}

// Guards against a node that misses an evacuation because its links to some core members, the leader among them, deliver in one direction only: the
// list of any member counts.
func TestEvacuationPassesALinkThatFailsInOneDirection(t *testing.T) {
	members, addresses := startMembers(t, 3, windowBytes)
	command := func(zone string, evacuated bool) *nodepb.Command {
		return &nodepb.Command{Change: &nodepb.Command_SetEvacuation{SetEvacuation: &nodepb.SetEvacuation{AvailabilityZone: zone, Evacuated: evacuated}}}
	}
	propose(t, members, command("z1", true))
	reached := -1
	for i, m := range members {
		if !m.group.Leads() {
			reached = i
		}
	}
	var deaf atomic.Bool
	var mu sync.Mutex
	var list *evacuation.List
	contacts := func() []string { return addresses }
	watcher := &Watcher{
		Node: "n", Contacts: contacts, Seeds: contacts, Log: zap.NewNop(), OnSet: func(PublishedSet) {},
		OnUpdate: func(_ string, u *nodepb.WatchUpdate) {
			mu.Lock()
			defer mu.Unlock()
			list, _, _ = list.Accept(u.GetEvacuationsRevision(), u.GetEvacuatedZones(), time.Now())
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil || address == addresses[reached] {
				return conn, err
			}
			return deafConn{conn, &deaf}, nil
		},
	}
	contains := func(zone string) bool {
		mu.Lock()
		defer mu.Unlock()
		return list.Contains(zone)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { watcher.Run(ctx) })
	require.Eventually(t, func() bool { return contains("z1") }, 5*time.Second, 5*time.Millisecond)
	deaf.Store(true)
	propose(t, members, command("z2", true))
	require.Eventually(t, func() bool { return contains("z2") }, 2*time.Second, 5*time.Millisecond)
	propose(t, members, command("z1", false))
	require.Eventually(t, func() bool { return !contains("z1") }, 2*time.Second, 5*time.Millisecond)
	require.True(t, contains("z2"))
}
