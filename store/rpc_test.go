package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"storj.io/drpc"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/storepb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is a served store with a client.
type node struct {
	store   *Store
	link    *Link
	client  *Client
	pool    *rpcpool.Pool
	address string
}

func serve(t testing.TB, fs FS, settings Settings, rate float64, options ServerOptions) *node {
	t.Helper()
	s, err := New(fs, settings)
	require.NoError(t, err)
	link := NewLink(rate, func(rank string) int { return map[string]int{"urgent": 0}[rank] })
	listener, err := Listen(context.Background(), "127.0.0.1:0", NewServer(s, link, options), ListenOptions{})
	require.NoError(t, err)
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = listener.Serve() })
	pool := rpcpool.New(rpcpool.Options{})
	t.Cleanup(func() {
		_ = pool.Close()
		listener.Close()
		link.Close()
		tasks.Wait()
	})
	return &node{s, link, NewClient(pool, ClientOptions{}), pool, listener.Address()}
}

// Guards against pieces of one or several chunks that change on the wire, and against reads by another account.
func TestPiecesCrossTheWire(t *testing.T) {
	n := serve(t, newMemFS(), Settings{Name: "s1"}, 0, ServerOptions{})
	for number, length := range []int{0, 1, chunkBytes, chunkBytes + 1, 3*chunkBytes + 17} {
		h, body := sample(number, 0, length)
		outcome, err := n.client.Put(t.Context(), n.address, h, body, "urgent")
		require.NoError(t, err)
		require.Equal(t, Stored, outcome)
		got, gotBody, err := n.client.Get(t.Context(), n.address, wantFor(h), "urgent")
		require.NoError(t, err)
		assert.True(t, bytes.Equal(body, gotBody))
		assert.Equal(t, uint64(number+1), got.Generation)
		_, _, err = n.client.Get(t.Context(), n.address, piece.Want{Name: h.Name, Account: "other"}, "urgent")
		assert.True(t, failure.Is(err, failure.NotFound))
		result, err := n.client.Has(t.Context(), n.address, testAccount, "urgent", []piece.Name{h.Name, {1}})
		require.NoError(t, err)
		assert.Equal(t, []bool{true, false}, result.Held)
	}
	status, err := n.client.Status(t.Context(), n.address)
	require.NoError(t, err)
	assert.Equal(t, int64(5), status.Pieces)
	assert.Equal(t, int64(5), status.Hits)
}

// Guards against refusals that are lost if the store responds before it has read the body.
func TestRefusalsReachTheCaller(t *testing.T) {
	n := serve(t, newMemFS(), Settings{MaxPieceBytes: 1 << 20}, 0, ServerOptions{})
	check := func(want Outcome, h piece.Header, body []byte) {
		outcome, err := n.client.Put(t.Context(), n.address, h, body, "")
		require.NoError(t, err)
		assert.Equal(t, want, outcome)
	}
	large, largeBody := sample(1, 0, 2<<20)
	check(RefusedOversize, large, largeBody)
	h, body := sample(1, 0, 1000)
	check(RefusedChecksum, h, make([]byte, 1000))
	n.store.SetDraining()
	check(RefusedDraining, h, body)
}

// Guards against a stored piece whose put ended without its last chunk or had too many bytes.
func TestTornPutIsNotStored(t *testing.T) {
	fs := newMemFS()
	n := serve(t, fs, Settings{}, 0, ServerOptions{})
	h, body := sample(1, 0, 1000)
	cases := map[string][]*storepb.PieceChunk{
		"no last chunk":  {{Data: body}},
		"short":          {{Data: body[:999], Last: true}},
		"long":           {{Data: append(bytes.Clone(body), 0), Last: true}},
		"empty chunk":    {{}},
		"header only":    {},
		"invalid header": nil,
	}
	for name, chunks := range cases {
		conn := n.pool.Get(t.Context(), n.address)
		stream, err := storepb.NewDRPCStoreClient(conn).PutPiece(t.Context())
		require.NoError(t, err)
		header := headerToWire(h)
		if chunks == nil {
			header.Name = header.Name[:3]
		}
		require.NoError(t, stream.Send(&storepb.PieceChunk{Header: header}))
		for _, chunk := range chunks {
			require.NoError(t, stream.Send(chunk))
		}
		result, err := stream.CloseAndRecv()
		assert.True(t, err != nil || !result.Stored, name)
		_ = stream.Close()
		_ = conn.Close()
	}
	requireMiss(t, n.store, wantFor(h))
	assert.Zero(t, fs.count())
}

// scriptedStream is a GetPiece stream that returns fixed chunks and then io.EOF.
type scriptedStream struct {
	drpc.Stream
	chunks []*storepb.PieceChunk
}

func (s *scriptedStream) Recv() (*storepb.PieceChunk, error) {
	if len(s.chunks) == 0 {
		return nil, io.EOF
	}
	chunk := s.chunks[0]
	s.chunks = s.chunks[1:]
	return chunk, nil
}

