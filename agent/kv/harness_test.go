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

func (s *testStore) HasPieces(ctx context.Context, in *storepb.HasPiecesRequest) (*storepb.HasPiecesResponse, error) {
	if s.onHas != nil {
		if err := s.onHas(ctx); err != nil {
			return nil, err
		}
	}
	return s.Server.HasPieces(ctx, in)
}

func (s *testStore) PutPiece(stream storepb.DRPCStore_PutPieceStream) error {
	if s.onPut != nil {
		if err := s.onPut(); err != nil {
			return err
		}
	}
	return s.Server.PutPiece(stream)
}

func (s *testStore) GetPiece(in *storepb.GetPieceRequest, stream storepb.DRPCStore_GetPieceStream) error {
	return s.Server.GetPiece(in, &interceptedStream{stream, s})
}

// interceptedStream calls onChunk before each sent chunk.
type interceptedStream struct {
	storepb.DRPCStore_GetPieceStream
	store *testStore
}

func (s *interceptedStream) Send(chunk *storepb.PieceChunk) error {
	if s.store.onChunk != nil {
		if err := s.store.onChunk(s.Context(), chunk); err != nil {
			return err
		}
	}
	return s.DRPCStore_GetPieceStream.Send(chunk)
}

func startTestStore(t *testing.T, name string) *testStore {
	t.Helper()
	fs, err := store.NewDirFS(t.TempDir())
	require.NoError(t, err)
	pieceStore, err := store.New(fs, store.Settings{Name: name})
	require.NoError(t, err)
	link := store.NewLink(0, func(string) int { return 0 })
	s := &testStore{Server: store.NewServer(pieceStore, link, store.ServerOptions{}), pieceStore: pieceStore, link: link}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, storepb.DRPCRegisterStore(mux, s))
	ctx, stop := context.WithCancel(context.Background())
	s.address, s.stop = listener.Addr().String(), stop
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = drpcserver.New(mux).Serve(ctx, listener) })
	t.Cleanup(func() {
		stop()
		_ = listener.Close()
		tasks.Wait()
		link.Close()
	})
	return s
}

// fakeCache implements Cache without a limit.
type fakeCache struct {
	mu    sync.Mutex
	names map[piece.Name]bool
}

func (c *fakeCache) PrefixPieces(names []piece.Name) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, name := range names {
		if !c.names[name] {
			return i
		}
	}
	return len(names)
}

func (c *fakeCache) RecordStored(name piece.Name) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names[name] = true
}

func (c *fakeCache) RecordEvicted(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cached := range c.names {
		if cached.String() == name {
			delete(c.names, cached)
		}
	}
}

func (c *fakeCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.names)
}

// testbed is one engine with a Mover, and its stores.
type testbed struct {
	t        *testing.T
	engine   *standin.Server
	server   *httptest.Server
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

func newTestbedWithStores(t *testing.T, options Options, stores ...*testStore) *testbed {
	t.Helper()
	return newTestbedWithTokenBytes(t, options, bytesPerToken, stores...)
}

// newTestbedWithTokenBytes is a testbed whose engine keeps tokenBytes of KV cache per token.
func newTestbedWithTokenBytes(t *testing.T, options Options, tokenBytes int64, stores ...*testStore) *testbed {
	t.Helper()
	bed := &testbed{t: t, stores: stores, cache: &fakeCache{names: map[piece.Name]bool{}}, registry: gometrics.NewRegistry()}
	set := &objectset.Set{}
	for i, s := range stores {
		set.Stores = append(set.Stores, objectset.Store{Name: fmt.Sprintf("s%d", i+1), Address: s.address, LinkBytesPerSecond: 50_000_000})
	}
	bed.view = fixedview.New(set)
	bed.engine = standin.New(standin.Settings{WeightVersion: "v1", TimeScale: 50, CacheTokens: 4 * piece.TokensPerPiece, KVBytesPerToken: tokenBytes})
	bed.server = httptest.NewServer(bed.engine)
	bed.client = engine.NewHTTP(strings.TrimPrefix(bed.server.URL, "http://"), engine.HTTPOptions{})
	if options.LossProbability == 0 {
		options.LossProbability = 1 // A certain loss makes a second copy of each piece worth its cost, so both stores get every piece.
	}
	pool := rpcpool.New(rpcpool.Options{})
	bed.mover = New(options, Dependencies{
		Source: bed.view, Engine: bed.client, Stores: store.NewClient(pool, store.ClientOptions{}), Cache: bed.cache, Registry: bed.registry,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { bed.mover.Run(ctx) })
	server, client := bed.server, bed.client
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		_ = pool.Close()
		client.Close()
		server.CloseClientConnections()
		bed.engine.Close()
		server.Close()
	})
	return bed
}

// endMoverCalls ends the mover's connections to the engine, after which no call that the mover has sent can reach the engine.
// Runs get a server and a client of their own.
func (bed *testbed) endMoverCalls() {
	bed.server.Close()
	server := httptest.NewServer(bed.engine)
	client := engine.NewHTTP(strings.TrimPrefix(server.URL, "http://"), engine.HTTPOptions{})
	bed.server, bed.client = server, client
	bed.t.Cleanup(func() {
		client.Close()
		server.Close()
	})
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
func (bed *testbed) run(r Request) int64 {
	bed.t.Helper()
	names := make([]string, len(r.Pieces))
	for i, name := range r.Pieces {
		names[i] = name.String()
	}
	stream, err := bed.client.Generate(bed.t.Context(), engine.Request{
		RequestID: r.ID, Model: "model", WeightVersion: "v1", Prompt: strings.Join(words(r.ID, len(r.Pieces)), " "), MaxTokens: 1,
		CacheScope: r.Scope.Account, PieceNames: names,
	})
	require.NoError(bed.t, err)
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		require.NoError(bed.t, err)
		if event.Final {
			_, err = stream.Next()
			require.ErrorIs(bed.t, err, io.EOF)
			return event.CachedTokens
		}
	}
}

// serve prepares and runs a prompt, as the agent does.
func (bed *testbed) serve(r Request) (session *Session, cachedTokens int64) {
	bed.t.Helper()
	session = bed.mover.Prepare(bed.t.Context(), r)
	cachedTokens = bed.run(r)
	session.PrefillDone()
	session.QueueExports()
	session.Close()
	return session, cachedTokens
}

// storeAndEvict serves a prompt until all stores hold its pieces, and makes the engine evict them.
func (bed *testbed) storeAndEvict(r Request) {
	bed.t.Helper()
	bed.serve(r)
	bed.awaitCount("exported", int64(len(r.Pieces)*len(bed.stores)))
	bed.evict()
}

// evict fills the engine's cache with other pieces.
func (bed *testbed) evict() {
	bed.t.Helper()
	bed.run(request("filler"+fmt.Sprint(time.Now().UnixNano()), 4))
	bed.cache.clear()
}

func (bed *testbed) count(name string) int64 {
	return gometrics.GetOrRegisterCounter("pieces."+name, bed.registry).Count()
}

func (bed *testbed) awaitCount(name string, atLeast int64) {
	bed.t.Helper()
	require.Eventually(bed.t, func() bool { return bed.count(name) >= atLeast }, 10*time.Second, time.Millisecond, "%s", name)
}
