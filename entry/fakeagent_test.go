package entry_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/entry"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// fakeAgent answers requests with a scripted stream.
type fakeAgent struct {
	agentpb.DRPCAgentUnimplementedServer
	name   string
	script func(req *agentpb.GenerateRequest, send func(*agentpb.GenerateEvent)) error

	mu       sync.Mutex
	requests []*agentpb.GenerateRequest
}

// Generate runs the script; returning nil closes the stream cleanly.
func (f *fakeAgent) Generate(req *agentpb.GenerateRequest, stream agentpb.DRPCAgent_GenerateStream) error {
	f.mu.Lock()
	f.requests = append(f.requests, req)
	f.mu.Unlock()
	return f.script(req, func(event *agentpb.GenerateEvent) { _ = stream.Send(event) })
}

func (f *fakeAgent) received() []*agentpb.GenerateRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

type send = func(*agentpb.GenerateEvent)

// startFakeAgent starts a fakeAgent for an upstream.
func (c *cluster) startFakeAgent(name string, script func(*agentpb.GenerateRequest, send) error) *fakeAgent {
	c.t.Helper()
	f := &fakeAgent{name: name, script: script}
	c.listenAs(name, f)
	return f
}

// listenAs serves an agent implementation for an upstream or service.
func (c *cluster) listenAs(name string, server agentpb.DRPCAgentServer) {
	c.t.Helper()
	mux := drpcmux.New()
	require.NoError(c.t, agentpb.DRPCRegisterAgent(mux, server))
	listener := listen(c.t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- drpcserver.New(mux).Serve(ctx, listener) }()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
	c.addAgent(name, listener.Addr().String())
}

func accepted(req *agentpb.GenerateRequest) *agentpb.GenerateEvent {
	return &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Accepted{Accepted: &agentpb.Accepted{
		RequestId: req.GetHeader().GetRequestId(), WeightVersion: req.GetWeightVersion(),
	}}}
}

func delta(index int64, text string) *agentpb.GenerateEvent {
	return &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Delta{Delta: &agentpb.Delta{Index: index, Text: text}}}
}

func end(req *agentpb.GenerateRequest, total int64) *agentpb.GenerateEvent {
	return &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_End{End: &agentpb.End{
		RequestId: req.GetHeader().GetRequestId(), TotalTokens: total, FinishReason: "stop",
	}}}
}

func refusal(kind string, execution agentpb.Execution) *agentpb.GenerateEvent {
	return &agentpb.GenerateEvent{Event: &agentpb.GenerateEvent_Refusal{Refusal: &agentpb.Refusal{Kind: kind, Execution: execution}}}
}

// completeAnswer streams the tokens of "a b c " that the request has not received yet.
func completeAnswer(req *agentpb.GenerateRequest, send send) error {
	send(accepted(req))
	for i := len(req.GetEmitted()); i < 3; i++ {
		send(delta(int64(i), string(rune('a'+i))+" "))
	}
	send(end(req, 3))
	return nil
}

// TestUntrustworthyStreams guards against answers that are reported as complete although the stream had no End event,
// a gap, a repeat or a wrong token count, or belonged to another request.
func TestUntrustworthyStreams(t *testing.T) {
	cases := map[string]func(*agentpb.GenerateRequest, send) error{
		"clean close without End event": func(r *agentpb.GenerateRequest, send send) error {
			send(accepted(r))
			send(delta(0, "a "))
			return nil
		},
		"gap": func(r *agentpb.GenerateRequest, send send) error {
			send(accepted(r))
			send(delta(0, "a "))
			send(delta(2, "c "))
			send(end(r, 2))
			return nil
		},
		"repeat": func(r *agentpb.GenerateRequest, send send) error {
			send(accepted(r))
			send(delta(0, "a "))
			send(delta(0, "a "))
			send(end(r, 2))
			return nil
		},
		"End event with another count": func(r *agentpb.GenerateRequest, send send) error {
			send(accepted(r))
			send(delta(0, "a "))
			send(end(r, 2))
			return nil
		},
		"another request's events": func(r *agentpb.GenerateRequest, send send) error {
			other := accepted(r)
			other.GetAccepted().RequestId = "another"
			send(other)
			send(end(r, 0))
			return nil
		},
		"another request's End event": func(r *agentpb.GenerateRequest, send send) error {
			send(accepted(r))
			r.Header.RequestId = "another"
			send(end(r, 0))
			return nil
		},
		"another weight version": func(r *agentpb.GenerateRequest, send send) error {
			other := accepted(r)
			other.GetAccepted().WeightVersion = "v2"
			send(other)
			send(end(r, 0))
			return nil
		},
	}
	for name, script := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, entry.Options{MaxAttempts: 1})
			c.startFakeAgent("u1", script)
			response, body := c.do(http.MethodPost, chatPath, chatBody(false, ""))
			assert.Equal(t, http.StatusBadGateway, response.StatusCode)
			assert.Equal(t, "stream_broken", errorOf(t, body).Code)
			assert.NotEqual(t, "not_run", errorOf(t, body).Execution)
			_, body = c.do(http.MethodPost, chatPath, chatBody(true, ""))
			assert.NotContains(t, string(body), "[DONE]")
			assert.Contains(t, string(body), "stream_broken")
		})
	}
}

