package controlclient

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against processes that overload the members which come back: while several close all connections, a process asked all of them for the
// members whenever the delay of any of them ended.
func TestFailingMembersAreAskedRarely(t *testing.T) {
	t.Parallel()
	const members = 9
	var accepted atomic.Int64
	var addresses []string
	for range members {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				accepted.Add(1)
				_ = conn.Close()
			}
		}()
	}
	w := NewWatcher(WatcherOptions{Addresses: addresses, ProcessID: "p", Role: "entry", Address: "127.0.0.1:1"})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { w.Run(ctx) })
	time.Sleep(4 * maxReconnectDelay)
	const observed = 5 * time.Second
	before := accepted.Load()
	time.Sleep(observed)
	// A session has two connections and a refresh one, each at least half of maxReconnectDelay after the last one, which is its random share.
	const limit = members * 3 * int64(observed/(maxReconnectDelay/2))
	t.Logf("%d connections, at most %d", accepted.Load()-before, limit)
	require.LessOrEqual(t, accepted.Load()-before, limit)
}
