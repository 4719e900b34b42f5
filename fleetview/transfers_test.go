package fleetview

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// silentAddress returns an address that accepts connections and never answers.
func silentAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var mu sync.Mutex
	var accepted []net.Conn
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			accepted = append(accepted, conn)
			mu.Unlock()
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		tasks.Wait()
		for _, conn := range accepted {
			_ = conn.Close()
		}
	})
	return listener.Addr().String()
}

// Guards against a node that waits for the end of each transfer from a member that does not answer although another member has the set:
// behind several of them it gets the set seconds too late.
func TestSilentMembersDoNotDelayASet(t *testing.T) {
	members, addresses := startMembers(t, 5, windowBytes)
	publishSet(t, members, 1, routesDocument(1, 20))
	// The node asks the members in this order.
	slices.SortFunc(addresses, func(a, b string) int {
		if xxhash.Sum64String("thin"+a) < xxhash.Sum64String("thin"+b) {
			return -1
		}
		return 1
	})
	answering := addresses[len(addresses)-1]
	node := startThinNode(t, addresses, 100*thinLink, windowBytes)
	require.Eventually(t, node.has(1), applyLimit, 5*time.Millisecond)
	silent := silentAddress(t)
	node.mu.Lock()
	node.reroute = func(address string) string {
		if address == answering {
			return address
		}
		return silent
	}
	node.mu.Unlock()
	publishSet(t, members, 2, routesDocument(2, 20))
	require.Eventually(t, node.has(2), applyLimit, 5*time.Millisecond)
}

// startedTransfer adds a transfer to t and returns the other end of its connection, from which bytes can be sent.
func startedTransfer(t *testing.T, all *transfers, address string, now time.Time) (added *transfer, send func(), ctx context.Context) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	added = &transfer{address: address, begun: now, progressAt: now, cancel: cancel}
	conn := rpcpool.NewIdleConn(near, time.Hour)
	added.conn.Store(conn)
	all.active[added] = struct{}{}
	all.fetcher.begin(address)
	return added, func() {
		go func() { _, _ = far.Write([]byte{0}) }()
		_, err := conn.Read(make([]byte, 1))
		require.NoError(t, err)
	}, ctx
}

// Guards against several copies of a set on the link of a node: a second transfer begins only if nothing arrives, and ends once something
// does.
func TestTransfersRunAloneWhileBytesArrive(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newSetFetcher(&Watcher{Node: "n", AvailabilityZone: "a", Log: zap.NewNop()})
	for _, address := range []string{"first", "second", "third"} {
		f.announce(address, "a", 5)
	}
	all := newTransfers(f)
	first, sendFirst, firstCtx := startedTransfer(t, all, "first", now)
	require.False(t, all.mayBegin(now.Add(silenceLimit-time.Millisecond)))
	sendFirst()
	now = now.Add(silenceLimit - time.Millisecond)
	all.recordProgress(now)
	require.False(t, all.mayBegin(now.Add(silenceLimit-time.Millisecond)), "bytes arrived")
	now = now.Add(silenceLimit)
	require.True(t, all.mayBegin(now))

	_, sendSecond, secondCtx := startedTransfer(t, all, "second", now)
	require.False(t, all.mayBegin(now), "the second one has just begun")
	next, _, _, _ := f.next()
	require.Equal(t, "third", next, "no member is asked twice at a time")
	sendSecond()
	all.recordProgress(now)
	require.Len(t, all.active, 1)
	require.NotContains(t, all.active, first)
	require.Error(t, firstCtx.Err(), "the silent one is given up")
	require.NoError(t, secondCtx.Err())

	now = now.Add(silenceLimit)
	startedTransfer(t, all, "first", now)
	startedTransfer(t, all, "third", now)
	require.False(t, all.mayBegin(now.Add(time.Hour)), "at most maxTransfers")
}

// Guards against a member that counts as failed because its transfer was given up for another one, and is then avoided.
func TestGivenUpTransferIsNoFailure(t *testing.T) {
	now := time.Now()
	f := newSetFetcher(&Watcher{Node: "n", AvailabilityZone: "a", Log: zap.NewNop(), OnSet: func(PublishedSet) {}})
	f.announce("near", "a", 5)
	f.announce("far", "b", 5)
	all := newTransfers(f)
	near, _, _ := startedTransfer(t, all, "near", now)
	far, _, _ := startedTransfer(t, all, "far", now)
	far.set = PublishedSet{Version: 5, Document: []byte("x")}
	all.finish(t.Context(), far)
	require.Empty(t, all.active)
	near.err = context.Canceled
	all.finish(t.Context(), near)
	f.announce("near", "a", 6)
	address, have, limit, _ := f.next()
	require.Equal(t, "near", address)
	require.Equal(t, uint64(5), have.Version)
	require.Equal(t, minStallLimit, limit)
}
