package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/entry"
	standin "github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/operators"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// TestRefusedRequests guards against invalid requests that are accepted, and against wrong status codes.
func TestRefusedRequests(t *testing.T) {
	c := newCluster(t, entry.Options{MaxBodyBytes: 4096})
	f := c.startFakeAgent("u1", completeAnswer)
	cases := []struct {
		name, body string
		headers    []string
		status     int
		kind       string
	}{
		{"wrong key", chatBody(false, ""), []string{"Authorization", "Bearer other"}, 401, "unauthorized"},
		{"no bearer", chatBody(false, ""), []string{"Authorization", apiKey}, 401, "unauthorized"},
		{"unknown model", `{"model":"x","messages":[{"role":"user","content":"a"}]}`, nil, 404, "model_not_found"},
		{"model of others", `{"model":"secret","messages":[{"role":"user","content":"a"}]}`, nil, 404, "model_not_found"},
		{"bad JSON", `{"model"`, nil, 400, "invalid_request"},
		{"trailing data", chatBody(false, "") + "{}", nil, 400, "invalid_request"},
		{"unknown field", chatBody(false, `,"tools":[]`), nil, 400, "invalid_request"},
		{"unknown role", `{"model":"model","messages":[{"role":"|> x","content":"a"}]}`, nil, 400, "invalid_request"},
		{"several choices", chatBody(false, `,"n":2`), nil, 400, "invalid_request"},
		{"no messages", `{"model":"model","messages":[]}`, nil, 400, "invalid_request"},
		{"too large", chatBody(false, "") + strings.Repeat(" ", 5000), nil, 413, "body_too_large"},
		{"bad deadline", chatBody(false, ""), []string{"X-Deadline-Ms", "soon"}, 400, "invalid_request"},
		{"negative deadline", chatBody(false, ""), []string{"X-Deadline-Ms", "-1"}, 400, "invalid_request"},
		{"unknown rank", chatBody(false, ""), []string{"X-Rank", "top"}, 400, "invalid_request"},
		{"rank of others", chatBody(false, ""), []string{"X-Rank", "overnight"}, 403, "forbidden"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			response, body := c.do(http.MethodPost, chatPath, test.body, append(test.headers, "X-Request-Id", "mine")...)
			failed := errorOf(t, body)
			assert.Equal(t, test.status, response.StatusCode, string(body))
			assert.Equal(t, test.kind, failed.Type)
			assert.Equal(t, "not_run", failed.Execution)
			assert.Equal(t, response.Header.Get("X-Request-Id"), failed.RequestID)
			assert.Equal(t, "mine", failed.ClientRequestID)
		})
	}
	assert.Empty(t, f.received(), "no refused request reaches an upstream")
}

// TestStaleEntry guards against new work under a set that control has not confirmed.
func TestStaleEntry(t *testing.T) {
	c := newCluster(t, entry.Options{})
	f := c.startFakeAgent("u1", completeAnswer)
	response, _ := c.do(http.MethodGet, "/readyz", "")
	assert.Equal(t, http.StatusOK, response.StatusCode)
	c.view.Change(func(v *controlclient.View) { v.FreshUntil = time.Now() })
	response, body := c.do(http.MethodPost, chatPath, chatBody(false, ""))
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Equal(t, "stale_set", errorOf(t, body).Code)
	assert.Equal(t, "1", response.Header.Get("Retry-After"))
	response, _ = c.do(http.MethodGet, "/readyz", "")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Empty(t, f.received())
}

