package weights_test

import (
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/internal/standin/weights"
	"github.com/wasabishunt/wasabishunt/upstream/weightstore"
)

// fetch reads weights n times in parallel and returns the time until all are read.
func fetch(t *testing.T, settings weights.Settings, n int) (time.Duration, weights.Stats) {
	t.Helper()
	s := weights.New(settings)
	server := httptest.NewServer(s)
	defer server.Close()
	begin := time.Now()
	var group sync.WaitGroup
	for range n {
		group.Go(func() {
			c := weightstore.New(strings.TrimPrefix(server.URL, "http://"), weightstore.Options{})
			defer c.Close()
			assert.NoError(t, c.Fetch(t.Context(), "models/v1"))
		})
	}
	group.Wait()
	elapsed := time.Since(begin)
	// The store counts a transfer when its handler returns, which may be after the client has read the last byte.
	server.Close()
	return elapsed, s.Stats()
}

// Guards against a weight store without a total rate limit, in which more than two parallel loads are not slower.
// The lower bounds follow from the rates: 0.8 s for two at once and 1.6 s for four, divided by the time scale.
func TestMoreThanTwoLoadsAtOnceTakeLonger(t *testing.T) {
	two, _ := fetch(t, weights.Settings{TimeScale: 8}, 2)
	four, _ := fetch(t, weights.Settings{TimeScale: 8}, 4)
	assert.GreaterOrEqual(t, two, 95*time.Millisecond)
	assert.GreaterOrEqual(t, four, 190*time.Millisecond)
}

// Guards against a client that fails at the first 429, or that retries before the time in Retry-After.
func TestRefusedReadersWaitAndSucceed(t *testing.T) {
	_, stats := fetch(t, weights.Settings{TimeScale: 20, MaxTransfers: 1}, 4)
	assert.Equal(t, 1, stats.Peak)
	assert.Equal(t, int64(4), stats.Finished)
	assert.Positive(t, stats.Refused)
	// A wait of 25 ms between attempts allows each of three waiting readers at most 8 refusals in the 160 ms
	// that four transfers take; twice that leaves room for a busy machine.
	assert.Less(t, stats.Refused, int64(48))
}

// Guards against retries without a limit.
func TestAttemptsAreLimited(t *testing.T) {
	s := weights.New(weights.Settings{MaxTransfers: -1, RetryAfter: time.Millisecond})
	server := httptest.NewServer(s)
	defer server.Close()
	c := weightstore.New(strings.TrimPrefix(server.URL, "http://"), weightstore.Options{MaxAttempts: 3})
	defer c.Close()
	require.Error(t, c.Fetch(t.Context(), "v1"))
	assert.Equal(t, int64(3), s.Stats().Refused)
}
