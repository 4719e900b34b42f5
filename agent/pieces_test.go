package agent_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/store"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// ImportKV records the piece's reference.
func (f *fakeEngine) ImportKV(_ context.Context, ref engine.PieceRef, body io.Reader, length int64) error {
	read, err := io.ReadAll(body)
	f.mu.Lock()
	defer f.mu.Unlock()
	if int64(len(read)) == length {
		f.imports = append(f.imports, ref)
	}
	return err
}

// ExportKV returns a body that names the piece.
func (f *fakeEngine) ExportKV(_ context.Context, ref engine.PieceRef) (io.ReadCloser, error) {
	return io.NopCloser(strings.NewReader("blocks of " + ref.Name)), nil
}

func (f *fakeEngine) imported() []engine.PieceRef {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.imports
}

// memoryStores holds pieces in memory, by address and name.
type memoryStores struct {
	mu     sync.Mutex
	pieces map[string]map[piece.Name]piece.Header
}

func (m *memoryStores) Has(_ context.Context, address, _, _ string, names []piece.Name) (store.HasResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := store.HasResult{Held: make([]bool, len(names)), BytesPerSecond: 1e9}
	for i, name := range names {
		_, result.Held[i] = m.pieces[address][name]
	}
	return result, nil
}

func (m *memoryStores) Get(_ context.Context, address string, want piece.Want, _ string) (piece.Header, []byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	header, ok := m.pieces[address][want.Name]
	if !ok {
		return header, nil, failure.New(failure.NotFound, failure.Ran, "missing")
	}
	return header, []byte("blocks"), want.Check(header)
}

func (m *memoryStores) PutIdle(_ context.Context, address string, h piece.Header, body []byte, _ string, _ time.Duration) (store.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pieces[address] == nil {
		m.pieces[address] = map[piece.Name]piece.Header{}
	}
	m.pieces[address][h.Name] = h
	return store.Stored, piece.CheckBody(h, body)
}

func (m *memoryStores) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pieces["s1"]) + len(m.pieces["s2"])
}

// startWithStores starts an agent with two live stores, whose content outlives the agent.
func startWithStores(t *testing.T, stores *memoryStores) *fixture {
	t.Helper()
	f := startAgent(t, agent.Options{}, agent.Dependencies{Stores: stores})
	set := testSet()
	set.Stores = []objectset.Store{{Name: "s1", Address: "s1"}, {Name: "s2", Address: "s2"}}
	set.Models[0].BytesPerToken = 1
	f.view.Change(func(v *controlclient.View) {
		v.Set = set
		for _, name := range []string{"s1", "s2"} {
			v.Processes[name] = controlclient.Process{ID: name, Role: "store", Serves: name, Address: name, State: controlclient.Live}
		}
	})
	return f
}

// TestPiecesKeptAndFetched guards against computed pieces that are not exported to both stores, and against exported ones
// that another engine computes again.
func TestPiecesKeptAndFetched(t *testing.T) {
	stores := &memoryStores{pieces: map[string]map[piece.Name]piece.Header{}}
	prompt := strings.Repeat("word ", 2*piece.TokensPerPiece+10)
	first := startWithStores(t, stores)
	req := request("first")
	req.Prompt = prompt
	require.NotNil(t, first.generate(req).end)
	assert.Empty(t, first.engine.imported())
	require.Eventually(t, func() bool { return stores.count() == 4 }, 5*time.Second, time.Millisecond)

	second := startWithStores(t, stores)
	second.engine.setScript(func(r engine.Request) <-chan engine.Event {
		events := make(chan engine.Event, 1)
		events <- engine.Event{Final: true, CachedTokens: 2 * piece.TokensPerPiece}
		return events
	})
	req.Header.RequestId = "second"
	got := second.generate(req)
	require.NotNil(t, got.end)
	require.Len(t, second.engine.imported(), 2)
	assert.Equal(t, "a", second.engine.imported()[0].CacheScope)
	assert.Equal(t, int64(2*piece.TokensPerPiece), got.end.GetFetchedPromptTokens())
	assert.Equal(t, int64(10), got.end.GetComputedPromptTokens())

	other := startWithStores(t, stores)
	req.Header.RequestId, req.Header.Account = "other", "b"
	require.NotNil(t, other.generate(req).end)
	assert.Empty(t, other.engine.imported(), "another account's pieces are not read")
}

// TestForeignVersionNotImported guards against a piece of another weight version that reaches the engine.
func TestForeignVersionNotImported(t *testing.T) {
	stores := &memoryStores{pieces: map[string]map[piece.Name]piece.Header{}}
	f := startWithStores(t, stores)
	req := request("first")
	req.Prompt = strings.Repeat("word ", piece.TokensPerPiece)
	require.NotNil(t, f.generate(req).end)
	require.Eventually(t, func() bool { return stores.count() == 2 }, 5*time.Second, time.Millisecond)
	stores.mu.Lock()
	for _, pieces := range stores.pieces {
		for name, header := range pieces {
			header.WeightVersion = "v0"
			pieces[name] = header
		}
	}
	stores.mu.Unlock()
	second := startWithStores(t, stores)
	require.NotNil(t, second.generate(req).end)
	assert.Empty(t, second.engine.imported())
}

// TestWaitForComputation guards against two requests that compute the same prefix at the same time.
func TestWaitForComputation(t *testing.T) {
	registry := gometrics.NewRegistry()
	f := startAgent(t, agent.Options{}, agent.Dependencies{Registry: registry})
	events := make(chan engine.Event, 4)
	f.engine.setScript(func(engine.Request) <-chan engine.Event { return events })
	prompt := strings.Repeat("word ", piece.TokensPerPiece+5)
	owner, follower := request("owner"), request("follower")
	owner.Prompt, follower.Prompt = prompt, prompt
	first := f.open(t.Context(), owner)
	require.Eventually(t, func() bool { return f.load().GetRunning() == 1 }, 5*time.Second, time.Millisecond)
	second := f.open(t.Context(), follower)
	require.Eventually(t, func() bool { return gometrics.GetOrRegisterCounter("pieces.awaited", registry).Count() == 1 }, 5*time.Second, time.Millisecond)
	events <- engine.Event{Index: 0, Text: "a "}
	events <- engine.Event{Final: true, TotalTokens: 1}
	require.NotNil(t, read(first).end)
	events <- engine.Event{Final: true, CachedTokens: piece.TokensPerPiece}
	got := read(second)
	require.NotNil(t, got.end)
	assert.Contains(t, strings.Join(got.end.GetDecisions(), "\n"), "wait")
}
