package store

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/piece"
)

const benchBytes = 4_000_000

func startBenchNode(b *testing.B, memoryBytes int64) *node {
	fs, err := NewDirFS(b.TempDir() + "/pieces")
	require.NoError(b, err)
	return serve(b, fs, Settings{MemoryBytes: memoryBytes, DiskBytes: 128 << 20}, 0, ServerOptions{})
}

// Measures a put of 4 MB over the wire, which checks, syncs and publishes the piece.
func BenchmarkPut4MB(b *testing.B) {
	n := startBenchNode(b, 64<<20)
	_, body := sample(0, 0, benchBytes)
	b.SetBytes(benchBytes)
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		number++
		h, _ := sample(number, 0, 0)
		h.Length, h.Checksum = benchBytes, piece.Sum(body)
		outcome, err := n.client.Put(context.Background(), n.address, h, body, "")
		require.NoError(b, err)
		require.Equal(b, Stored, outcome)
	}
}

// Measures a get of 4 MB over the wire, from the memory tier and from the disk tier.
func BenchmarkGet4MB(b *testing.B) {
	for _, memory := range []int64{64 << 20, 1} {
		b.Run(fmt.Sprintf("memory=%t", memory > 1), func(b *testing.B) {
			n := startBenchNode(b, memory)
			h, _ := put(b, n.store, 1, benchBytes)
			b.SetBytes(benchBytes)
			b.ReportAllocs()
			for b.Loop() {
				_, _, err := n.client.Get(context.Background(), n.address, wantFor(h), "")
				require.NoError(b, err)
			}
		})
	}
}

// Measures the memory of the index per piece, which must not grow with the number of pieces.
func BenchmarkIndexMemory(b *testing.B) {
	for _, count := range []int{10_000, 50_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s, err := New(newMemFS(), Settings{DiskBytes: 1 << 50})
				require.NoError(b, err)
				fillIndex(s, count)
				b.ReportMetric(float64(heapBytes()-before)/float64(count), "bytes/piece")
				runtime.KeepAlive(s)
			}
		})
	}
}

// fillIndex publishes pieces of 100 accounts without files.
func fillIndex(s *Store, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Clock.Now()
	for number := range count {
		h, _ := sample(number, 0, 0)
		h.Length, h.Account = benchBytes, fmt.Sprintf("account-%d", number%100)
		e := s.publishLocked(h)
		s.onDisk.Put(s.policyEntry(e.header, now), now)
		s.settings.Policy.RecordUse(h.Name, e.header.Account, now)
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Measures the throughput of a refill, which must not leave most of the link unused. Both stores share the machine and
// its disk.
func BenchmarkRefill(b *testing.B) {
	const pieces, bytes, rate = 12, 40_000_000, 1.25e9
	for _, transfers := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("transfers=%d", transfers), func(b *testing.B) {
			a := serveDir(b, "a", rate)
			for number := range pieces {
				put(b, a.store, number, bytes)
			}
			b.SetBytes(pieces * bytes)
			for b.Loop() {
				b.StopTimer()
				to := serveDir(b, "b", rate)
				refiller := NewRefiller(to.store, to.link, to.client, RefillOptions{Self: "b", Transfers: transfers})
				b.StartTimer()
				copied, err := refiller.Round(context.Background(), []Peer{{"a", a.address}})
				require.NoError(b, err)
				require.Equal(b, pieces, copied)
			}
		})
	}
}

func serveDir(b *testing.B, name string, rate float64) *node {
	fs, err := NewDirFS(b.TempDir() + "/pieces")
	require.NoError(b, err)
	return serve(b, fs, Settings{Name: name, MemoryBytes: 1, DiskBytes: 4 << 30}, rate, ServerOptions{})
}
