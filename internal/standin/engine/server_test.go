package engine_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/internal/standin/weights"
	wire "github.com/wasabishunt/wasabishunt/upstream/engine"
	"github.com/wasabishunt/wasabishunt/upstream/weightstore"
)

// start runs an engine at 50 times real speed and returns it with a client.
func start(t *testing.T, settings engine.Settings) (*engine.Server, *wire.HTTP) {
	t.Helper()
	settings.WeightVersion = "v1"
	if settings.TimeScale == 0 {
		settings.TimeScale = 50
	}
	s := engine.New(settings)
	server := httptest.NewServer(s)
	c := wire.NewHTTP(strings.TrimPrefix(server.URL, "http://"), wire.HTTPOptions{StreamIdleTimeout: 2 * time.Second})
	t.Cleanup(func() {
		c.Close()
		server.CloseClientConnections()
		s.Close()
		server.Close()
	})
	return s, c
}

func request(id string) wire.Request {
	return wire.Request{
		RequestID: id, Model: "model", WeightVersion: "v1", Prompt: "prompt of " + id, MaxTokens: 20, CacheScope: "a",
	}
}

// collect returns the tokens of a run, its final event, and the error that ended it.
func collect(t *testing.T, c *wire.HTTP, r wire.Request) ([]string, wire.Event, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	stream, err := c.Generate(ctx, r)
	if err != nil {
		return nil, wire.Event{}, err
	}
	defer func() { _ = stream.Close() }()
	var tokens []string
	var final wire.Event
	for {
		event, err := stream.Next()
		if err != nil {
			return tokens, final, err
		}
		if event.Final {
			final = event
			continue
		}
		tokens = append(tokens, event.Text)
	}
}

// Guards against answers that a checker cannot compute when a stream breaks and is resumed.
func TestAnswerIsComputableAcrossBreakAndResume(t *testing.T) {
	s, c := start(t, engine.Settings{})
	after := int64(7)
	s.SetFaults(engine.FaultSettings{BreakNextAfter: &after})
	r := request("r1")
	first, _, err := collect(t, c, r)
	assert.True(t, failure.Is(err, failure.StreamBroken), "got %v", err)
	require.Len(t, first, 7)
	r.Emitted = first
	rest, final, err := collect(t, c, r)
	require.Equal(t, io.EOF, err)
	assert.Equal(t, engine.Answer(r.Prompt, "model", "v1", 20), append(first, rest...))
	assert.Equal(t, int64(20), final.TotalTokens)
	runs := s.Runs()
	require.Len(t, runs, 2)
	assert.Equal(t, []string{engine.OutcomeBroken, engine.OutcomeFinished}, []string{runs[0].Outcome, runs[1].Outcome})
	assert.Equal(t, []int64{7, 13}, []int64{runs[0].Emitted, runs[1].Emitted})
}

// Guards against a prefix cache shared between cache scopes, and against missing events for stored pieces.
func TestPrefixCacheIsKeptApartByScope(t *testing.T) {
	_, c := start(t, engine.Settings{EventDelay: time.Millisecond})
	r := request("r1")
	r.Prompt = strings.Repeat("word ", 4100)
	r.PieceNames = []string{"p1", "p2"}
	cached := func(scope string) int64 {
		r.CacheScope = scope
		_, final, err := collect(t, c, r)
		require.Equal(t, io.EOF, err)
		return final.CachedTokens
	}
	assert.Equal(t, []int64{0, 4000, 0}, []int64{cached("a"), cached("a"), cached("b")})
	require.Eventually(t, func() bool {
		events, gap, err := c.CacheEvents(t.Context(), 0)
		return err == nil && !gap && len(events) == 4
	}, 5*time.Second, 5*time.Millisecond)
}

// Guards against a cache that exceeds its capacity, and against dropped events that no gap reports.
func TestCacheEvictsAndGapsShow(t *testing.T) {
	s, c := start(t, engine.Settings{CacheTokens: 4000, EventGapEvery: 2, EventDelay: time.Millisecond})
	for i := range 4 {
		r := request(fmt.Sprint(i))
		r.PieceNames = []string{fmt.Sprint("p", i)}
		_, _, err := collect(t, c, r)
		require.Equal(t, io.EOF, err)
		assert.LessOrEqual(t, s.State().Load.CacheTokens, int64(4000))
	}
	require.Eventually(t, func() bool {
		events, gap, err := c.CacheEvents(t.Context(), 0)
		return err == nil && gap && len(events) == 3
	}, 5*time.Second, 5*time.Millisecond)
}

