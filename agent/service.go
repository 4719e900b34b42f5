package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/upstream/service"
)

// CallService implements the Agent service.
func (a *Agent) CallService(ctx context.Context, req *agentpb.ServiceRequest) (*agentpb.ServiceResponse, error) {
	response, err := a.callService(ctx, req)
	if err != nil {
		e := failure.Of(err)
		a.count("service_calls." + string(e.Kind))
		a.deps.Log.Info("service call failed", zap.String("request_id", req.GetHeader().GetRequestId()), zap.Error(e))
		return &agentpb.ServiceResponse{Refusal: a.refusalMessage(e), Load: a.load()}, nil
	}
	a.count("service_calls.answered")
	return &agentpb.ServiceResponse{
		Status:  int32(response.Status),
		Headers: response.Headers,
		Body:    response.Body,
		Load:    a.load(),
	}, nil
}

func (a *Agent) callService(ctx context.Context, req *agentpb.ServiceRequest) (service.Response, error) {
	if err := a.beginCall(); err != nil {
		return service.Response{}, err
	}
	defer a.endCall()
	// A call that was sent to the service is completed even if the entry disconnects, so that its outcome is recorded.
	timeout := min(a.options.ServiceTimeout, a.remaining(req.GetHeader()))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	view, err := a.currentView(ctx, req.GetHeader(), a.options.ServiceSetVersionTimeout)
	if err != nil {
		return service.Response{}, err
	}
	if err := a.checkService(view, req); err != nil {
		return service.Response{}, err
	}
	// The connection is opened before the dispatch: if that fails, nothing was dispatched and not_run is correct.
	connection, err := a.deps.Service.Open(ctx)
	a.serviceUnreachable.Store(err != nil)
	if err != nil {
		return service.Response{}, err
	}
	defer connection.Close()
	if req.GetBooking() == nil {
		return connection.Call(ctx, serviceCall(req, ""))
	}
	return a.runBooking(ctx, connection, req)
}

func (a *Agent) checkService(view controlclient.View, req *agentpb.ServiceRequest) error {
	if a.deps.Service == nil || req.GetService() != a.options.Service {
		return failure.New(failure.ServiceNotFound, failure.NotRun, "this agent does not serve %q", req.GetService())
	}
	account, err := findAccount(view.Set, req.GetHeader().GetAccount())
	if err != nil {
		return err
	}
	if !slices.Contains(account.Services, req.GetService()) {
		return failure.New(failure.Forbidden, failure.NotRun, "account %q may not call service %q", account.Name, req.GetService())
	}
	for _, s := range view.Set.Services {
		if s.Name == req.GetService() {
			return requireBooking(s, req)
		}
	}
	return failure.New(failure.ServiceNotFound, failure.NotRun, "service %q is not in the object set", req.GetService())
}

// requireBooking refuses a call that may run at most once and has no booking. The sender may have an older set, in
// which the call is idempotent.
func requireBooking(s objectset.Service, req *agentpb.ServiceRequest) error {
	if req.GetBooking() == nil && s.AtMostOnce(req.GetMethod(), req.GetPath()) {
		return failure.New(failure.KeyRequired, failure.NotRun, "this call needs a booking")
	}
	return nil
}

func serviceCall(req *agentpb.ServiceRequest, bookingID string) service.Request {
	headers := maps.Clone(req.GetHeaders())
	if headers == nil {
		headers = map[string]string{}
	}
	if bookingID != "" {
		headers[service.BookingIDHeader] = bookingID
	}
	return service.Request{Method: req.GetMethod(), Path: req.GetPath(), Headers: headers, Body: req.GetBody()}
}

// runBooking dispatches a booking in the replicated log, calls the service once, and reports the outcome.
func (a *Agent) runBooking(ctx context.Context, connection *service.Connection, req *agentpb.ServiceRequest) (service.Response, error) {
	key := &controlpb.BookingKey{Account: req.GetHeader().GetAccount(), IdempotencyKey: req.GetBooking().GetIdempotencyKey()}
	dispatchID := uuid.NewString()
	if err := a.dispatch(ctx, key, req.GetBooking().GetClaimEpoch(), dispatchID); err != nil {
		return service.Response{}, err
	}
	response, err := connection.Call(ctx, serviceCall(req, bookingID(key)))
	finish := &controlpb.FinishBookingRequest{Key: key, DispatchId: dispatchID, InDoubt: err != nil}
	if err == nil {
		finish.Status = int32(response.Status)
		finish.Headers = response.Headers
		finish.Body = response.Body
	}
	a.finishBooking(ctx, req.GetHeader().GetRequestId(), finish)
	if err == nil {
		return response, nil
	}
	e := failure.Of(err)
	return response, failure.Wrap(e, failure.OutcomeUnknown, unknownIfNotRun(e.Execution), "the connection broke during the booking's call; its outcome is in doubt")
}

