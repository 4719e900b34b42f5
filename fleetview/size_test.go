package fleetview

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

type fixedList struct{}

func (fixedList) List(context.Context) ([]upstreams.Instance, error) {
	return []upstreams.Instance{{ID: "a", Service: "s", Versions: map[string]uint64{}}}, nil
}

// received is what has arrived of a large set and of the updates beside it.
type received struct {
	mu                     sync.Mutex
	set, instances, stores bool
}

func (r *received) addUpdate(u *nodepb.WatchUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = r.instances || len(u.GetInstances().GetInstances()) == 1
	r.stores = r.stores || len(u.GetPlacements().GetStores()) == 1
}

func (r *received) addSet(isExpected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set = r.set || isExpected
}

func (r *received) all() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set && r.instances && r.stores
}

// publishLargest publishes a set of the largest size, beside a large report on stores.
func publishLargest(t *testing.T) (server *Server, addresses []string, document []byte) {
	t.Helper()
	members, addresses := startMembers(t, 1, windowBytes)
	document = bytes.Repeat([]byte("x"), 3<<20-1024)
	publishSet(t, members, 7, document)
	members[0].server.Placement.Append(&nodepb.StorePlacement{Address: strings.Repeat("x", 3<<19)}, nil)
	require.Eventually(t, members[0].server.Reader.Current, 10*time.Second, 20*time.Millisecond)
	return members[0].server, addresses, document
}

// Guards against a large set that was accepted and then keeps every node from following.
func TestLargeSetDoesNotEndTheStreams(t *testing.T) {
	_, addresses, document := publishLargest(t)
	contacts := func() []string { return addresses }
	got := &received{}
	watcher := &Watcher{
		Node: "n", Contacts: contacts, Seeds: contacts, Log: zap.NewNop(), OnUpdate: func(_ string, u *nodepb.WatchUpdate) { got.addUpdate(u) },
		OnSet: func(set PublishedSet) { got.addSet(set.Version == 7 && bytes.Equal(set.Document, document)) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { watcher.Run(ctx) })
	require.Eventually(t, got.all, 3*time.Second, 10*time.Millisecond)
}

// Guards against a set that makes a message with the contents of the stores that is larger than a stream takes: each new stream of a
// node of an earlier version begins with it.
func TestSetIsSentAlone(t *testing.T) {
	server, _, document := publishLargest(t)
	state, _ := server.Group.State()
	sent := &position{}
	update := server.update(state, sent, true)
	require.Equal(t, document, update.GetDocument())
	require.Nil(t, update.GetPlacements())
	update = server.update(state, sent, true)
	require.Empty(t, update.GetDocument())
	require.NotNil(t, update.GetPlacements())
}

// Guards against nodes of an earlier version that never get a set, because they do not fetch sets.
func TestNodeOfAnEarlierVersionGetsSets(t *testing.T) {
	_, addresses, document := publishLargest(t)
	conn, err := rpcpool.Dial(t.Context(), addresses[0], time.Second)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	stream, err := nodepb.NewDRPCNodeClient(conn).Watch(t.Context())
	require.NoError(t, err)
	require.NoError(t, stream.Send(&nodepb.WatchRequest{Node: "n"}))
	got := &received{}
	for !got.all() {
		update, err := stream.Recv()
		require.NoError(t, err)
		got.addUpdate(update)
		got.addSet(update.GetSetVersion() == 7 && bytes.Equal(update.GetDocument(), document))
	}
}