// Guards against a run that continues after its caller closed the stream.
func TestClosedStreamCancelsTheRun(t *testing.T) {
	s, c := start(t, engine.Settings{})
	r := request("r1")
	r.MaxTokens = 10_000
	stream, err := c.Generate(t.Context(), r)
	require.NoError(t, err)
	_, err = stream.Next()
	require.NoError(t, err)
	require.NoError(t, stream.Close())
	require.Eventually(t, func() bool { return s.Runs()[0].Outcome == engine.OutcomeCanceled }, 5*time.Second, time.Millisecond)
	assert.Zero(t, s.State().Load.RunningRequests)
}

// Guards against an engine that ignores priorities.
func TestUrgentRunOvertakesTheQueue(t *testing.T) {
	s, c := start(t, engine.Settings{MaxBatch: 1})
	done := make(chan string, 3)
	run := func(id string, priority int, maxTokens int64) {
		r := request(id)
		r.Priority, r.MaxTokens = priority, maxTokens
		go func() {
			_, _, _ = collect(t, c, r)
			done <- id
		}()
	}
	run("running", 5, 400)
	require.Eventually(t, func() bool { return s.State().Load.RunningRequests == 1 }, 5*time.Second, time.Millisecond)
	run("bulk", 9, 200)
	require.Eventually(t, func() bool { return s.State().Queued == 1 }, 5*time.Second, time.Millisecond)
	run("urgent", 0, 200)
	require.Eventually(t, func() bool { return s.State().Queued == 2 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, []string{"running", "urgent", "bulk"}, []string{<-done, <-done, <-done})
}

// Guards against KV blocks of other content that do not change the answers, so that checkers would miss them.
func TestForeignBlocksShowInTheAnswer(t *testing.T) {
	s, c := start(t, engine.Settings{})
	length := int64(2000 * 64)
	body := func(version, name string) []byte {
		data, err := io.ReadAll(engine.KVBody(version, name, length))
		require.NoError(t, err)
		return data
	}
	answer := func(version, content string) bool {
		ref := wire.PieceRef{Name: "p" + content, Model: "model", WeightVersion: "v1", CacheScope: "a", Tokens: 2000}
		require.NoError(t, c.ImportKV(t.Context(), ref, bytes.NewReader(body(version, content)), length))
		r := request("r")
		r.Prompt, r.PieceNames = strings.Repeat("word ", 2001), []string{ref.Name}
		tokens, final, err := collect(t, c, r)
		require.Equal(t, io.EOF, err)
		assert.Equal(t, int64(2000), final.CachedTokens)
		return assert.ObjectsAreEqual(engine.Answer(r.Prompt, "model", "v1", 20), tokens)
	}
	assert.False(t, answer("v1", "foreign"))
	assert.Equal(t, int64(1), s.State().CorruptImports)
	export, err := c.ExportKV(t.Context(), wire.PieceRef{Name: "pforeign", WeightVersion: "v1", CacheScope: "a"})
	require.NoError(t, err)
	data, err := io.ReadAll(export)
	require.NoError(t, err)
	require.NoError(t, export.Close())
	assert.Len(t, data, int(length))
	assert.NotEqual(t, body("v1", "pforeign"), data)
	assert.NotEqual(t, body("v1", "p"), body("v0", "p"), "blocks of another weight version must differ")
}

// Guards against an engine that honors fencing but accepts the weight order of an old agent, and against one without fencing
// that refuses it.
func TestWeightOrdersAndFencing(t *testing.T) {
	for _, honor := range []bool{true, false} {
		s, c := start(t, engine.Settings{HonorFencing: honor})
		order := func(version string, token uint64) error {
			return c.LoadWeights(t.Context(), wire.WeightCommand{Model: "model", WeightVersion: version, FencingToken: token})
		}
		loaded := func(version string) func() bool {
			return func() bool {
				w, err := c.Weights(t.Context())
				return err == nil && w.Loading == "" && len(w.Loaded) == 1 && w.Loaded[0] == version
			}
		}
		require.NoError(t, order("v2", 7))
		require.Eventually(t, loaded("v2"), 5*time.Second, 5*time.Millisecond)
		assert.Equal(t, honor, failure.Is(order("v3", 6), failure.Fenced))
		s.SetFaults(engine.FaultSettings{LoseNextAnswer: true})
		require.Eventually(t, func() bool {
			w, err := c.Weights(t.Context())
			return err == nil && w.Loading == ""
		}, 5*time.Second, 5*time.Millisecond)
		err := order("v4", 8)
		require.Error(t, err)
		assert.Equal(t, failure.Unknown, failure.Of(err).Execution)
		require.Eventually(t, loaded("v4"), 5*time.Second, 5*time.Millisecond)
		_, _, err = collect(t, c, request("old version"))
		assert.True(t, failure.Is(err, failure.VersionConflict))
	}
}

// Guards against a swap that changes the version of a run in progress.
func TestRunKeepsItsVersionAcrossASwap(t *testing.T) {
	_, c := start(t, engine.Settings{LoadTime: time.Millisecond})
	r := request("r1")
	r.MaxTokens = 500
	stream, err := c.Generate(t.Context(), r)
	require.NoError(t, err)
	defer func() { _ = stream.Close() }()
	_, err = stream.Next()
	require.NoError(t, err)
	require.NoError(t, c.LoadWeights(t.Context(), wire.WeightCommand{Model: "model", WeightVersion: "v2"}))
	for {
		event, err := stream.Next()
		require.NoError(t, err)
		require.Equal(t, "v1", event.WeightVersion)
		if event.Final {
			return
		}
	}
}

// Guards against faults that have no effect or do not end.
func TestFreezeAndRefuse(t *testing.T) {
	s, c := start(t, engine.Settings{})
	s.SetFaults(engine.FaultSettings{Refuse: true})
	_, _, err := collect(t, c, request("r1"))
	assert.True(t, failure.Is(err, failure.Overloaded))
	s.SetFaults(engine.FaultSettings{Freeze: true})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err = c.Load(ctx)
	require.Error(t, err)
	s.SetFaults(engine.FaultSettings{})
	_, _, err = collect(t, c, request("r2"))
	assert.Equal(t, io.EOF, err)
}

// Guards against a load report without lag, with which tests would not notice that routing uses old figures.
func TestLoadReportLags(t *testing.T) {
	s, c := start(t, engine.Settings{TimeScale: 1, LoadLag: time.Hour, DecodeTokensPerSecond: 1})
	r := request("r1")
	stream, err := c.Generate(t.Context(), r)
	require.NoError(t, err)
	defer func() { _ = stream.Close() }()
	require.Eventually(t, func() bool { return s.State().Load.RunningRequests == 1 }, 5*time.Second, time.Millisecond)
	load, err := c.Load(t.Context())
	require.NoError(t, err)
	assert.Zero(t, load.RunningRequests)
}

// Guards against weights that are loaded without being read from the weight store, and against more than two transfers at
// full speed: two transfers at once take 0.8 s, so three take at least 1.2 s, which is 150 ms at 8 times speed.
func TestWeightsLoadThroughTheStoresLimit(t *testing.T) {
	stored := weights.New(weights.Settings{TimeScale: 8})
	server := httptest.NewServer(stored)
	defer server.Close()
	begin := time.Now()
	clients := make([]*wire.HTTP, 3)
	for i := range clients {
		source := weightstore.New(strings.TrimPrefix(server.URL, "http://"), weightstore.Options{})
		t.Cleanup(source.Close)
		_, clients[i] = start(t, engine.Settings{Weights: source})
		require.NoError(t, clients[i].LoadWeights(t.Context(), wire.WeightCommand{Model: "model", WeightVersion: "v2"}))
	}
	for _, c := range clients {
		require.Eventually(t, func() bool {
			w, err := c.Weights(t.Context())
			return err == nil && len(w.Loaded) == 1 && w.Loaded[0] == "v2"
		}, 10*time.Second, time.Millisecond)
	}
	assert.GreaterOrEqual(t, time.Since(begin), 145*time.Millisecond)
	assert.Equal(t, int64(3), stored.Stats().Finished)
}
