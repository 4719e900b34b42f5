package fleetview

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// Guards against a node that opens streams to the other core members only at its next check, after its first update has named them.
func TestNamedMembersAreDialedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const seed, other = "10.0.0.1:1", "10.0.0.2:1"
		dialed := make(chan string, 100)
		watcher := &Watcher{
			Node: "n", Contacts: func() []string { return nil }, Seeds: func() []string { return []string{seed} }, Log: zap.NewNop(),
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				dialed <- address
				<-ctx.Done()
				return nil, ctx.Err()
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		defer tasks.Wait()
		defer cancel()
		tasks.Go(func() { watcher.Run(ctx) })
		require.Equal(t, seed, <-dialed)
		began := time.Now()
		watcher.lastUpdate.Store(began.UnixNano())
		watcher.setMembers([]*nodepb.CoreMember{{Id: 1, Address: seed}, {Id: 2, Address: other}})
		for address := range dialed {
			if address == other {
				break
			}
		}
		require.Zero(t, time.Since(began))
	})
}

// Guards against a node that waits for the time limit of a dial whose first packet a starting core member dropped: until its first update a
// node dials again soon.
func TestCoreMemberThatStartsIsReachedSoon(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const starts = 60 * time.Millisecond
		began := time.Now()
		reached := make(chan time.Duration, 10)
		watcher := &Watcher{
			Node: "n", Contacts: func() []string { return nil }, Seeds: func() []string { return []string{"10.0.0.1:1"} }, Log: zap.NewNop(),
			Dial: func(ctx context.Context, _ string) (net.Conn, error) {
				if at := time.Since(began); at >= starts {
					reached <- at
				}
				<-ctx.Done()
				return nil, ctx.Err()
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		defer tasks.Wait()
		defer cancel()
		tasks.Go(func() { watcher.Run(ctx) })
		require.Less(t, <-reached, dialTimeout)
	})
}
