package kv

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/internal/fixedview"
	standin "github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/storepb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/store"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testStore is a real store behind a server whose calls a test can intercept.
type testStore struct {
	*store.Server
	pieceStore *store.Store
	link       *store.Link
	address    string
	stop       context.CancelFunc
	// onHas, onPut and onChunk run before a call or a sent chunk; nil means none.
	onHas   func(context.Context) error
	onPut   func() error
	onChunk func(context.Context, *storepb.PieceChunk) error
}

func (n *testStore) HasPieces(ctx context.Context, in *storepb.HasPiecesRequest) (*storepb.HasPiecesResponse, error) {
	if n.onHas != nil {
		if err := n.onHas(ctx); err != nil {
			return nil, err
		}
	}
	return n.Server.HasPieces(ctx, in)
}

func (n *testStore) PutPiece(stream storepb.DRPCStore_PutPieceStream) error {
	if n.onPut != nil {
		if err := n.onPut(); err != nil {
			return err
		}
	}
	return n.Server.PutPiece(stream)
}

func (n *testStore) GetPiece(in *storepb.GetPieceRequest, stream storepb.DRPCStore_GetPieceStream) error {
	return n.Server.GetPiece(in, &interceptedStream{stream, n})
}

// interceptedStream calls onChunk before each sent chunk.
type interceptedStream struct {
	storepb.DRPCStore_GetPieceStream
	node *testStore
}

func (d *interceptedStream) Send(chunk *storepb.PieceChunk) error {
	if d.node.onChunk != nil {
		if err := d.node.onChunk(d.Context(), chunk); err != nil {
			return err
		}
	}
	return d.DRPCStore_GetPieceStream.Send(chunk)
}

func startTestStore(t *testing.T, name string) *testStore {
	t.Helper()
	fs, err := store.NewDirFS(t.TempDir())
	require.NoError(t, err)
	pieceStore, err := store.New(fs, store.Settings{Name: name})
	require.NoError(t, err)
	link := store.NewLink(0, func(string) int { return 0 })
	n := &testStore{Server: store.NewServer(pieceStore, link, store.ServerOptions{}), pieceStore: pieceStore, link: link}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, storepb.DRPCRegisterStore(mux, n))
	ctx, stop := context.WithCancel(context.Background())
	n.address, n.stop = listener.Addr().String(), stop
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = drpcserver.New(mux).Serve(ctx, listener) })
	t.Cleanup(func() {
		stop()
		_ = listener.Close()
		tasks.Wait()
		link.Close()
	})
	return n
}

// fakeCache is the agent's estimate of the engine's cache.
type fakeCache struct {
	mu    sync.Mutex
	names map[piece.Name]bool
}

func (b *fakeCache) PrefixPieces(names []piece.Name) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, name := range names {
		if !b.names[name] {
			return i
		}
	}
	return len(names)
}

func (b *fakeCache) RecordStored(name piece.Name) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.names[name] = true
}

func (b *fakeCache) RecordEvicted(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for known := range b.names {
		if known.String() == name {
			delete(b.names, known)
		}
	}
}

func (b *fakeCache) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.names)
}

// testbed is one engine with a Mover, and its stores.
type testbed struct {
	t        *testing.T
	engine   *standin.Server
	client   *engine.HTTP
	stores   []*testStore
	view     *fixedview.View
	cache    *fakeCache
	registry gometrics.Registry
	mover    *Mover
}

const (
	// prefillRate is the rate that plans use; a piece takes 200 ms.
	prefillRate   = 10_000
	bytesPerToken = 64
	pieceBytes    = bytesPerToken * piece.TokensPerPiece
)

func newTestbed(t *testing.T, options Options) *testbed {
	t.Helper()
	return newTestbedWithStores(t, options, startTestStore(t, "s1"), startTestStore(t, "s2"))
}

func newTestbedWithStores(t *testing.T, options Options, nodes ...*testStore) *testbed {
	t.Helper()
	return newTestbedWithTokenBytes(t, options, bytesPerToken, nodes...)
}