// unknownIfNotRun replaces not_run by unknown: the booking is already recorded as dispatched, so no later claim may run the
// call.
func unknownIfNotRun(e failure.Execution) failure.Execution {
	if e == failure.NotRun {
		return failure.Unknown
	}
	return e
}

// dispatch records in the replicated log that the booking is about to run; control grants this at most once per claim. The
// agent does not store the dispatch id, so a restarted agent never resumes a dispatch.
func (a *Agent) dispatch(ctx context.Context, key *controlpb.BookingKey, epoch uint64, dispatchID string) error {
	ctx, cancel := context.WithTimeout(ctx, a.options.CallTimeout)
	defer cancel()
	response, err := a.deps.Control.DispatchBooking(ctx, &controlpb.DispatchBookingRequest{
		Key: key, ClaimEpoch: epoch, DispatchId: dispatchID, ProcessId: a.options.ProcessID,
		ProcessEpoch: a.deps.Source.Current().Epoch,
	})
	if err != nil {
		e := failure.Of(err)
		// The service has not been called, but an unanswered dispatch may be in the log; the entry resolves this by a release.
		return failure.Wrap(e, e.Kind, e.Execution, "dispatch not confirmed")
	}
	if f := response.GetFailure(); f != nil {
		e := failure.New(failure.Kind(f.GetKind()), failure.Execution(f.GetExecution()), "dispatch refused: %s", f.GetMessage())
		e.RetryAfter = time.Duration(f.GetRetryAfterMs()) * time.Millisecond
		return e
	}
	if !response.GetGranted() || response.GetState() != controlpb.BookingState_DISPATCHED {
		return failure.New(failure.InProgress, failure.Unknown, "the booking is in state %s", response.GetState())
	}
	return nil
}

// finishBooking reports the outcome. If control does not accept the first report, the agent repeats it in the background,
// so that the caller need not wait. If all reports fail, the record stays dispatched, which is safe: the call never runs
// again.
func (a *Agent) finishBooking(ctx context.Context, requestID string, finish *controlpb.FinishBookingRequest) {
	ctx = context.WithoutCancel(ctx)
	err := a.reportOutcome(ctx, finish)
	if err == nil {
		return
	}
	a.deps.Log.Warn("booking outcome not recorded yet", zap.String("request_id", requestID), zap.Error(err))
	if !isTransient(err) {
		return
	}
	a.addBackgroundCall()
	a.background.Go(func() {
		defer a.endCall()
		a.retryOutcome(ctx, requestID, finish)
	})
}

// retryOutcome repeats the report with backoff for up to FinishRetryTimeout.
func (a *Agent) retryOutcome(ctx context.Context, requestID string, finish *controlpb.FinishBookingRequest) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 50 * time.Millisecond
	policy.MaxInterval = 2 * time.Second
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := a.reportOutcome(ctx, finish)
		if err != nil && !isTransient(err) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(a.options.FinishRetryTimeout))
	if err != nil {
		a.deps.Log.Error("booking outcome not recorded", zap.String("request_id", requestID), zap.Bool("in_doubt", finish.GetInDoubt()), zap.Error(err))
	}
}

func (a *Agent) reportOutcome(ctx context.Context, finish *controlpb.FinishBookingRequest) error {
	ctx, cancel := context.WithTimeout(ctx, a.options.CallTimeout)
	defer cancel()
	response, err := a.deps.Control.FinishBooking(ctx, finish)
	if err != nil {
		return err
	}
	return controlclient.FromFailure(response.GetFailure())
}

// isTransient reports whether a later report of the same outcome may succeed because control did not decide on this one.
func isTransient(err error) bool {
	e := failure.Of(err)
	switch e.Kind {
	case failure.NoQuorum, failure.NotLeader, failure.NoUpstream, failure.Overloaded:
		return true
	}
	return e.Execution == failure.Unknown
}

// bookingID identifies a booking to the service without revealing the caller's key.
func bookingID(key *controlpb.BookingKey) string {
	hash := sha256.Sum256([]byte(key.GetAccount() + "\x00" + key.GetIdempotencyKey()))
	return hex.EncodeToString(hash[:16])
}
