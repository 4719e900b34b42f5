package fleetview

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/coregroup"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

type fixedList struct{}

func (fixedList) List(context.Context) ([]upstreams.Instance, error) {
	return []upstreams.Instance{{ID: "a", Service: "s", Versions: map[string]uint64{}}}, nil
}

// Guards against a large set that was accepted and then keeps every node from following: with the contents of the stores it made
// a message that is larger than a stream takes, and each new stream began with it.
func TestLargeSetDoesNotEndTheStreams(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	addresses := func() []string { return []string{address} }
	group := coregroup.New(coregroup.Options{
		Dir: t.TempDir(), Address: address, Seeds: addresses, FirstStart: true, Log: zap.NewNop(), Metrics: gometrics.NewRegistry(),
	})
	directory, placements := upstreams.NewDirectory(), NewPlacements()
	reader := &upstreams.Reader{Directory: directory, Lister: fixedList{}, ReadsForAll: group.Leads, Log: zap.NewNop()}
	server := &Server{Group: group, Directory: directory, Reader: reader, Placement: placements, EngineClock: func() float64 { return 0 }, Log: zap.NewNop()}
	mux := drpcmux.New()
	require.NoError(t, group.Register(mux))
	require.NoError(t, nodepb.DRPCRegisterNode(mux, server))
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { _ = drpcserver.New(mux).Serve(ctx, listener) })
	tasks.Go(func() { group.Run(ctx) })
	tasks.Go(func() { reader.Run(ctx) })
	document := bytes.Repeat([]byte("x"), 3<<20-1024)
	require.Eventually(t, func() bool {
		return group.Propose(ctx, &nodepb.Command{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: 7, Document: document}}}) == nil
	}, 10*time.Second, 20*time.Millisecond)
	placements.Append(&nodepb.StorePlacement{Address: strings.Repeat("x", 3<<19)}, nil)
	require.Eventually(t, reader.Current, 10*time.Second, 20*time.Millisecond)
	var mu sync.Mutex
	got := map[string]bool{}
	watcher := &Watcher{Node: "n", Contacts: addresses, Seeds: addresses, Log: zap.NewNop(), OnUpdate: func(_ string, u *nodepb.WatchUpdate) {
		mu.Lock()
		defer mu.Unlock()
		got["instances"] = got["instances"] || len(u.GetInstances().GetInstances()) == 1
		got["stores"] = got["stores"] || len(u.GetPlacements().GetStores()) == 1
	}, OnSet: func(set PublishedSet) {
		mu.Lock()
		defer mu.Unlock()
		got["set"] = got["set"] || set.Version == 7 && bytes.Equal(set.Document, document)
	}}
	tasks.Go(func() { watcher.Run(ctx) })
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return got["set"] && got["instances"] && got["stores"]
	}, 3*time.Second, 10*time.Millisecond)
}
