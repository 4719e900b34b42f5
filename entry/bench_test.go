package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/entry"
	standin "github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// openChat starts a streamed chat request.
func (c *cluster) openChat() *http.Response {
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, c.http.URL+chatPath, strings.NewReader(chatBody(true, "")))
	require.NoError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusOK, response.StatusCode)
	return response
}

// BenchmarkTokenRelay measures the relay of one token from an agent's stream to the caller's SSE stream. The fake agent
// and the caller run in the same process, so the figure includes their work. It guards against a cost per token that grows
// with the length of the answer.
func BenchmarkTokenRelay(b *testing.B) {
	for _, tokens := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			c := newCluster(b, entry.Options{})
			c.startFakeAgent("u1", func(req *agentpb.GenerateRequest, send send) error {
				send(accepted(req))
				for i := range tokens {
					send(delta(int64(i), "token "))
				}
				send(end(req, int64(tokens)))
				return nil
			})
			b.ReportAllocs()
			for b.Loop() {
				response := c.openChat()
				body, err := io.ReadAll(response.Body)
				require.NoError(b, err)
				require.NoError(b, response.Body.Close())
				require.Equal(b, tokens, bytes.Count(body, []byte(`"token "`)))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tokens), "ns/token")
		})
	}
}

// BenchmarkFirstToken measures the time to first token with one request at a time, directly at the engine stand-in and
// through entry and agent. It guards against delays that entry and agent add.
func BenchmarkFirstToken(b *testing.B) {
	settings := standin.Settings{PrefillTokensPerSecond: 10_000_000, DecodeTokensPerSecond: 2000, TimeScale: 1}
	b.Run("engine", func(b *testing.B) {
		client := startEngine(b, settings)
		var total time.Duration
		for i := 0; b.Loop(); i++ {
			total += firstFromEngine(b, client, fmt.Sprint("direct-", i))
		}
		b.ReportMetric(float64(total.Microseconds())/float64(b.N), "us-to-first")
	})
	b.Run("entry", func(b *testing.B) {
		c := newCluster(b, entry.Options{})
		c.engineAgent("u1", settings)
		var total time.Duration
		for b.Loop() {
			total += c.firstFromEntry()
		}
		b.ReportMetric(float64(total.Microseconds())/float64(b.N), "us-to-first")
	})
}

// startEngine starts an engine stand-in that has no agent.
func startEngine(b *testing.B, settings standin.Settings) engine.Client {
	settings.Model, settings.WeightVersion = "model", "v1"
	s := standin.New(settings)
	server := httptest.NewServer(s)
	client := engine.NewHTTP(strings.TrimPrefix(server.URL, "http://"), engine.HTTPOptions{})
	b.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		s.Close()
		server.Close()
	})
	return client
}

func firstFromEngine(b *testing.B, client engine.Client, id string) time.Duration {
	began := time.Now()
	stream, err := client.Generate(context.Background(), engine.Request{
		RequestID: id, Model: "model", WeightVersion: "v1", Prompt: "What goes into the kiln today?", MaxTokens: 20,
	})
	require.NoError(b, err)
	defer func() { require.NoError(b, stream.Close()) }()
	_, err = stream.Next()
	require.NoError(b, err)
	first := time.Since(began)
	for err == nil {
		_, err = stream.Next()
	}
	require.ErrorIs(b, err, io.EOF)
	return first
}

func (c *cluster) firstFromEntry() time.Duration {
	began := time.Now()
	response := c.openChat()
	defer func() { require.NoError(c.t, response.Body.Close()) }()
	buffer, received := make([]byte, 4096), []byte{}
	for !bytes.Contains(received, []byte(`"content":"`)) {
		n, err := response.Body.Read(buffer)
		received = append(received, buffer[:n]...)
		require.NoError(c.t, err)
	}
	first := time.Since(began)
	_, err := io.Copy(io.Discard, response.Body)
	require.NoError(c.t, err)
	return first
}
