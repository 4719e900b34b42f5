package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

const (
	tokenLine = `data: {"token_index":%d,"choices":[{"text":"t%d "}]}` + "\n\n"
	finalLine = `data: {"token_index":%d,"choices":[{"finish_reason":"length"}],"usage":{"completion_tokens":%d}}` + "\n\n"
)

// client returns a client of a server with the given handler.
func client(t *testing.T, handler http.HandlerFunc, options engine.HTTPOptions) *engine.HTTP {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c := engine.NewHTTP(strings.TrimPrefix(server.URL, "http://"), options)
	t.Cleanup(c.Close)
	return c
}

func sse(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// readAll returns the texts of a run and the error that ended it.
func readAll(t *testing.T, c *engine.HTTP, request engine.Request) ([]string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stream, err := c.Generate(ctx, request)
	require.NoError(t, err)
	defer func() { _ = stream.Close() }()
	var texts []string
	for {
		event, err := stream.Next()
		if err != nil {
			return texts, err
		}
		if !event.Final {
			texts = append(texts, event.Text)
		}
	}
}

// Guards against accepting a stream as complete after a clean close, an end marker only, a lost or repeated token, or a wrong
// token count.
func TestStreamWithoutMatchingFinalEventIsBroken(t *testing.T) {
	tokens := fmt.Sprintf(tokenLine, 0, 0) + fmt.Sprintf(tokenLine, 1, 1)
	cases := map[string]string{
		"clean close":    tokens,
		"empty":          "",
		"end mark only":  tokens + "data: [DONE]\n\n",
		"lost token":     tokens + fmt.Sprintf(tokenLine, 3, 3) + fmt.Sprintf(finalLine, 4, 4),
		"repeated token": tokens + fmt.Sprintf(tokenLine, 1, 1) + fmt.Sprintf(finalLine, 2, 2),
		"skipped index":  fmt.Sprintf(tokenLine, 0, 0) + fmt.Sprintf(tokenLine, 2, 2) + fmt.Sprintf(finalLine, 2, 2),
		"swapped tokens": fmt.Sprintf(tokenLine, 1, 1) + fmt.Sprintf(tokenLine, 0, 0) + fmt.Sprintf(finalLine, 2, 2),
		"wrong count":    tokens + fmt.Sprintf(finalLine, 3, 3),
		"no usage":       tokens + `data: {"choices":[{"finish_reason":"length"}]}` + "\n\n",
		"not JSON":       tokens + "data: {\n\n",
		"long line":      tokens + "data: " + strings.Repeat("x", 5000) + "\n\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(t, client(t, sse(text), engine.HTTPOptions{MaxEventBytes: 4096}), engine.Request{})
			assert.True(t, failure.Is(err, failure.StreamBroken), "got %v", err)
		})
	}
}

// Guards against accepting a resumed run in which the engine starts again at token 0.
func TestResumedStreamMustGoOnAfterTheEmittedTokens(t *testing.T) {
	request := engine.Request{Emitted: []string{"t0 "}}
	good := fmt.Sprintf(tokenLine, 1, 1) + fmt.Sprintf(finalLine, 2, 2)
	texts, err := readAll(t, client(t, sse(good), engine.HTTPOptions{}), request)
	assert.Equal(t, io.EOF, err)
	assert.Equal(t, []string{"t1 "}, texts)
	_, err = readAll(t, client(t, sse(fmt.Sprintf(tokenLine, 0, 0)), engine.HTTPOptions{}), request)
	assert.True(t, failure.Is(err, failure.StreamBroken))
}

// Guards against a reader that waits indefinitely for an engine that has stopped sending.
func TestSilentStreamIsBroken(t *testing.T) {
	c := client(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, tokenLine, 0, 0)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}, engine.HTTPOptions{StreamIdleTimeout: 50 * time.Millisecond})
	texts, err := readAll(t, c, engine.Request{})
	assert.Len(t, texts, 1)
	assert.True(t, failure.Is(err, failure.StreamBroken), "got %v", err)
}

