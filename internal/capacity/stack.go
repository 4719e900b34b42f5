package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/entry"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/fixedview"
	standin "github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/routing"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

const (
	upstreamName = "upstream-00000"
	// readyTimeout limits the start of an agent.
	readyTimeout = 10 * time.Second
)

// stack is an engine with its agent and an entry, over loopback TCP in this process. The view is fixed.
type stack struct {
	engine  engine.Client
	agent   *agent.Agent
	address string
	entry   *httptest.Server
	agents  *rpcpool.Pool
	stops   []func()
}

// engineSettings returns settings of an engine that is faster than the measured path.
func engineSettings() standin.Settings {
	return standin.Settings{
		Model: modelName, WeightVersion: weightVersion, PrefillTokensPerSecond: 10_000_000, DecodeTokensPerSecond: 2000, MaxBatch: 64,
	}
}

// startEngine starts the engine stand-in and returns a client for it.
func (s *stack) startEngine() {
	server := standin.New(engineSettings())
	listener := httptest.NewServer(server)
	client := engine.NewHTTP(strings.TrimPrefix(listener.URL, "http://"), engine.HTTPOptions{})
	s.engine = client
	s.stops = append(s.stops, func() {
		client.Close()
		listener.CloseClientConnections()
		server.Close()
		listener.Close()
	})
}

// start starts the agent and the entry in front of the engine.
func (s *stack) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	view := fixedview.New(s.set(), controlclient.Process{
		ID: "agent-1", Role: "agent", Address: s.address, Serves: upstreamName, Epoch: 1, State: controlclient.Live,
	})
	s.agent = agent.New(agent.Options{ProcessID: "agent-1", Upstream: upstreamName, Workers: 64},
		agent.Dependencies{Source: view, Control: fixedview.NewControl(), Engine: s.engine})
	serving, stop := context.WithCancel(ctx)
	var running errgroup.Group
	running.Go(func() error { return s.agent.Serve(serving, listener) })
	s.stops = append(s.stops, func() { stop(); _ = running.Wait() })
	s.startEntry(view)
	return s.awaitReady(ctx)
}

func (s *stack) startEntry(view *fixedview.View) {
	s.agents = rpcpool.New(rpcpool.Options{})
	server := entry.New(entry.Options{}, entry.Dependencies{
		Source: view, Bookings: fixedview.NewControl(), Agents: s.agents,
		Router: entry.NewTableRouter(routing.Defaults(), "", clock.System{}),
	})
	s.entry = httptest.NewServer(server.Handler())
	s.stops = append(s.stops, func() {
		http.DefaultClient.CloseIdleConnections()
		s.entry.CloseClientConnections()
		s.entry.Close()
		_ = s.agents.Close()
	})
}

func (s *stack) set() *objectset.Set {
	set := newSet(1, 1)
	set.Upstreams[0].AgentAddress = s.address
	set.Upstreams[0].PrefillTokensPerSecond = 10_000_000
	set.Accounts[0].MaxConcurrent = 0
	return set
}

// awaitReady waits until the agent reports the engine's weight versions.
func (s *stack) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		load, err := s.agent.Status(ctx, nil)
		if err == nil && len(load.GetWeightVersions()) > 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return failure.Wrap(err, failure.Internal, failure.NotRun, "the agent has no weight version")
		}
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
}

func (s *stack) close() {
	for i := len(s.stops) - 1; i >= 0; i-- {
		s.stops[i]()
	}
}

// callFunc sends one request for a number of tokens and returns the time to the first token.
type callFunc func(ctx context.Context, id string, tokens int64) (first time.Duration, err error)

// callEngine calls the engine directly.
func (s *stack) callEngine(ctx context.Context, id string, tokens int64) (first time.Duration, err error) {
	began := time.Now()
	stream, err := s.engine.Generate(ctx, engine.Request{
		RequestID: id, Model: modelName, WeightVersion: weightVersion, Prompt: promptText, MaxTokens: tokens,
	})
	if err != nil {
		return 0, err
	}
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		if err != nil {
			return first, err
		}
		if first == 0 {
			first = time.Since(began)
		}
		if event.Final {
			return first, nil
		}
	}
}

// callAgent calls the agent, as an entry does.
func (s *stack) callAgent(ctx context.Context, id string, tokens int64) (first time.Duration, err error) {
	began := time.Now()
	conn := s.agents.Get(ctx, s.address)
	defer func() { _ = conn.Close() }()
	stream, err := agentpb.NewDRPCAgentClient(conn).Generate(ctx, generateRequest(id, tokens, promptText))
	if err != nil {
		return 0, err
	}
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Recv()
		if err != nil {
			return first, err
		}
		if refusal := event.GetRefusal(); refusal != nil {
			return first, measurementError("refused: %s", refusal.GetMessage())
		}
		if first == 0 && event.GetDelta() != nil {
			first = time.Since(began)
		}
		if event.GetEnd() != nil {
			return first, nil
		}
	}
}

func generateRequest(id string, tokens int64, prompt string) *agentpb.GenerateRequest {
	return &agentpb.GenerateRequest{
		Header: &agentpb.Header{RequestId: id, Account: "account-00000", Rank: rankName, DeadlineMs: 600_000, SetVersion: 1},
		Model:  modelName, WeightVersion: weightVersion, Prompt: prompt, PromptTokens: int64(len(strings.Fields(prompt))), MaxTokens: tokens,
	}
}

// callEntry calls the entry over HTTP, as a caller does.
func (s *stack) callEntry(ctx context.Context, _ string, tokens int64) (first time.Duration, err error) {
	body, err := json.Marshal(map[string]any{
		"model": modelName, "stream": true, "max_completion_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": promptText}},
	})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.entry.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+accountKey+"0")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response, began)
}

// readAnswer reads a streamed answer up to the event [DONE] and returns the time to the first token.
func readAnswer(response *http.Response, began time.Time) (first time.Duration, err error) {
	buffer, tail := make([]byte, 4096), ""
	for {
		n, err := response.Body.Read(buffer)
		if first == 0 && bytes.Contains(buffer[:n], []byte(`"content":"`)) {
			first = time.Since(began)
		}
		tail += string(buffer[:n])
		tail = tail[max(0, len(tail)-64):]
		if err == nil {
			continue
		}
		if err != io.EOF || !strings.Contains(tail, "[DONE]") || response.StatusCode != http.StatusOK {
			return first, failure.Wrap(err, failure.Internal, failure.Unknown, "status %d, answer without the event [DONE], last bytes %q", response.StatusCode, tail)
		}
		return first, nil
	}
}
