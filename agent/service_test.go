package agent_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/failure"
	standin "github.com/wasabishunt/wasabishunt/internal/standin/service"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/upstream/service"
)

// startService starts an agent with a service stand-in.
func startService(t *testing.T) (*fixture, *standin.Server, *httptest.Server) {
	t.Helper()
	s := standin.New(nil)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client := service.New(strings.TrimPrefix(server.URL, "http://"), service.Options{})
	return startAgent(t, agent.Options{Service: "desk"}, agent.Dependencies{Service: client}), s, server
}

var bookingKey = &controlpb.BookingKey{Account: "a", IdempotencyKey: "k"}

// claim claims the booking, as an entry does.
func (f *fixture) claim() uint64 {
	response, err := f.control.ClaimBooking(f.t.Context(), &controlpb.ClaimBookingRequest{Key: bookingKey, PayloadHash: []byte("h"), ClaimId: "c"})
	require.NoError(f.t, err)
	require.True(f.t, response.GetGranted())
	return response.GetClaimEpoch()
}

func (f *fixture) book(epoch uint64) *agentpb.ServiceResponse {
	f.t.Helper()
	_, client := f.dial()
	response, err := client.CallService(f.t.Context(), &agentpb.ServiceRequest{
		Header:  &agentpb.Header{RequestId: "r", Account: "a", Rank: "urgent", DeadlineMs: 5000, SetVersion: 1},
		Service: "desk", Method: http.MethodPost, Path: "/bookings", Body: []byte("{}"),
		Booking: &agentpb.BookingRef{IdempotencyKey: "k", ClaimEpoch: epoch},
	})
	require.NoError(f.t, err)
	return response
}

// TestBookingRuns guards against a call before its dispatch, and against an outcome that is not recorded.
func TestBookingRuns(t *testing.T) {
	f, s, _ := startService(t)
	epoch := f.claim()
	f.control.BeforeCall(func(call string) error {
		if call == "dispatch" {
			assert.Zero(t, s.Executions().Total, "the dispatch comes before the call")
		}
		return nil
	})
	response := f.book(epoch)
	require.Nil(t, response.GetRefusal())
	assert.Equal(t, int32(http.StatusOK), response.GetStatus())
	assert.Equal(t, int64(1), s.Executions().Total)
	assert.Equal(t, []string{"dispatch", "finish"}, f.control.Calls()[len(f.control.Calls())-2:])
	f.control.BeforeCall(nil)
	assert.NotNil(t, f.book(epoch).GetRefusal(), "a claim is dispatched once")
	assert.Equal(t, int64(1), s.Executions().Total)
}

// TestBookingWithoutDispatch guards against a call whose dispatch was refused or not answered.
func TestBookingWithoutDispatch(t *testing.T) {
	f, s, _ := startService(t)
	epoch := f.claim()
	assert.NotNil(t, f.book(epoch+1).GetRefusal(), "another epoch")
	f.control.BeforeCall(func(call string) error {
		if call == "dispatch" {
			return failure.New(failure.NoQuorum, failure.Unknown, "no answer")
		}
		return nil
	})
	response := f.book(epoch)
	require.NotNil(t, response.GetRefusal())
	assert.Equal(t, agentpb.Execution_EXECUTION_UNKNOWN, response.GetRefusal().GetExecution())
	assert.Zero(t, s.Executions().Total)
}

// TestBrokenBooking guards against a repeated call, and against a refusal that says not_run, when the service closes the
// connection after it has run the call.
func TestBrokenBooking(t *testing.T) {
	f, s, _ := startService(t)
	s.SetFaults(standin.FaultSettings{CloseAfter: 1})
	epoch := f.claim()
	response := f.book(epoch)
	require.NotNil(t, response.GetRefusal())
	assert.Equal(t, "outcome_unknown", response.GetRefusal().GetKind())
	assert.NotEqual(t, agentpb.Execution_NOT_RUN, response.GetRefusal().GetExecution())
	assert.Equal(t, int64(1), s.Executions().Total)
	assert.NotNil(t, f.book(epoch).GetRefusal())
	assert.Equal(t, int64(1), s.Executions().Total)
}

// TestFinishRetried guards against an outcome that is lost, and against a caller that waits for control, when control is
// unavailable after the call.
func TestFinishRetried(t *testing.T) {
	f, s, _ := startService(t)
	epoch := f.claim()
	finishes := make(chan struct{}, 64)
	unavailable := true
	f.control.BeforeCall(func(call string) error {
		if call != "finish" {
			return nil
		}
		finishes <- struct{}{}
		if len(finishes) < 3 && unavailable {
			return failure.New(failure.NoQuorum, failure.NotRun, "no quorum")
		}
		unavailable = false
		return nil
	})
	require.Nil(t, f.book(epoch).GetRefusal())
	require.NoError(t, f.agent.Drain(t.Context()), "the drain waits for the report")
	assert.Len(t, finishes, 3)
	record, err := f.control.ClaimBooking(t.Context(), &controlpb.ClaimBookingRequest{Key: bookingKey, PayloadHash: []byte("h"), ClaimId: "d"})
	require.NoError(t, err)
	assert.Equal(t, controlpb.BookingState_FINISHED, record.GetState())
	response := f.book(epoch)
	assert.Equal(t, "draining", response.GetRefusal().GetKind())
	assert.Equal(t, agentpb.Execution_NOT_RUN, response.GetRefusal().GetExecution())
	assert.Equal(t, int64(1), s.Executions().Total)
}

// TestUnreachableService guards against a dispatch for a call that cannot be sent, and against a refusal that does not
// say not_run.
func TestUnreachableService(t *testing.T) {
	f, _, server := startService(t)
	server.Close()
	response := f.book(f.claim())
	require.NotNil(t, response.GetRefusal())
	assert.Equal(t, agentpb.Execution_NOT_RUN, response.GetRefusal().GetExecution())
	assert.NotContains(t, f.control.Calls(), "dispatch")
}

// TestServiceCatchUp guards against refusing a call sent under a newer set that reaches the agent a moment later.
func TestServiceCatchUp(t *testing.T) {
	f, s, _ := startService(t)
	_, client := f.dial()
	answered := make(chan *agentpb.ServiceResponse, 1)
	go func() {
		response, _ := client.CallService(t.Context(), &agentpb.ServiceRequest{
			Header:  &agentpb.Header{RequestId: "r", Account: "a", Rank: "urgent", SetVersion: 2},
			Service: "desk", Method: http.MethodGet, Path: "/orders",
		})
		answered <- response
	}()
	require.Eventually(t, func() bool { return f.view.Observed() == 2 }, 5*time.Second, time.Millisecond)
	assert.Zero(t, s.Executions().Total, "no call under the older set")
	f.view.Publish(testSet())
	assert.Nil(t, (<-answered).GetRefusal())
}

// TestPlainCallThatRunsOnce guards against a non-idempotent call that arrives without a booking.
func TestPlainCallThatRunsOnce(t *testing.T) {
	f, s, _ := startService(t)
	_, client := f.dial()
	req := &agentpb.ServiceRequest{
		Header:  &agentpb.Header{RequestId: "r", Account: "a", Rank: "urgent", SetVersion: 1},
		Service: "desk", Method: http.MethodPost, Path: "/x/../BOOK%69ngs?q=1",
	}
	response, err := client.CallService(t.Context(), req)
	require.NoError(t, err)
	assert.Equal(t, "idempotency_key_required", response.GetRefusal().GetKind())
	assert.Zero(t, s.Executions().Total)
}