// newTestbedWithTokenBytes is a testbed whose engine keeps tokenBytes of KV cache per token.
func newTestbedWithTokenBytes(t *testing.T, options Options, tokenBytes int64, nodes ...*testStore) *testbed {
	t.Helper()
	w := &testbed{t: t, stores: nodes, cache: &fakeCache{names: map[piece.Name]bool{}}, registry: gometrics.NewRegistry()}
	set := &objectset.Set{}
	for i, n := range nodes {
		set.Stores = append(set.Stores, objectset.Store{Name: fmt.Sprintf("s%d", i+1), Address: n.address, LinkBytesPerSecond: 50_000_000})
	}
	w.view = fixedview.New(set)
	w.engine = standin.New(standin.Settings{WeightVersion: "v1", TimeScale: 50, CacheTokens: 4 * piece.TokensPerPiece, KVBytesPerToken: tokenBytes})
	server := httptest.NewServer(w.engine)
	w.client = engine.NewHTTP(strings.TrimPrefix(server.URL, "http://"), engine.HTTPOptions{})
	if options.LossProbability == 0 {
		options.LossProbability = 1 // A loss that is certain makes a second copy of each piece worth it, so both stores take part.
	}
	pool := rpcpool.New(rpcpool.Options{})
	w.mover = New(options, Dependencies{
		Source: w.view, Engine: w.client, Stores: store.NewClient(pool, store.ClientOptions{}), Cache: w.cache, Registry: w.registry,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { w.mover.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		_ = pool.Close()
		w.client.Close()
		server.CloseClientConnections()
		w.engine.Close()
		server.Close()
	})
	return w
}

// request describes a prompt of the given number of whole pieces and a partial one.
func request(topic string, pieces int) Request {
	scope := piece.Scope{Account: "a", Model: "model", WeightVersion: "v1"}
	return Request{
		ID: topic, Rank: "urgent", Scope: scope, Pieces: piece.Names(piece.Key{}, scope, words(topic, pieces)),
		PromptTokens: int64(pieces*piece.TokensPerPiece + 10), PieceBytes: pieceBytes, Deadline: time.Now().Add(time.Minute),
		Engine: func() EngineState { return EngineState{PrefillRate: prefillRate, LongShare: 1} },
	}
}

func words(topic string, pieces int) []string {
	list := make([]string, pieces*piece.TokensPerPiece+10)
	for i := range list {
		list[i] = fmt.Sprintf("%s%d", topic, i)
	}
	return list
}

// run sends the prompt to the engine and returns the number of cached tokens that it used.
func (w *testbed) run(r Request) int64 {
	w.t.Helper()
	names := make([]string, len(r.Pieces))
	for i, name := range r.Pieces {
		names[i] = name.String()
	}
	stream, err := w.client.Generate(w.t.Context(), engine.Request{
		RequestID: r.ID, Model: "model", WeightVersion: "v1", Prompt: strings.Join(words(r.ID, len(r.Pieces)), " "), MaxTokens: 1,
		CacheScope: r.Scope.Account, PieceNames: names,
	})
	require.NoError(w.t, err)
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		require.NoError(w.t, err)
		if event.Final {
			_, err = stream.Next()
			require.ErrorIs(w.t, err, io.EOF)
			return event.CachedTokens
		}
	}
}

// serve prepares and runs a prompt, as the agent does.
func (w *testbed) serve(r Request) (session *Session, cachedTokens int64) {
	w.t.Helper()
	session = w.mover.Prepare(w.t.Context(), r)
	cachedTokens = w.run(r)
	session.PrefillDone()
	session.QueueExports()
	session.Close()
	return session, cachedTokens
}

// storeAndEvict serves a prompt until all stores hold its pieces, and makes the engine evict them.
func (w *testbed) storeAndEvict(r Request) {
	w.t.Helper()
	w.serve(r)
	w.awaitCount("exported", int64(len(r.Pieces)*len(w.stores)))
	w.evict()
}

// evict fills the engine's cache with other pieces.
func (w *testbed) evict() {
	w.t.Helper()
	w.run(request("filler"+fmt.Sprint(time.Now().UnixNano()), 4))
	w.cache.clear()
}

func (w *testbed) count(name string) int64 {
	return gometrics.GetOrRegisterCounter("pieces."+name, w.registry).Count()
}

func (w *testbed) awaitCount(name string, atLeast int64) {
	w.t.Helper()
	require.Eventually(w.t, func() bool { return w.count(name) >= atLeast }, 10*time.Second, time.Millisecond, "%s", name)
}
