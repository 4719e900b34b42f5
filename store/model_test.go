package store

import (
	"bytes"
	"context"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/piece"
)

// testContext returns the context of a test of testing or rapid.
func testContext(t require.TestingT) context.Context {
	if with, ok := t.(interface{ Context() context.Context }); ok {
		return with.Context()
	}
	return context.Background()
}

const (
	modelPieces = 8
	modelBytes  = 1000
)

// model runs puts, gets, faults and crashes against a store and tracks which bodies a get may return.
type model struct {
	fs    *memFS
	store *Store
	// accepted holds the bodies that a get of a piece may return: the last acknowledged variant, or any variant after a
	// crash, which may restore a removed file or keep one whose put was not acknowledged.
	accepted [modelPieces][][]byte
	leases   []heldLease
}

type heldLease struct {
	lease *Lease
	body  []byte
}

func (m *model) settings() Settings { return Settings{DiskBytes: 6000, MemoryBytes: 3000} }

func (m *model) put(t *rapid.T) {
	number, variant := rapid.IntRange(0, modelPieces-1).Draw(t, "piece"), rapid.IntRange(0, 2).Draw(t, "variant")
	h, body := sample(number, variant, modelBytes)
	outcome, _ := m.store.Put(h, body, 0)
	if outcome == Stored {
		m.accepted[number] = [][]byte{body}
	}
}

func (m *model) get(t *rapid.T) {
	number := rapid.IntRange(0, modelPieces-1).Draw(t, "piece")
	h, _ := sample(number, 0, modelBytes)
	lease, err := m.store.Get(testContext(t), wantFor(h))
	if err != nil {
		return
	}
	m.check(t, number, lease.Body)
	m.leases = append(m.leases, heldLease{lease, bytes.Clone(lease.Body)})
}

// check requires that a body is one of the accepted ones.
func (m *model) check(t *rapid.T, number int, body []byte) {
	for _, accepted := range m.accepted[number] {
		if bytes.Equal(accepted, body) {
			return
		}
	}
	t.Fatalf("piece %d: got bytes that are not the piece", number)
}

func (m *model) release(t *rapid.T) {
	if len(m.leases) == 0 {
		t.Skip("no leases")
	}
	m.leases[0].lease.Release()
	m.leases = m.leases[1:]
}

func (m *model) getFromOtherAccount(t *rapid.T) {
	h, _ := sample(rapid.IntRange(0, modelPieces-1).Draw(t, "piece"), 0, modelBytes)
	requireMiss(t, m.store, piece.Want{Name: h.Name, Account: "other"})
}

func (m *model) fault(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		m.fs.space = int64(rapid.IntRange(0, 3000).Draw(t, "space"))
	case 1:
		m.fs.space = -1
	case 2:
		m.fs.failSync = true
	case 3:
		m.fs.failDirSync = true
	}
}

// crash restarts the store with the data that survived. The leases of the old process are dropped.
func (m *model) crash(t *rapid.T) {
	m.leases = nil
	m.fs.crash(
		func() bool { return rapid.Bool().Draw(t, "keep name") },
		func(limit int) int { return rapid.IntRange(0, limit).Draw(t, "keep bytes") },
	)
	for number := range modelPieces {
		for variant := range 3 {
			_, body := sample(number, variant, modelBytes)
			m.accepted[number] = append(m.accepted[number], body)
		}
	}
	m.store = open(t, m.fs, m.settings())
}

// Guards against sequences of puts, gets, evictions, faults and crashes after which a get returns a wrong body, a
// leased body changes, or the store exceeds its capacity.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS()
		m := &model{fs: fs}
		m.store = open(t, fs, m.settings())
		t.Repeat(map[string]func(*rapid.T){
			"put": m.put, "get": m.get, "release": m.release, "foreign": m.getFromOtherAccount, "fault": m.fault, "crash": m.crash,
			"": func(t *rapid.T) {
				for _, held := range m.leases {
					require.True(t, bytes.Equal(held.body, held.lease.Body), "the leased body changed")
				}
				stats := m.store.Stats()
				require.LessOrEqual(t, stats.DiskBytes, int64(6000))
				require.LessOrEqual(t, stats.MemoryBytes, int64(3000))
			},
		})
	})
}

// Guards against readers that get the bytes of another piece while writers concurrently evict and replace pieces on a
// disk that is temporarily full.
func TestConcurrentReadersGetExactlyThePiece(t *testing.T) {
	fs := newMemFS()
	s := open(t, fs, Settings{DiskBytes: 6000, MemoryBytes: 3000})
	const rounds = 400
	var group sync.WaitGroup
	group.Go(func() {
		for i := range rounds {
			fs.set(func() { fs.space = int64(i%4*700) - 1 })
			runtime.Gosched()
		}
		fs.set(func() { fs.space = -1 })
	})
	for worker := range 4 {
		group.Go(func() {
			for i := range rounds {
				h, body := sample((worker+i)%modelPieces, (i/3)%2, modelBytes)
				_, _ = s.Put(h, body, 0)
			}
		})
		group.Go(func() {
			for i := range rounds {
				number := (worker*3 + i) % modelPieces
				h, first := sample(number, 0, modelBytes)
				_, second := sample(number, 1, modelBytes)
				lease, err := s.Get(t.Context(), wantFor(h))
				if err != nil {
					continue
				}
				if !bytes.Equal(lease.Body, first) && !bytes.Equal(lease.Body, second) {
					t.Errorf("piece %d: got bytes that are not the piece", number)
				}
				lease.Release()
			}
		})
	}
	group.Wait()
	h, body := put(t, s, 0, modelBytes)
	requireHeld(t, s, h, body)
	require.LessOrEqual(t, s.Stats().DiskBytes, int64(6000))
}
