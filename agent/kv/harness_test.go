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

// node is a real store behind a server whose calls a test may disturb.
type node struct {
	*store.Server
	kept    *store.Store
	link    *store.Link
	address string
	stop    context.CancelFunc
	// onHas, onPut and onChunk run before a call or a sent chunk; nil does nothing.
	onHas   func(context.Context) error
	onPut   func() error
	onChunk func(context.Context, *storepb.PieceChunk) error
}

func (n *node) HasPieces(ctx context.Context, in *storepb.HasPiecesRequest) (*storepb.HasPiecesResponse, error) {
	if n.onHas != nil {
		if err := n.onHas(ctx); err != nil {
			return nil, err
		}
	}
	return n.Server.HasPieces(ctx, in)
}

func (n *node) PutPiece(stream storepb.DRPCStore_PutPieceStream) error {
	if n.onPut != nil {
		if err := n.onPut(); err != nil {
			return err
		}
	}
	return n.Server.PutPiece(stream)
}

func (n *node) GetPiece(in *storepb.GetPieceRequest, stream storepb.DRPCStore_GetPieceStream) error {
	return n.Server.GetPiece(in, &disturbed{stream, n})
}

// disturbed passes each sent chunk through onChunk.
type disturbed struct {
	storepb.DRPCStore_GetPieceStream
	node *node
}

func (d *disturbed) Send(chunk *storepb.PieceChunk) error {
	if d.node.onChunk != nil {
		if err := d.node.onChunk(d.Context(), chunk); err != nil {
			return err
		}
	}
	return d.DRPCStore_GetPieceStream.Send(chunk)
}

func startNode(t *testing.T, name string) *node {
	t.Helper()
	fs, err := store.NewDirFS(t.TempDir())
	require.NoError(t, err)
	kept, err := store.New(fs, store.Settings{Name: name})
	require.NoError(t, err)
	link := store.NewLink(0, func(string) int { return 0 })
	n := &node{Server: store.NewServer(kept, link, store.ServerOptions{}), kept: kept, link: link}
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

// believed is what the agent believes of the engine's cache.
type believed struct {
	mu    sync.Mutex
	names map[piece.Name]bool
}

func (b *believed) PrefixPieces(names []piece.Name) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, name := range names {
		if !b.names[name] {
			return i
		}
	}
	return len(names)
}

func (b *believed) Stored(name piece.Name) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.names[name] = true
}

func (b *believed) Gone(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for known := range b.names {
		if known.String() == name {
			delete(b.names, known)
		}
	}
}

func (b *believed) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.names)
}

// world is one engine with a mover, and two stores.
type world struct {
	t        *testing.T
	engine   *standin.Server
	client   *engine.HTTP
	stores   []*node
	view     *fixedview.View
	cache    *believed
	registry gometrics.Registry
	mover    *Mover
}

const (
	// prefillRate is the speed that plans count on: a piece takes 200 ms.
	prefillRate   = 10_000
	bytesPerToken = 64
	pieceBytes    = bytesPerToken * piece.TokensPerPiece
)

func newWorld(t *testing.T, options Options) *world {
	t.Helper()
	return worldBeside(t, options, startNode(t, "s1"), startNode(t, "s2"))
}

func worldBeside(t *testing.T, options Options, nodes ...*node) *world {
	t.Helper()
	return worldOf(t, options, bytesPerToken, nodes...)
}

// worldOf is a world whose engine keeps so many bytes for each token.
func worldOf(t *testing.T, options Options, tokenBytes int64, nodes ...*node) *world {
	t.Helper()
	w := &world{t: t, stores: nodes, cache: &believed{names: map[piece.Name]bool{}}, registry: gometrics.NewRegistry()}
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

// request describes a prompt of so many pieces and a partial one.
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

// run gives the prompt to the engine and returns the tokens that came from its cache.
func (w *world) run(r Request) int64 {
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
func (w *world) serve(r Request) (ticket *Ticket, cachedTokens int64) {
	w.t.Helper()
	ticket = w.mover.Prepare(w.t.Context(), r)
	cachedTokens = w.run(r)
	ticket.Computed()
	ticket.Ran()
	ticket.Done()
	return ticket, cachedTokens
}

// keep serves a prompt until both stores hold its pieces, and makes the engine evict them.
func (w *world) keep(r Request) {
	w.t.Helper()
	w.serve(r)
	w.await("exported", int64(len(r.Pieces)*len(w.stores)))
	w.evict()
}

// evict fills the engine's cache with other pieces.
func (w *world) evict() {
	w.t.Helper()
	w.run(request("filler"+fmt.Sprint(time.Now().UnixNano()), 4))
	w.cache.forget()
}

func (w *world) count(name string) int64 {
	return gometrics.GetOrRegisterCounter("pieces."+name, w.registry).Count()
}

func (w *world) await(name string, atLeast int64) {
	w.t.Helper()
	require.Eventually(w.t, func() bool { return w.count(name) >= atLeast }, 10*time.Second, time.Millisecond, "%s", name)
}