// TestReadyAgainWithTimeLeft guards against a stale entry that becomes ready although its new confirmation expires soon:
// callers would be sent there and refused a moment later.
func TestReadyAgainWithTimeLeft(t *testing.T) {
	c := newCluster(t, entry.Options{ReadyMargin: 2 * time.Second})
	c.startFakeAgent("u1", completeAnswer)
	readyStatus := func(remaining time.Duration) int {
		c.view.Change(func(v *controlclient.View) { v.FreshUntil = time.Now().Add(remaining) })
		response, _ := c.do(http.MethodGet, "/readyz", "")
		return response.StatusCode
	}
	assert.Equal(t, http.StatusOK, readyStatus(4*time.Second))
	assert.Equal(t, http.StatusOK, readyStatus(time.Second), "an entry that is ready stays so")
	assert.Equal(t, http.StatusServiceUnavailable, readyStatus(0))
	assert.Equal(t, http.StatusServiceUnavailable, readyStatus(time.Second))
	assert.Equal(t, http.StatusOK, readyStatus(4*time.Second))
}

// TestAcceptsAgainWithTimeLeft guards against a stale entry that accepts a request on a late confirmation and refuses the
// next one a moment later: after a cut, the confirmations of a session that has ended may still arrive.
func TestAcceptsAgainWithTimeLeft(t *testing.T) {
	c := newCluster(t, entry.Options{ReadyMargin: 2 * time.Second})
	c.startFakeAgent("u1", completeAnswer)
	status := func(remaining time.Duration) int {
		c.view.Change(func(v *controlclient.View) { v.FreshUntil = time.Now().Add(remaining) })
		response, _ := c.do(http.MethodPost, chatPath, chatBody(false, ""))
		return response.StatusCode
	}
	assert.Equal(t, http.StatusOK, status(4*time.Second))
	assert.Equal(t, http.StatusOK, status(time.Second), "an entry that accepts requests goes on")
	assert.Equal(t, http.StatusServiceUnavailable, status(0))
	assert.Equal(t, http.StatusServiceUnavailable, status(time.Second))
	assert.Equal(t, http.StatusOK, status(4*time.Second))
}

// TestObservedVersion guards against new work under a set after a reply has named a newer version.
func TestObservedVersion(t *testing.T) {
	c := newCluster(t, entry.Options{SetVersionTimeout: 20 * time.Millisecond})
	c.startFakeAgent("u1", func(req *agentpb.GenerateRequest, send send) error {
		event := accepted(req)
		event.GetAccepted().Load = &agentpb.UpstreamLoad{Upstream: "u1", SetVersion: 99}
		send(event)
		return completeAnswer(req, send)
	})
	response, _ := c.do(http.MethodPost, chatPath, chatBody(false, ""))
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, uint64(99), c.view.Observed())
	_, body := c.do(http.MethodPost, chatPath, chatBody(false, ""))
	assert.Equal(t, "stale_set", errorOf(t, body).Code)
}

// TestAccountConcurrency guards against an account that exceeds its limit of concurrent requests.
func TestAccountConcurrency(t *testing.T) {
	c := newCluster(t, entry.Options{})
	c.set.Accounts[0].MaxConcurrent = 1
	started, release := make(chan struct{}), make(chan struct{})
	c.startFakeAgent("u1", func(req *agentpb.GenerateRequest, send send) error {
		close(started)
		<-release
		return completeAnswer(req, send)
	})
	first := make(chan int, 1)
	go func() {
		response, _ := c.do(http.MethodPost, chatPath, chatBody(false, ""))
		first <- response.StatusCode
	}()
	<-started
	response, body := c.do(http.MethodPost, chatPath, chatBody(false, ""))
	assert.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	assert.Equal(t, "overloaded", errorOf(t, body).Code)
	close(release)
	assert.Equal(t, http.StatusOK, <-first)
}

// rawRequest opens a connection and sends a request's header with the given Content-Length, and the given body.
func rawRequest(t *testing.T, address string, length int, body string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chatPath, apiKey, length, body)
	require.NoError(t, err)
	return conn
}

// TestSlowBody guards against a caller that occupies a request slot by never sending its body.
func TestSlowBody(t *testing.T) {
	c := newCluster(t, entry.Options{BodyTimeout: 50 * time.Millisecond})
	conn := rawRequest(t, c.http.Listener.Addr().String(), 1000, "{")
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
}

