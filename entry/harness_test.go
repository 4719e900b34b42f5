package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/entry"
	"github.com/wasabishunt/wasabishunt/internal/fixedview"
	standin "github.com/wasabishunt/wasabishunt/internal/standin/engine"
	standinservice "github.com/wasabishunt/wasabishunt/internal/standin/service"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/routing"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
	"github.com/wasabishunt/wasabishunt/upstream/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const apiKey = "key-a"

func hashOf(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// cluster is an entry and its agents in the test's process, connected over loopback TCP.
type cluster struct {
	registry gometrics.Registry
	t        testing.TB
	set      *objectset.Set
	view     *fixedview.View
	control  *fixedview.Control
	server   *entry.Server
	http     *httptest.Server
}

func testSet() *objectset.Set {
	return &objectset.Set{
		Ranks: []objectset.Rank{
			{Name: "urgent", Order: 0, Floor: 0.3, Worth: 1, FirstTokenMs: 720},
			{Name: "overnight", Order: 1, Floor: 0.1, Worth: 1, FirstTokenMs: 60000},
		},
		Models:         []objectset.Model{{Name: "model", WeightVersion: "v1", DefaultRank: "urgent"}, {Name: "secret", WeightVersion: "v1", DefaultRank: "urgent"}},
		WeightVersions: []objectset.WeightVersion{{Name: "v1", Model: "model"}, {Name: "v2", Model: "model"}},
		Deployments:    []objectset.Deployment{{Name: "d", Model: "model", MaxLoading: 2}},
		Services:       []objectset.Service{{Name: "desk", Rank: "urgent", NonIdempotent: []string{"POST /bookings"}}},
		Accounts: []objectset.Account{{
			Name: "a", KeySHA256: []string{hashOf(apiKey)}, Models: []string{"model"}, Services: []string{"desk"},
			Ranks: []string{"urgent"}, MaxConcurrent: 8,
		}},
	}
}

// newCluster starts an entry without agents.
func newCluster(t testing.TB, options entry.Options) *cluster {
	t.Helper()
	c := &cluster{t: t, set: testSet(), control: fixedview.NewControl(), registry: gometrics.NewRegistry()}
	c.view = fixedview.New(c.set)
	pool := entry.NewPool("")
	c.server = entry.New(options, entry.Dependencies{
		Source: c.view, Bookings: c.control, Agents: pool, Registry: c.registry,
		Router: entry.NewTableRouter(routing.Defaults(), "", clock.System{}),
	})
	c.http = httptest.NewServer(c.server.Handler())
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		c.http.CloseClientConnections()
		c.http.Close()
		require.NoError(t, pool.Close())
	})
	return c
}

// addAgent adds a live agent process to the view, and its upstream to the set.
func (c *cluster) addAgent(name, address string) {
	set := *c.set
	if name != "desk" {
		set.Upstreams = append(append([]objectset.Upstream(nil), set.Upstreams...), objectset.Upstream{
			Name: name, Deployment: "d", AgentAddress: address, PrefillTokensPerSecond: 20000, DecodeTokensPerSecond: 50,
		})
	} else {
		services := append([]objectset.Service(nil), set.Services...)
		services[0].AgentAddresses = append(append([]string(nil), services[0].AgentAddresses...), address)
		set.Services = services
	}
	c.set = &set
	c.view.Change(func(v *controlclient.View) {
		v.Set = &set
		v.Version++
		id := name + "@" + address
		v.Processes[id] = controlclient.Process{ID: id, Role: "agent", Address: address, Serves: name, Epoch: 1, State: controlclient.Live}
	})
}

// serve runs an agent on a listener until the test ends.
func (c *cluster) serve(a *agent.Agent, listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Serve(ctx, listener) }()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// engineAgent starts an engine stand-in with its agent.
func (c *cluster) engineAgent(name string, settings standin.Settings) *standin.Server {
	settings.Model = "model"
	settings.WeightVersion = "v1"
	if settings.TimeScale == 0 {
		settings.TimeScale = 50
	}
	s := standin.New(settings)
	server := httptest.NewServer(s)
	client := engine.NewHTTP(strings.TrimPrefix(server.URL, "http://"), engine.HTTPOptions{})
	c.t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		s.Close()
		server.Close()
	})
	listener := listen(c.t)
	c.addAgent(name, listener.Addr().String())
	a := agent.New(agent.Options{ProcessID: name, Upstream: name}, agent.Dependencies{Source: c.view, Control: c.control, Engine: client})
	c.serve(a, listener)
	require.Eventually(c.t, func() bool {
		load, err := a.Status(context.Background(), nil)
		return err == nil && len(load.GetWeightVersions()) > 0
	}, 5*time.Second, 5*time.Millisecond)
	return s
}

// serviceAgent starts a service stand-in with its agent.
func (c *cluster) serviceAgent() *standinservice.Server {
	s := standinservice.New(nil)
	server := httptest.NewServer(s)
	c.t.Cleanup(server.Close)
	client := service.New(strings.TrimPrefix(server.URL, "http://"), service.Options{})
	listener := listen(c.t)
	c.addAgent("desk", listener.Addr().String())
	a := agent.New(agent.Options{ProcessID: "desk-agent", Service: "desk"}, agent.Dependencies{Source: c.view, Control: c.control, Service: client})
	c.serve(a, listener)
	return s
}

// do sends a request with the key of account a; headers are pairs of name and value.
func (c *cluster) do(method, path, body string, headers ...string) (*http.Response, []byte) {
	c.t.Helper()
	request, err := http.NewRequestWithContext(c.t.Context(), method, c.http.URL+path, bytes.NewBufferString(body))
	require.NoError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response, answer
}

const chatPath = "/v1/chat/completions"

func chatBody(stream bool, extra string) string {
	body, _ := json.Marshal(map[string]any{
		"model": "model", "stream": stream, "max_completion_tokens": 20,
		"messages": []map[string]string{{"role": "user", "content": "What goes into the kiln today?"}},
	})
	return strings.TrimSuffix(string(body), "}") + extra + "}"
}

// errorOf decodes the body of a failed response.
func errorOf(t *testing.T, body []byte) entry.FailureDetail {
	t.Helper()
	var decoded entry.FailureBody
	require.NoError(t, json.Unmarshal(body, &decoded), string(body))
	return decoded.Error
}
