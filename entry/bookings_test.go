package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/entry"
	"github.com/wasabishunt/wasabishunt/failure"
	standinservice "github.com/wasabishunt/wasabishunt/internal/standin/service"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

const bookingPath = "/services/desk/bookings"

// TestBookingOnce guards against a booking that runs twice, an answer that is not replayed, and a key that is accepted
// for a different call.
func TestBookingOnce(t *testing.T) {
	c := newCluster(t, entry.Options{})
	s := c.serviceAgent()
	key := uuid.Must(uuid.NewV7()).String()
	response, first := c.do(http.MethodPost, bookingPath, "{}", "Idempotency-Key", key)
	require.Equal(t, http.StatusOK, response.StatusCode, string(first))
	response, replayed := c.do(http.MethodPost, bookingPath, "{}", "Idempotency-Key", key)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "true", response.Header.Get("Idempotency-Replayed"))
	assert.Equal(t, first, replayed)
	response, body := c.do(http.MethodPost, bookingPath, `{"other":1}`, "Idempotency-Key", key)
	assert.Equal(t, http.StatusConflict, response.StatusCode)
	assert.Equal(t, "key_conflict", errorOf(t, body).Code)
	assert.Equal(t, int64(1), s.Executions().Total)
	assert.Len(t, s.Executions().ByBooking, 1, "the service receives the booking id")
}

// TestBookingHeaders guards against bookings without a valid key, also when their path is spelled differently.
func TestBookingHeaders(t *testing.T) {
	c := newCluster(t, entry.Options{})
	s := c.serviceAgent()
	cases := map[string]struct {
		path    string
		headers []string
		kind    string
	}{
		"no key":          {bookingPath, nil, "idempotency_key_required"},
		"no time":         {bookingPath, []string{"Idempotency-Key", "k"}, "invalid_request"},
		"bad time":        {bookingPath, []string{"Idempotency-Key", "k", "Idempotency-Issued-At", "now"}, "invalid_request"},
		"case":            {"/services/desk/Bookings", nil, "idempotency_key_required"},
		"escape":          {"/services/desk/book%69ngs", nil, "idempotency_key_required"},
		"escaped dots":    {"/services/desk/x/%2e%2e/bookings", nil, "invalid_request"},
		"escaped escape":  {"/services/desk/%2562ookings", nil, "invalid_request"},
		"unknown service": {"/services/other/x", nil, "service_not_found"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, body := c.do(http.MethodPost, test.path, "{}", test.headers...)
			assert.Equal(t, test.kind, errorOf(t, body).Code)
			assert.Equal(t, "not_run", errorOf(t, body).Execution)
		})
	}
	assert.Zero(t, s.Executions().Total)
	response, _ := c.do(http.MethodGet, "/services/desk/orders?id=1", "")
	assert.Equal(t, http.StatusOK, response.StatusCode, "plain calls need no key")
	response, _ = c.do(http.MethodPost, bookingPath, "{}", "Idempotency-Key", "k", "Idempotency-Issued-At", time.Now().Format(time.RFC3339))
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

// TestBrokenBooking guards against reporting not_run, or running the call again, after the service has run a call and
// closed the connection without an answer.
func TestBrokenBooking(t *testing.T) {
	c := newCluster(t, entry.Options{})
	s := c.serviceAgent()
	s.SetFaults(standinservice.FaultSettings{CloseAfter: 1})
	key := uuid.Must(uuid.NewV7()).String()
	for range 3 {
		_, body := c.do(http.MethodPost, bookingPath, "{}", "Idempotency-Key", key)
		assert.Equal(t, "outcome_unknown", errorOf(t, body).Code)
		assert.Equal(t, "unknown", errorOf(t, body).Execution)
	}
	assert.Equal(t, int64(1), s.Executions().Total)
}

// stalledAgent accepts service calls and never answers them, like an agent behind a network partition.
type stalledAgent struct {
	agentpb.DRPCAgentUnimplementedServer
	called chan struct{}
}

func (a *stalledAgent) CallService(ctx context.Context, _ *agentpb.ServiceRequest) (*agentpb.ServiceResponse, error) {
	close(a.called)
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestCallEndsWhenItsAgentIsDead guards against a booking that waits until its deadline for an agent that control has
// declared dead, and against reporting unknown although its claim was released.
func TestCallEndsWhenItsAgentIsDead(t *testing.T) {
	c := newCluster(t, entry.Options{})
	stalled := &stalledAgent{called: make(chan struct{})}
	c.listenAs("desk", stalled)
	go func() {
		<-stalled.called
		c.view.Change(func(v *controlclient.View) {
			for id, process := range v.Processes {
				process.State = controlclient.Dead
				v.Processes[id] = process
			}
		})
	}()
	started := time.Now()
	_, body := c.do(http.MethodPost, bookingPath, "{}", "Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	assert.Equal(t, "upstream_failed", errorOf(t, body).Code)
	assert.Equal(t, "not_run", errorOf(t, body).Execution)
	assert.Less(t, time.Since(started), 5*time.Second, "the default deadline is 5 min")
}

// TestReleasedBooking guards against a booking that stays claimed after it failed before its dispatch, and against
// reporting not_run although no release is stored in the replicated log.
func TestReleasedBooking(t *testing.T) {
	c := newCluster(t, entry.Options{})
	s := c.serviceAgent()
	down := map[string]bool{"dispatch": true}
	c.control.BeforeCall(func(call string) error {
		if down[call] {
			return failure.New(failure.NoQuorum, failure.NotRun, "no quorum")
		}
		return nil
	})
	key := uuid.Must(uuid.NewV7()).String()
	_, body := c.do(http.MethodPost, bookingPath, "{}", "Idempotency-Key", key)
	assert.Equal(t, "not_run", errorOf(t, body).Execution, "the claim was released")
	down["release"] = true
	_, body = c.do(http.MethodPost, bookingPath, "{}", "Idempotency-Key", key)
	assert.Equal(t, "unknown", errorOf(t, body).Execution, "the claim was not released")
	down["claim"] = true
	_, body = c.do(http.MethodPost, bookingPath, "{}", "Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	assert.Equal(t, "not_run", errorOf(t, body).Execution, "refused before a claim")
	assert.Zero(t, s.Executions().Total)
}