// TestSlowReader guards against a caller that keeps a run alive by not reading its answer.
func TestSlowReader(t *testing.T) {
	c := newCluster(t, entry.Options{WriteTimeout: 50 * time.Millisecond})
	ended := make(chan struct{})
	c.startFakeAgent("u1", func(req *agentpb.GenerateRequest, send send) error {
		defer close(ended)
		send(accepted(req))
		// Far more than the socket buffers hold; the entry must end the stream long before all of it is sent.
		for i := range int64(1 << 20) {
			if c.canceled() > 0 {
				return nil
			}
			send(delta(i, strings.Repeat("x", 1<<16)))
		}
		return nil
	})
	body := chatBody(true, "")
	rawRequest(t, c.http.Listener.Addr().String(), len(body), body)
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the stream to a caller that does not read goes on")
	}
}

// canceled returns the number of requests that ended with outcome canceled.
func (c *cluster) canceled() int64 {
	return gometrics.GetOrRegisterCounter("requests.canceled", c.registry).Count()
}

// TestMetricsAreNotForCallers guards against client accounts that read about other accounts in the entry's metrics.
func TestMetricsAreNotForCallers(t *testing.T) {
	c := newCluster(t, entry.Options{})
	response, err := http.Get(c.http.URL + "/metrics")
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusNotFound, response.StatusCode)
}

// TestGracefulStop guards against a stop that refuses callers before the load balancer has seen readyz fail, or that
// breaks running answers.
func TestGracefulStop(t *testing.T) {
	c := newCluster(t, entry.Options{DrainNotice: 300 * time.Millisecond})
	c.engineAgent("u1", standin.Settings{TimeScale: 1, DecodeTokensPerSecond: 20})
	listener := listen(t)
	c.http.URL = "http://" + listener.Addr().String()
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- c.server.Serve(ctx, listener) }()
	running := make(chan string, 1)
	go func() {
		_, body := c.do(http.MethodPost, chatPath, chatBody(true, ""))
		running <- string(body)
	}()
	response, _ := c.do(http.MethodGet, "/readyz", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	stop()
	require.Eventually(t, c.server.Draining, time.Second, time.Millisecond)
	response, _ = c.do(http.MethodGet, "/readyz", "")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	response, _ = c.do(http.MethodGet, "/v1/models", "")
	assert.Equal(t, http.StatusOK, response.StatusCode, "callers are served during the notice")
	assert.True(t, response.Close, "the response has Connection: close")
	assert.Contains(t, <-running, "[DONE]")
	require.NoError(t, <-served)
}

// TestEndOfAStopAnswersWhatRuns guards against requests that are cut without an answer at the drain limit, although their callers could be
// told that they may have run.
func TestEndOfAStopAnswersWhatRuns(t *testing.T) {
	c := newCluster(t, entry.Options{DrainNotice: time.Millisecond, DrainLimit: 400 * time.Millisecond})
	released := make(chan struct{})
	started := make(chan struct{}, 1)
	c.startFakeAgent("u1", func(req *agentpb.GenerateRequest, send send) error {
		send(accepted(req))
		started <- struct{}{}
		<-released
		return nil
	})
	defer close(released)
	listener := listen(t)
	c.http.URL = "http://" + listener.Addr().String()
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- c.server.Serve(ctx, listener) }()
	type answer struct {
		status int
		body   string
		err    error
	}
	answers := make(chan answer, 1)
	go func() {
		request, err := http.NewRequest(http.MethodPost, c.http.URL+chatPath, strings.NewReader(chatBody(false, "")))
		if err != nil {
			answers <- answer{err: err}
			return
		}
		request.Header.Set("Authorization", "Bearer "+apiKey)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			answers <- answer{err: err}
			return
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		answers <- answer{response.StatusCode, string(body), err}
	}()
	<-started
	stop()
	got := <-answers
	require.NoError(t, got.err)
	assert.GreaterOrEqual(t, got.status, 500)
	assert.Contains(t, got.body, "outcome_unknown")
	require.NoError(t, <-served)
}

