package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// slowStores reports the contents of the stores when the test closes known.
type slowStores struct {
	Stores
	known chan struct{}
}

func (s slowStores) Known() <-chan struct{} { return s.known }

// Guards against all requests that were held until the set was confirmed being sent a few milliseconds before the
// contents of the stores are known: engines then read again every document that the stores hold. Also guards against a
// wait of requests that fetch nothing, and against one that goes on when a store does not answer.
func TestPromptsWaitForTheStoresAfterAStart(t *testing.T) {
	s := newSystem(t, good)
	stores := slowStores{known: make(chan struct{})}
	s.gateway.options.Stores, s.gateway.started = stores, time.Now()
	waitOf := func(parts int, deadline time.Duration) time.Duration {
		c := &call{gateway: s.gateway, request: httptest.NewRequest("POST", "/", nil), started: time.Now(), service: &trafficset.Service{Engine: &trafficset.EngineSpec{}}}
		c.attributes = Attributes{Deadline: deadline, Generation: &Generation{Parts: make([]placement.Part, parts)}}
		c.awaitStores()
		return time.Since(c.started)
	}
	require.Less(t, waitOf(1, 12*time.Second), maxStartupWait, "a prompt without shared parts")
	require.GreaterOrEqual(t, waitOf(2, 200*time.Millisecond), 50*time.Millisecond, "a quarter of the caller's time")
	time.AfterFunc(20*time.Millisecond, func() { close(stores.known) })
	wait := waitOf(2, 12*time.Second)
	require.GreaterOrEqual(t, wait, 15*time.Millisecond)
	require.Less(t, wait, maxStartupWait)
}

// Guards against refusing all callers of the time between the start of the nodes and the first election of the core,
// when all nodes were restarted at once: callers that are refused return half a second later, or not at all.
func TestRequestsWaitForTheSetAfterAStart(t *testing.T) {
	const callers = 3
	s := newSystem(t, good)
	confirm := s.sets.restart()
	statuses := make([]int, callers)
	var group sync.WaitGroup
	for i := range statuses {
		group.Go(func() {
			statuses[i], _, _ = s.call("POST", "/once/", "x")
		})
	}
	require.Eventually(t, func() bool { return s.gateway.Active() == callers }, time.Second, time.Millisecond)
	require.Empty(t, s.startedRuns(), "a request ran under a set that may be outdated")
	confirm()
	group.Wait()
	require.Equal(t, []int{200, 200, 200}, statuses)
	require.Len(t, s.startedRuns(), callers)
}

// Guards against a wait that uses up the time in which another node could serve the caller, and against one on a node
// that has been cut off from the core since its start.
func TestStartupWait(t *testing.T) {
	for _, c := range []struct {
		sinceStart, deadline, want time.Duration
	}{
		{0, 12 * time.Second, maxStartupWait},
		{time.Second, 12 * time.Second, maxStartupWait},
		{0, time.Second, 250 * time.Millisecond},
		{startupPeriod + time.Millisecond, 12 * time.Second, 0},
	} {
		require.Equal(t, c.want, startupWait(c.sinceStart, c.deadline))
	}
}

// Guards against requests that are served by a set which should have been replaced by now, and against a refusal without the time of a
// retry.
func TestOutdatedSetServesNobody(t *testing.T) {
	s := newSystem(t, good)
	s.sets.outdated.Store(true)
	response, err := http.DefaultClient.Do(s.request("POST", "/safe/", "x"))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "0.50", response.Header.Get("Retry-After"))
	require.Empty(t, s.startedRuns())
	s.sets.outdated.Store(false)
	status, _, err := s.call("POST", "/safe/", "x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}
