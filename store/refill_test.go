package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
)

// peerWithValuedPieces serves store a with pieces that store b should hold. The names are ordered by descending value.
func peerWithValuedPieces(t testing.TB, fs FS, count, bytes int) (*node, []string) {
	a := serve(t, fs, Settings{Name: "a", MemoryBytes: 1}, 0, ServerOptions{})
	var names []string
	for number := 0; len(names) < count; number++ {
		h, body := sample(number, 0, bytes)
		if Holders(h.Name, []string{"a", "b"})[0] != "b" {
			continue
		}
		h.RecomputeMs = int64(count - len(names))
		_, err := a.store.Put(h, body, 0)
		require.NoError(t, err)
		names = append(names, h.Name.String())
	}
	return a, names
}

// Guards against pieces that are copied before more valuable ones: when a piece is written, the only more valuable
// pieces that may be missing are those being copied at the same time.
func TestRefillKeepsTheOrderOfValue(t *testing.T) {
	const limit = 4
	a, names := peerWithValuedPieces(t, newMemFS(), 40, 1000)
	fs := newMemFS()
	var mu sync.Mutex
	var created []int
	fs.onCreate = func(name string) {
		number := slices.IndexFunc(names, func(n string) bool { return strings.Contains(name, n) })
		mu.Lock()
		defer mu.Unlock()
		if number >= 0 {
			created = append(created, number)
		}
	}
	b := serve(t, fs, Settings{Name: "b"}, 0, ServerOptions{})
	refiller := NewRefiller(b.store, b.link, b.client, RefillOptions{Self: "b", Transfers: limit})
	copied, err := refiller.Round(t.Context(), []Peer{{"a", a.address}})
	require.NoError(t, err)
	require.Equal(t, len(names), copied)
	require.Len(t, created, len(names))
	for position, number := range created {
		missing := 0
		for better := range number {
			if !slices.Contains(created[:position], better) {
				missing++
			}
		}
		assert.Less(t, missing, limit, "piece %d", number)
	}
}

// Guards against pieces that are copied one after the other, and against more concurrent copies than the limit.
func TestRefillCopiesSeveralPiecesAtOnce(t *testing.T) {
	const limit = 3
	fs := newMemFS()
	a, _ := peerWithValuedPieces(t, fs, 12, 1000)
	var mu sync.Mutex
	open, most := 0, 0
	full := make(chan struct{})
	fs.onOpen = func(string) {
		mu.Lock()
		open++
		most = max(most, open)
		if open == limit && most == limit {
			select {
			case <-full:
			default:
				close(full)
			}
		}
		mu.Unlock()
		<-full
		mu.Lock()
		open--
		mu.Unlock()
	}
	b := serve(t, newMemFS(), Settings{Name: "b"}, 0, ServerOptions{})
	refiller := NewRefiller(b.store, b.link, b.client, RefillOptions{Self: "b", Transfers: limit})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { close(full) })
	copied, err := refiller.Round(ctx, []Peer{{"a", a.address}})
	require.True(t, stop(), "all transfers ran at once")
	require.NoError(t, err)
	assert.Equal(t, 12, copied)
	assert.Equal(t, limit, most)
	busy := &refillRound{refiller: refiller, running: limit, bytes: 30, results: make(chan copyResult, 1)}
	busy.results <- copyResult{bytes: 10}
	require.True(t, busy.waitForSlot(t.Context(), piece.Header{}))
	assert.Equal(t, limit-1, busy.running, "a further copy waits until another has ended")
	assert.Equal(t, int64(20), busy.bytes)
}

// Guards against concurrent copies that together exceed the link's rate: 16 pieces of one chunk at 8 MB/s take at least
// 15 chunk times.
func TestRefillKeepsTheRateOfTheLink(t *testing.T) {
	const rate = 8e6
	a, _ := peerWithValuedPieces(t, newMemFS(), 16, linkChunkBytes)
	b := serve(t, newMemFS(), Settings{Name: "b"}, rate, ServerOptions{})
	refiller := NewRefiller(b.store, b.link, b.client, RefillOptions{Self: "b"})
	begin := time.Now()
	copied, err := refiller.Round(t.Context(), []Peer{{"a", a.address}})
	require.NoError(t, err)
	require.Equal(t, 16, copied)
	assert.GreaterOrEqual(t, time.Since(begin).Seconds(), 15*linkChunkBytes/rate-maxGrantAhead.Seconds())
}

// Guards against a refill that exceeds MaxFill because it does not count the pieces that are being copied.
func TestRefillCountsThePiecesOnTheirWay(t *testing.T) {
	a, _ := peerWithValuedPieces(t, newMemFS(), 20, 1000)
	size := fileBytes(piece.Header{Account: testAccount, WeightVersion: "v1", Length: 1000})
	b := serve(t, newMemFS(), Settings{Name: "b", DiskBytes: 20 * size}, 0, ServerOptions{})
	refiller := NewRefiller(b.store, b.link, b.client, RefillOptions{Self: "b", MaxFill: 0.5, Transfers: 8})
	copied, err := refiller.Round(t.Context(), []Peer{{"a", a.address}})
	require.NoError(t, err)
	assert.Equal(t, 10, copied)
}

// Guards against reads by other stores that use the whole transfer budget while they wait for the link.
func TestBulkReadsLeaveRoomToCallers(t *testing.T) {
	s, err := New(newMemFS(), Settings{MaxPieceBytes: 100})
	require.NoError(t, err)
	server := NewServer(s, NewLink(0, nil), ServerOptions{MaxTransferBytes: 400, QueueTimeout: 10 * time.Millisecond})
	admit := func(rank string) (func(), error) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		return server.admitRead(ctx, rank, 100)
	}
	var releases []func()
	for _, rank := range []string{RankBulk, RankBulk} {
		release, err := admit(rank)
		require.NoError(t, err)
		releases = append(releases, release)
	}
	_, err = admit(RankBulk)
	require.True(t, failure.Is(err, failure.Overloaded))
	for _, rank := range []string{"urgent", "urgent"} {
		release, err := admit(rank)
		require.NoError(t, err)
		releases = append(releases, release)
	}
	_, err = admit("urgent")
	require.True(t, failure.Is(err, failure.Overloaded))
	for _, release := range releases {
		release()
	}
	release, err := admit(RankBulk)
	require.NoError(t, err, "the budget is available again")
	release()
}