// Guards against a client that returns a body which is not exactly the requested piece.
func TestClientRefusesWhatIsNotThePiece(t *testing.T) {
	h, body := sample(1, 0, 1000)
	other, otherBody := sample(2, 0, 1000)
	damaged := bytes.Clone(body)
	damaged[7] ^= 1
	otherAccount := h
	otherAccount.Account = "other"
	cases := map[string][]*storepb.PieceChunk{
		"nothing":       {},
		"clean close":   {{Header: headerToWire(h)}, {Data: body}},
		"short":         {{Header: headerToWire(h)}, {Data: body[:500], Last: true}},
		"damaged":       {{Header: headerToWire(h)}, {Data: damaged, Last: true}},
		"other piece":   {{Header: headerToWire(other)}, {Data: otherBody, Last: true}},
		"other account": {{Header: headerToWire(otherAccount)}, {Data: body, Last: true}},
		"no header":     {{Data: body, Last: true}},
	}
	for name, chunks := range cases {
		_, _, err := (&Client{options: ClientOptions{}.withDefaults()}).read(wantFor(h), &scriptedStream{chunks: chunks})
		require.Error(t, err, name)
	}
	_, got, err := (&Client{options: ClientOptions{}.withDefaults()}).read(wantFor(h), &scriptedStream{chunks: []*storepb.PieceChunk{
		{Header: headerToWire(h)}, {Data: body, Last: true},
	}})
	require.NoError(t, err)
	assert.Equal(t, body, got)
}

// Guards against a call to an unresponsive store that does not end with the caller's deadline.
func TestSilentStoreEndsWithTheDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	pool := rpcpool.New(rpcpool.Options{})
	defer func() { _ = pool.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	h, _ := sample(1, 0, 10)
	_, _, err = NewClient(pool, ClientOptions{}).Get(ctx, listener.Addr().String(), wantFor(h), "")
	assert.True(t, failure.Is(err, failure.DeadlineExceeded), "got %v", err)
}

