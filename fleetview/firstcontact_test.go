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

// runWatcher runs a watcher of one seed, whose dials end with their contexts, until the test ends. dialed is called at the begin of each dial.
func runWatcher(t *testing.T, seed string, dialed func(address string)) *Watcher {
	w := &Watcher{
		Node: "n", Contacts: func() []string { return nil }, Seeds: func() []string { return []string{seed} }, Log: zap.NewNop(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			dialed(address)
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	tasks.Go(func() { w.Run(ctx) })
	return w
}

// Guards against a node that opens streams to the other core members only at its next check, after its first update has named them.
func TestNamedMembersAreDialedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const seed, other = "10.0.0.1:1", "10.0.0.2:1"
		dialed := make(chan string, 100)
		watcher := runWatcher(t, seed, func(address string) { dialed <- address })
		require.Equal(t, seed, <-dialed)
		began := time.Now()
		watcher.lastUpdate.Store(&began)
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
		reached := make(chan time.Duration, 100)
		runWatcher(t, "10.0.0.1:1", func(string) {
			if at := time.Since(began); at >= starts {
				reached <- at
			}
		})
		require.Less(t, <-reached, dialTimeout)
	})
}