// Guards against reporting an unresponsive engine as an exceeded deadline, after which no other upstream is tried: the
// net/http error for a slow response also matches context.DeadlineExceeded.
func TestSilentEngineIsNoPassedDeadline(t *testing.T) {
	release := make(chan struct{})
	c := client(t, func(http.ResponseWriter, *http.Request) { <-release }, engine.HTTPOptions{HeaderTimeout: 50 * time.Millisecond})
	defer close(release)
	_, err := c.Generate(t.Context(), engine.Request{MaxTokens: 1})
	require.True(t, failure.Is(err, failure.UpstreamFailed), "%v", err)
	require.Equal(t, failure.Unknown, failure.Of(err).Execution)
}

// Guards against waiting indefinitely for an answer, and against reporting a lost answer as not run.
func TestLostAnswersHaveUnknownOutcome(t *testing.T) {
	hang := client(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The server detects a closed connection only after it has read the body.
		<-r.Context().Done()
	}, engine.HTTPOptions{HeaderTimeout: 50 * time.Millisecond})
	closing := client(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		_ = conn.Close()
	}, engine.HTTPOptions{})
	for name, c := range map[string]*engine.HTTP{"hang": hang, "close": closing} {
		err := c.LoadWeights(t.Context(), engine.WeightCommand{Model: "m", WeightVersion: "v"})
		require.Error(t, err, name)
		assert.Equal(t, failure.Unknown, failure.Of(err).Execution, name)
	}
}

// Guards against reporting a refused connection as an unknown outcome, which would prevent a retry at another upstream.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	c := engine.NewHTTP(address, engine.HTTPOptions{})
	_, err = c.Generate(t.Context(), engine.Request{})
	assert.True(t, failure.Is(err, failure.NoUpstream))
	assert.Equal(t, failure.NotRun, failure.Of(err).Execution)
}

// Guards against a wrong kind or execution from an error body, in particular one that does not state whether the call ran.
func TestErrorBodyKeepsKindAndExecution(t *testing.T) {
	answer := func(body string) error {
		c := client(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(w, body)
		}, engine.HTTPOptions{})
		return c.LoadWeights(t.Context(), engine.WeightCommand{})
	}
	fenced := failure.Of(answer(`{"error":{"type":"fenced","message":"old","execution":"not_run"}}`))
	assert.Equal(t, failure.Fenced, fenced.Kind)
	assert.Equal(t, failure.NotRun, fenced.Execution)
	assert.Equal(t, failure.Unknown, failure.Of(answer(`{"error":{"type":"fenced"}}`)).Execution)
	assert.Equal(t, failure.Unknown, failure.Of(answer(`gateway`)).Execution)
}

// Guards against not detecting lost cache events.
func TestMissingSequenceNumberIsAGap(t *testing.T) {
	cases := map[string]struct {
		after uint64
		gap   bool
	}{
		`{"events":[{"sequence":5},{"sequence":6}]}`: {4, false},
		`{"events":[{"sequence":6}]}`:                {4, true},
		`{"events":[{"sequence":5},{"sequence":7}]}`: {4, true},
		`{"events":[],"gap":true}`:                   {4, true},
	}
	for body, want := range cases {
		_, gap, err := client(t, sse(body), engine.HTTPOptions{}).CacheEvents(t.Context(), want.after)
		require.NoError(t, err)
		assert.Equal(t, want.gap, gap, body)
	}
}

// Guards against accepting a truncated export as a complete piece.
func TestShortExportIsAnError(t *testing.T) {
	c := client(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write(make([]byte, 40))
	}, engine.HTTPOptions{})
	body, err := c.ExportKV(t.Context(), engine.PieceRef{Name: "ab"})
	require.NoError(t, err)
	defer func() { _ = body.Close() }()
	_, err = io.ReadAll(body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