// Guards against a sender that stops in the middle of a transfer and keeps its part of the transfer budget forever.
func TestStalledPutIsEnded(t *testing.T) {
	n := serve(t, newMemFS(), Settings{MaxPieceBytes: 1000}, 0, ServerOptions{TransferTimeout: 100 * time.Millisecond, MaxTransferBytes: 1000})
	h, body := sample(1, 0, 1000)
	conn := n.pool.Get(t.Context(), n.address)
	defer func() { _ = conn.Close() }()
	stream, err := storepb.NewDRPCStoreClient(conn).PutPiece(t.Context())
	require.NoError(t, err)
	defer func() { _ = stream.Close() }()
	require.NoError(t, stream.Send(&storepb.PieceChunk{Header: headerToWire(h), Rank: ""}))
	// The stalled transfer uses the whole budget, so this put succeeds only after the store has ended it.
	require.Eventually(t, func() bool {
		outcome, err := n.client.Put(t.Context(), n.address, h, body, "")
		return err == nil && outcome == Stored
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against bulk transfers that delay urgent ones on a slow link. At 1 MB/s the bulk pieces take 8 s. The limit
// for the urgent one, 64 KB after one chunk of 256 KiB, is 1 s.
func TestUrgentTransferOvertakesBulk(t *testing.T) {
	n := serve(t, newMemFS(), Settings{}, 1e6, ServerOptions{})
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	for number := range 8 {
		h, _ := put(t, n.store, number, 1_000_000)
		tasks.Go(func() { _, _, _ = n.client.Get(ctx, n.address, wantFor(h), RankBulk) })
	}
	h, _ := put(t, n.store, 100, 64_000)
	require.Eventually(t, func() bool { wait, _ := n.link.Wait(RankBulk); return wait > 0 }, 5*time.Second, time.Millisecond)
	begin := time.Now()
	_, _, err := n.client.Get(t.Context(), n.address, wantFor(h), "urgent")
	require.NoError(t, err)
	assert.Less(t, time.Since(begin), time.Second)
}

// Guards against a refill that misses pieces, copies those that another store should hold, or copies less valuable ones
// before more valuable ones.
func TestRefillCopiesTheMostValuablePiecesFirst(t *testing.T) {
	a := serve(t, newMemFS(), Settings{Name: "a"}, 0, ServerOptions{})
	for number := range 60 {
		h, body := sample(number, 0, 1000)
		h.RecomputeMs = int64(number + 1)
		_, err := a.store.Put(h, body, 0)
		require.NoError(t, err)
	}
	capacity := 10*fileBytes(piece.Header{Account: testAccount, WeightVersion: "v1", Length: 1000}) + 100
	b := serve(t, newMemFS(), Settings{Name: "b", DiskBytes: capacity}, 0, ServerOptions{})
	refiller := NewRefiller(b.store, b.link, b.client, RefillOptions{Self: "b", MaxFill: 1})
	copied, err := refiller.Round(t.Context(), []Peer{{"a", a.address}, {"gone", "127.0.0.1:1"}})
	require.Error(t, err, "the lost peer must be reported")
	stores := []string{"a", "b", "gone"}
	expected := 0
	for number := 59; number >= 0; number-- {
		h, body := sample(number, 0, 1000)
		holds := slices.Contains(Holders(h.Name, stores), "b")
		if holds && expected < 10 {
			expected++
			requireHeld(t, b.store, h, body)
			continue
		}
		assert.False(t, b.store.Has(testAccount, []piece.Name{h.Name})[0])
	}
	assert.Equal(t, 10, expected, "the test needs more pieces than fit")
	assert.Equal(t, expected, copied)
	copied, err = refiller.Round(t.Context(), []Peer{{"a", a.address}, {"gone", "127.0.0.1:1"}})
	require.Error(t, err)
	assert.Zero(t, copied)
}

// Guards against a refill that copies nothing after the first round because pieces that it already holds count towards
// MaxPieces.
func TestRefillGoesOnInTheNextRound(t *testing.T) {
	a := serve(t, newMemFS(), Settings{Name: "a"}, 0, ServerOptions{})
	for number, held := 0, 0; held < maxListed+50; number++ {
		h, body := sample(number, 0, 1000)
		if Holders(h.Name, []string{"a", "b"})[0] != "b" {
			continue
		}
		held++
		_, err := a.store.Put(h, body, 0)
		require.NoError(t, err)
	}
	b := serve(t, newMemFS(), Settings{Name: "b"}, 0, ServerOptions{})
	refiller := NewRefiller(b.store, b.link, b.client, RefillOptions{Self: "b", MaxPieces: maxListed / 2})
	var rounds []int
	for range 4 {
		copied, err := refiller.Round(t.Context(), []Peer{{"a", a.address}})
		require.NoError(t, err)
		rounds = append(rounds, copied)
	}
	assert.Equal(t, []int{maxListed / 2, maxListed / 2, 50, 0}, rounds)
}

// Guards against a refill that misses pieces because their order by value changes between two pages of the list.
func TestRefillReadsWholeLists(t *testing.T) {
	a := serve(t, newMemFS(), Settings{Name: "a"}, 0, ServerOptions{})
	held := 0
	for number := range 2*maxListed + 50 {
		h, body := sample(number, 0, 1000)
		if Holders(h.Name, []string{"a", "b"})[0] == "b" {
			held++
		}
		_, err := a.store.Put(h, body, 0)
		require.NoError(t, err)
	}
	b := serve(t, newMemFS(), Settings{Name: "b"}, 0, ServerOptions{})
	copied, err := NewRefiller(b.store, b.link, b.client, RefillOptions{Self: "b"}).Round(t.Context(), []Peer{{"a", a.address}})
	require.NoError(t, err)
	assert.Equal(t, held, copied)
}

// Guards against a refill that blocks the link. At 1 MB/s the refill of about half of 16 MB takes 8 s. The limit for an
// urgent piece of 64 KB, after at most one chunk of 256 KiB, is 1 s.
func TestRefillLeavesTheLinkToUrgentTransfers(t *testing.T) {
	a := serve(t, newMemFS(), Settings{Name: "a"}, 1e6, ServerOptions{})
	b := serve(t, newMemFS(), Settings{Name: "b"}, 1e6, ServerOptions{})
	for number := range 16 {
		put(t, a.store, number, 1_000_000)
	}
	h, body := put(t, b.store, 100, 64_000)
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	refiller := NewRefiller(b.store, b.link, b.client, RefillOptions{Self: "b"})
	tasks.Go(func() { _, _ = refiller.Round(ctx, []Peer{{"a", a.address}}) })
	require.Eventually(t, func() bool { wait, _ := b.link.Wait(RankBulk); return wait > 0 }, 5*time.Second, time.Millisecond)
	begin := time.Now()
	_, got, err := b.client.Get(t.Context(), b.address, wantFor(h), "urgent")
	require.NoError(t, err)
	assert.Less(t, time.Since(begin), time.Second)
	assert.True(t, bytes.Equal(body, got))
}

// Guards against a placement in which the loss of one store moves the pieces of others.
func TestHoldersMoveOnlyWithTheirStore(t *testing.T) {
	all, fewer := []string{"a", "b", "c", "d"}, []string{"a", "b", "d"}
	first := map[string]int{}
	for number := range 1000 {
		h, _ := sample(number, 0, 1)
		before, after := Candidates(h.Name, all), Candidates(h.Name, fewer)
		require.Len(t, before, MaxCopies)
		require.Equal(t, before[:Copies], Holders(h.Name, all))
		first[before[0]]++
		for _, store := range before {
			if store != "c" {
				require.Contains(t, after, store)
			}
		}
	}
	for _, store := range all {
		// 250 are expected; 4 standard deviations are 55.
		assert.InDelta(t, 250, first[store], 55)
	}
}
