package agent_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/metrics"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// Guards against a /readyz that succeeds while the agent refuses all work, with a stale set or during a drain.
func TestReadyFailsWhileWorkIsRefused(t *testing.T) {
	f := startAgent(t, agent.Options{}, agent.Dependencies{})
	require.NoError(t, f.agent.Ready())
	recorder := httptest.NewRecorder()
	page := metrics.StatusHandler(f.agent.Ready, nil)
	page.ServeHTTP(recorder, httptest.NewRequest("GET", "/readyz", nil))
	assert.Equal(t, 200, recorder.Code)
	f.view.Change(func(v *controlclient.View) { v.FreshUntil = time.Now().Add(-time.Second) })
	assert.True(t, failure.Is(f.agent.Ready(), failure.StaleSet))
	f.view.Change(func(v *controlclient.View) { v.FreshUntil = time.Now().Add(time.Hour) })
	require.NoError(t, f.agent.Drain(t.Context()))
	assert.True(t, failure.Is(f.agent.Ready(), failure.Draining))
	recorder = httptest.NewRecorder()
	page.ServeHTTP(recorder, httptest.NewRequest("GET", "/readyz", nil))
	assert.Equal(t, 503, recorder.Code)
	assert.True(t, strings.HasPrefix(recorder.Body.String(), "draining: "))
}

// Guards against a /readyz that still succeeds after the service could not be reached.
func TestReadyFailsWhenServiceIsUnreachable(t *testing.T) {
	f, _, server := startService(t)
	require.NoError(t, f.agent.Ready())
	server.Close()
	_, client := f.dial()
	response, err := client.CallService(context.Background(), &agentpb.ServiceRequest{
		Header:  &agentpb.Header{RequestId: "r", Account: "a", Rank: "urgent", DeadlineMs: 5_000, SetVersion: 1},
		Service: "desk", Method: "GET", Path: "/x",
	})
	require.NoError(t, err)
	require.NotNil(t, response.GetRefusal())
	assert.True(t, failure.Is(f.agent.Ready(), failure.UpstreamFailed))
}

// Guards against an agent that drains right after a restart: until the new incarnation has registered, control still
// records the earlier one as leaving.
func TestLeavingOfAnEarlierIncarnationDoesNotCount(t *testing.T) {
	f := startAgent(t, agent.Options{}, agent.Dependencies{})
	f.view.Change(func(v *controlclient.View) {
		v.Epoch = 2
		v.Processes["agent-1"] = controlclient.Process{ID: "agent-1", Epoch: 1, State: controlclient.Leaving}
	})
	require.Equal(t, "a b ", f.generate(request("r")).text)
	f.view.Change(func(v *controlclient.View) {
		v.Processes["agent-1"] = controlclient.Process{ID: "agent-1", Epoch: 2, State: controlclient.Leaving}
	})
	select {
	case <-f.agent.DrainStarted():
	case <-time.After(5 * time.Second):
		t.Fatal("the agent does not drain")
	}
}