// TestContinuation guards against a broken stream that is not continued on another upstream, or is continued with a gap,
// a repeat or another weight version.
func TestContinuation(t *testing.T) {
	c := newCluster(t, entry.Options{})
	script := func(req *agentpb.GenerateRequest, send send) error {
		if len(req.GetEmitted()) == 2 {
			return completeAnswer(req, send)
		}
		send(accepted(req))
		send(delta(0, "a "))
		send(delta(1, "b "))
		return nil
	}
	agents := []*fakeAgent{c.startFakeAgent("u1", script), c.startFakeAgent("u2", script)}
	response, body := c.do(http.MethodPost, chatPath, chatBody(true, ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	assert.Contains(t, string(body), "[DONE]")
	for _, token := range []string{`"a "`, `"b "`, `"c "`} {
		assert.Equal(t, 1, strings.Count(string(body), token), token)
	}
	requests := append(agents[0].received(), agents[1].received()...)
	require.Len(t, requests, 2)
	assert.Equal(t, requests[0].GetWeightVersion(), requests[1].GetWeightVersion())
	assert.NotEqual(t, requests[0].GetHeader().GetRequestId(), requests[1].GetHeader().GetRequestId())
}

// TestRetryOnlyWhenNotRun guards against a refusal that reaches the caller without a retry on another upstream, and
// against retries beyond the budget.
func TestRetryOnlyWhenNotRun(t *testing.T) {
	c := newCluster(t, entry.Options{RetryBurst: 1, RetryShare: 0.001})
	refuse := func(_ *agentpb.GenerateRequest, send send) error {
		send(refusal("overloaded", agentpb.Execution_NOT_RUN))
		return nil
	}
	agents := []*fakeAgent{c.startFakeAgent("u1", refuse), c.startFakeAgent("u2", refuse)}
	response, body := c.do(http.MethodPost, chatPath, chatBody(false, ""))
	assert.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	assert.Equal(t, "not_run", errorOf(t, body).Execution)
	assert.Len(t, append(agents[0].received(), agents[1].received()...), 2, "one retry")
	c.do(http.MethodPost, chatPath, chatBody(false, ""))
	assert.Len(t, append(agents[0].received(), agents[1].received()...), 3, "the budget is spent")
}

// TestNotRunAfterRun guards against reporting not_run for a request whose first attempt may have run.
func TestNotRunAfterRun(t *testing.T) {
	c := newCluster(t, entry.Options{})
	var calls int
	script := func(req *agentpb.GenerateRequest, send send) error {
		calls++
		if calls == 1 {
			send(accepted(req))
			return nil
		}
		send(refusal("overloaded", agentpb.Execution_NOT_RUN))
		return nil
	}
	c.startFakeAgent("u1", script)
	c.startFakeAgent("u2", script)
	_, body := c.do(http.MethodPost, chatPath, chatBody(false, ""))
	assert.Equal(t, 2, calls)
	assert.Equal(t, "unknown", errorOf(t, body).Execution)
}

// TestDeadlineInQueue guards against reporting an unknown execution for a request that the agent refuses as not run at
// its deadline.
func TestDeadlineInQueue(t *testing.T) {
	c := newCluster(t, entry.Options{})
	c.startFakeAgent("u1", func(req *agentpb.GenerateRequest, send send) error {
		send(accepted(req))
		<-time.After(time.Duration(req.GetHeader().GetDeadlineMs()) * time.Millisecond)
		send(refusal("deadline_exceeded", agentpb.Execution_NOT_RUN))
		return nil
	})
	response, body := c.do(http.MethodPost, chatPath, chatBody(false, ""), "X-Deadline-Ms", "50")
	assert.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	assert.Equal(t, "not_run", errorOf(t, body).Execution)
}

// TestUnresponsiveAgent guards against a caller that waits without limit for an agent behind a broken link.
func TestUnresponsiveAgent(t *testing.T) {
	c := newCluster(t, entry.Options{StreamIdleTimeout: 50 * time.Millisecond, MaxAttempts: 2})
	release := make(chan struct{})
	script := func(req *agentpb.GenerateRequest, send send) error {
		send(accepted(req))
		<-release
		return nil
	}
	c.startFakeAgent("u1", script)
	t.Cleanup(func() { close(release) })
	response, body := c.do(http.MethodPost, chatPath, chatBody(false, ""))
	assert.Equal(t, http.StatusBadGateway, response.StatusCode, string(body))
}

// TestAccountScope guards against accounts that share cache: the same prompt must have different piece names.
func TestAccountScope(t *testing.T) {
	c := newCluster(t, entry.Options{})
	set := *c.set
	second := set.Accounts[0]
	second.Name = "b"
	second.KeySHA256 = []string{hashOf("key-b")}
	set.Accounts = append(set.Accounts, second)
	c.set = &set
	f := c.startFakeAgent("u1", completeAnswer)
	long := `{"model":"model","messages":[{"role":"user","content":"` + strings.Repeat("word ", 2100) + `"}]}`
	c.do(http.MethodPost, chatPath, long)
	c.do(http.MethodPost, chatPath, long, "Authorization", "Bearer key-b")
	requests := f.received()
	require.Len(t, requests, 2)
	require.Len(t, requests[0].GetPieceNames(), 1)
	assert.Equal(t, "b", requests[1].GetHeader().GetAccount())
	assert.NotEqual(t, requests[0].GetPieceNames(), requests[1].GetPieceNames())
}