// TestSlowHeader guards against a caller that occupies a connection by never sending its header.
func TestSlowHeader(t *testing.T) {
	c := newCluster(t, entry.Options{HeaderTimeout: 50 * time.Millisecond, DrainNotice: time.Millisecond})
	listener := listen(t)
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- c.server.Serve(ctx, listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost:")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadAll(conn)
	require.NoError(t, err, "the entry closes the connection before the test's own limit")
	stop()
	require.NoError(t, <-served)
}

// TestDebugRequest guards against past requests that can be looked up without an operator token, or not at all.
func TestDebugRequest(t *testing.T) {
	list := &operators.List{}
	require.Empty(t, list.Load(strings.NewReader("dana "+hashOf("dana's")+"\neli "+hashOf("eli's"))))
	c := newCluster(t, entry.Options{Operators: list})
	c.startFakeAgent("u1", completeAnswer)
	response, _ := c.do(http.MethodPost, chatPath, chatBody(false, ""))
	path := "/debug/requests/" + response.Header.Get("X-Request-Id")
	response, _ = c.do(http.MethodGet, path, "")
	assert.Equal(t, http.StatusUnauthorized, response.StatusCode)
	for _, wrong := range []string{"", "other", "dana"} {
		response, _ = c.do(http.MethodGet, path, "", "Authorization", "Bearer "+wrong)
		assert.Equal(t, http.StatusUnauthorized, response.StatusCode, wrong)
	}
	var body []byte
	for _, token := range []string{"dana's", "eli's"} {
		response, body = c.do(http.MethodGet, path, "", "Authorization", "Bearer "+token)
		assert.Equal(t, http.StatusOK, response.StatusCode, token)
		assert.Contains(t, string(body), `"outcome":"ok"`)
	}
	response, body = c.do(http.MethodGet, "/openapi.json", "")
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Contains(t, string(body), "X-Deadline-Ms")
	response, body = c.do(http.MethodGet, "/nowhere", "")
	assert.Equal(t, http.StatusNotFound, response.StatusCode)
	assert.Equal(t, "not_found", errorOf(t, body).Code)
}

// TestStopAnswersWhatHasArrived guards against closing kept connections at a stop without an answer to requests that had arrived:
// http.Server.Shutdown closes connections that it still takes for idle, and drops requests that it has just read.
func TestStopAnswersWhatHasArrived(t *testing.T) {
	const callers, rounds = 100, 5
	lost := 0
	for range rounds {
		c := newCluster(t, entry.Options{DrainNotice: time.Millisecond})
		// All callers have one account, and their requests may be in flight at the same time.
		c.set.Accounts[0].MaxConcurrent = callers
		listener := listen(t)
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- c.server.Serve(ctx, listener) }()
		conns, readers := make([]net.Conn, callers), make([]*bufio.Reader, callers)
		call := "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + apiKey + "\r\n\r\n"
		ask := func(i int) error {
			_, err := io.WriteString(conns[i], call)
			return err
		}
		answered := func(i int) bool {
			response, err := http.ReadResponse(readers[i], nil)
			if err != nil {
				return false
			}
			_, err = io.Copy(io.Discard, response.Body)
			return err == nil && response.StatusCode == http.StatusOK
		}
		for i := range conns {
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			conns[i], readers[i] = conn, bufio.NewReader(conn)
			require.NoError(t, ask(i))
			require.True(t, answered(i))
		}
		for i := range conns {
			require.NoError(t, ask(i))
		}
		stop()
		for i := range conns {
			if !answered(i) {
				lost++
			}
		}
		require.NoError(t, <-served)
	}
	require.Zero(t, lost, "requests without an answer, of %d", rounds*callers)
}
