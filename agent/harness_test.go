package agent_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"storj.io/drpc/drpcconn"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/fixedview"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEngine is an engine whose runs are scripted event by event.
type fakeEngine struct {
	engine.Client
	// script returns the events of a run; closing the channel breaks the stream.
	script func(engine.Request) <-chan engine.Event

	mu       sync.Mutex
	requests []engine.Request
	canceled chan string
	weights  engine.Weights
	imports  []engine.PieceRef
	commands []engine.WeightCommand
	// loadAtOnce marks a version as loaded when its load command arrives.
	loadAtOnce bool
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{canceled: make(chan string, 16), weights: engine.Weights{Loaded: []string{"v1"}}, script: answer("a ", "b ")}
}

// answer scripts a complete answer.
func answer(tokens ...string) func(engine.Request) <-chan engine.Event {
	return func(r engine.Request) <-chan engine.Event {
		events := make(chan engine.Event, len(tokens)+1)
		for i := len(r.Emitted); i < len(tokens); i++ {
			events <- engine.Event{Index: int64(i), Text: tokens[i], WeightVersion: r.WeightVersion}
		}
		events <- engine.Event{Final: true, TotalTokens: int64(len(tokens)), FinishReason: "stop", WeightVersion: r.WeightVersion}
		return events
	}
}

func (f *fakeEngine) Generate(ctx context.Context, r engine.Request) (engine.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	return &fakeStream{ctx: ctx, id: r.RequestID, engine: f, events: f.script(r)}, nil
}

// setScript sets the script of the runs that follow.
func (f *fakeEngine) setScript(script func(engine.Request) <-chan engine.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = script
}

func (f *fakeEngine) received() []engine.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

func (f *fakeEngine) Weights(context.Context) (engine.Weights, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.weights, nil
}

func (f *fakeEngine) LoadWeights(_ context.Context, command engine.WeightCommand) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, command)
	if f.loadAtOnce {
		f.weights.Loaded = []string{command.WeightVersion}
	}
	return nil
}

func (f *fakeEngine) setLoaded(versions ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.weights.Loaded = versions
}

func (f *fakeEngine) weightCommands() []engine.WeightCommand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commands
}

// Load reports an engine with cache capacity.
func (f *fakeEngine) Load(context.Context) (engine.Load, error) {
	return engine.Load{CacheCapacity: 1 << 20}, nil
}

func (f *fakeEngine) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, bool, error) {
	return nil, false, nil
}

type fakeStream struct {
	ctx    context.Context
	id     string
	engine *fakeEngine
	events <-chan engine.Event
}

func (s *fakeStream) Next() (engine.Event, error) {
	select {
	case event, ok := <-s.events:
		if !ok {
			return event, io.ErrUnexpectedEOF
		}
		return event, nil
	case <-s.ctx.Done():
		s.engine.canceled <- s.id
		return engine.Event{}, s.ctx.Err()
	}
}

func (s *fakeStream) Close() error { return nil }

func testSet() *objectset.Set {
	return &objectset.Set{
		Ranks:       []objectset.Rank{{Name: "urgent", Floor: 0.3, Worth: 1, FirstTokenMs: 720}},
		Models:      []objectset.Model{{Name: "model", WeightVersion: "v1", DefaultRank: "urgent"}},
		Deployments: []objectset.Deployment{{Name: "d", Model: "model", MaxLoading: 2}},
		Upstreams:   []objectset.Upstream{{Name: "u1", Deployment: "d", PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 50}},
		Services:    []objectset.Service{{Name: "desk", Rank: "urgent", NonIdempotent: []string{"POST /bookings"}}},
		Accounts: []objectset.Account{
			{Name: "a", Models: []string{"model"}, Services: []string{"desk"}}, {Name: "b", Models: []string{"model"}},
		},
	}
}

// fixture is an agent serving on a loopback address.
type fixture struct {
	t       testing.TB
	view    *fixedview.View
	control *fixedview.Control
	engine  *fakeEngine
	agent   *agent.Agent
	address string
}

func startAgent(t testing.TB, options agent.Options, deps agent.Dependencies) *fixture {
	t.Helper()
	f := &fixture{t: t, view: fixedview.New(testSet()), control: fixedview.NewControl()}
	options.ProcessID = "agent-1"
	options.WeightPollInterval, options.SlotPollInterval = 5*time.Millisecond, 5*time.Millisecond
	if deps.Service == nil {
		options.Upstream = "u1"
		f.engine = newFakeEngine()
		deps.Engine = f.engine
	}
	deps.Source, deps.Control = f.view, f.control
	f.agent = agent.New(options, deps)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- f.agent.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	if f.engine != nil {
		require.Eventually(t, func() bool { return len(f.load().GetWeightVersions()) > 0 }, 5*time.Second, time.Millisecond)
	}
	return f
}

func (f *fixture) load() *agentpb.UpstreamLoad {
	load, err := f.agent.Status(context.Background(), nil)
	require.NoError(f.t, err)
	return load
}

func (f *fixture) dial() (net.Conn, agentpb.DRPCAgentClient) {
	raw, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	conn := drpcconn.New(raw)
	f.t.Cleanup(func() { _ = conn.Close() })
	return raw, agentpb.NewDRPCAgentClient(conn)
}

func request(id string) *agentpb.GenerateRequest {
	return &agentpb.GenerateRequest{
		Header: &agentpb.Header{RequestId: id, Account: "a", Rank: "urgent", DeadlineMs: 30_000, SetVersion: 1},
		Model:  "model", WeightVersion: "v1", Prompt: "one two three", PromptTokens: 3, MaxTokens: 10,
	}
}

// open starts a request and returns its stream.
func (f *fixture) open(ctx context.Context, req *agentpb.GenerateRequest) agentpb.DRPCAgent_GenerateClient {
	f.t.Helper()
	_, client := f.dial()
	stream, err := client.Generate(ctx, req)
	require.NoError(f.t, err)
	return stream
}

// result collects the events of a stream.
type result struct {
	text     string
	end      *agentpb.End
	refusal  *agentpb.Refusal
	accepted bool
}

func read(stream agentpb.DRPCAgent_GenerateClient) result {
	var r result
	for {
		event, err := stream.Recv()
		if err != nil {
			return r
		}
		r.text += event.GetDelta().GetText()
		r.accepted = r.accepted || event.GetAccepted() != nil
		if event.GetEnd() != nil {
			r.end = event.GetEnd()
		}
		if event.GetRefusal() != nil {
			r.refusal = event.GetRefusal()
		}
	}
}

func (f *fixture) generate(req *agentpb.GenerateRequest) result {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	return read(f.open(ctx, req))
}

// requireRefused checks that a request was refused with not_run and never reached the engine.
func (f *fixture) requireRefused(r result, kind failure.Kind) {
	f.t.Helper()
	require.NotNil(f.t, r.refusal)
	require.Equal(f.t, string(kind), r.refusal.GetKind(), r.refusal.GetMessage())
	require.Equal(f.t, agentpb.Execution_NOT_RUN, r.refusal.GetExecution())
	require.Nil(f.t, r.end)
	require.False(f.t, r.accepted, "refused before it is queued")
	require.Empty(f.t, f.engine.received())
}
