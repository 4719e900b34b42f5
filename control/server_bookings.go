package control

import (
	"context"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

const (
	// maxIssueAhead limits how far in the future a key may be issued, so that retention eventually drops it.
	maxIssueAhead = 5 * time.Minute
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 256
)

func checkKey(key *controlpb.BookingKey) error {
	if key.GetAccount() == "" || key.GetIdempotencyKey() == "" {
		return failure.New(failure.KeyRequired, failure.NotRun, "account and idempotency key must be set")
	}
	if len(key.IdempotencyKey) > maxKeyBytes {
		return failure.New(failure.InvalidRequest, failure.NotRun, "the idempotency key is longer than %d bytes", maxKeyBytes)
	}
	return nil
}

func bookingFailure(err error) *controlpb.BookingResponse {
	return &controlpb.BookingResponse{Failure: failureMessage(err)}
}

func (s *Server) proposeBooking(ctx context.Context, command *controlpb.Command) (*controlpb.BookingResponse, error) {
	result, refusal := s.propose(ctx, command)
	if refusal != nil {
		return &controlpb.BookingResponse{Failure: refusal}, nil
	}
	response, ok := result.(*controlpb.BookingResponse)
	if !ok {
		return &controlpb.BookingResponse{Failure: unexpectedResult()}, nil
	}
	return response, nil
}

// ClaimBooking claims an idempotency key for one attempt.
func (s *Server) ClaimBooking(ctx context.Context, q *controlpb.ClaimBookingRequest) (*controlpb.BookingResponse, error) {
	if err := checkKey(q.Key); err != nil {
		return bookingFailure(err), nil
	}
	if q.ClaimId == "" {
		return bookingFailure(failure.New(failure.InvalidRequest, failure.NotRun, "claim id must be set")), nil
	}
	if q.IssuedUnixMs > s.options.Clock.Now().Add(maxIssueAhead).UnixMilli() {
		return bookingFailure(failure.New(failure.InvalidRequest, failure.NotRun, "the key was issued more than %s in the future", maxIssueAhead)), nil
	}
	// The replicated retirement time lags behind the retention by up to RetireInterval, so old keys are refused here.
	if q.IssuedUnixMs < s.options.Clock.Now().Add(-s.options.BookingRetention).UnixMilli() {
		return bookingFailure(failure.New(failure.KeyTooOld, failure.Unknown, "the key was issued more than %s ago", s.options.BookingRetention)), nil
	}
	if refusal, err := s.refuseIfFull(ctx, q); refusal != nil || err != nil {
		return refusal, err
	}
	return s.proposeBooking(ctx, &controlpb.Command{Command: &controlpb.Command_ClaimBooking{ClaimBooking: q}})
}

// fullRetryAfter is when a claim that found the records full has a chance: old bookings are dropped once a minute.
const fullRetryAfter = time.Minute

// refuseIfFull refuses the claim of a new key while the records have no room. The leader decides that alone, before the claim becomes a
// command, because members of an earlier version count bodies only and would answer the command otherwise. So that "not run" is true, a
// release that fits no claim asks in the order of the log whether a claim of the key was proposed before; it changes nothing.
func (s *Server) refuseIfFull(ctx context.Context, q *controlpb.ClaimBookingRequest) (*controlpb.BookingResponse, error) {
	if !s.isLeader() || !s.machine.isFullFor(q) {
		return nil, nil
	}
	response, err := s.proposeBooking(ctx, &controlpb.Command{Command: &controlpb.Command_ReleaseBooking{
		ReleaseBooking: &controlpb.ReleaseBookingRequest{Key: q.Key, ClaimEpoch: 0},
	}})
	if err != nil {
		return nil, err
	}
	if response.GetState() != controlpb.BookingState_BOOKING_UNSPECIFIED {
		return nil, nil
	}
	if response.GetFailure().GetKind() != string(failure.NotFound) {
		return response, nil
	}
	if !s.machine.isFullFor(q) {
		return nil, nil
	}
	e := failure.New(failure.Overloaded, failure.NotRun, "the records of bookings have reached their limit of bytes")
	e.RetryAfter = fullRetryAfter
	return bookingFailure(e), nil
}

// DispatchBooking permits the one run of a booking.
func (s *Server) DispatchBooking(ctx context.Context, q *controlpb.DispatchBookingRequest) (*controlpb.BookingResponse, error) {
	if err := checkKey(q.Key); err != nil {
		return bookingFailure(err), nil
	}
	if q.DispatchId == "" || q.ProcessId == "" {
		return bookingFailure(failure.New(failure.InvalidRequest, failure.NotRun, "dispatch id and process id must be set")), nil
	}
	return s.proposeBooking(ctx, &controlpb.Command{Command: &controlpb.Command_DispatchBooking{DispatchBooking: q}})
}

// FinishBooking records the outcome of a booking's run.
func (s *Server) FinishBooking(ctx context.Context, q *controlpb.FinishBookingRequest) (*controlpb.BookingResponse, error) {
	if err := checkKey(q.Key); err != nil {
		return bookingFailure(err), nil
	}
	if len(q.Body) > s.options.MaxBookingBytes {
		return bookingFailure(failure.New(failure.BodyTooLarge, failure.Unknown, "the answer has more than %d bytes", s.options.MaxBookingBytes)), nil
	}
	return s.proposeBooking(ctx, &controlpb.Command{Command: &controlpb.Command_FinishBooking{FinishBooking: q}})
}

// ReleaseBooking releases a claim.
func (s *Server) ReleaseBooking(ctx context.Context, q *controlpb.ReleaseBookingRequest) (*controlpb.BookingResponse, error) {
	if err := checkKey(q.Key); err != nil {
		return bookingFailure(err), nil
	}
	return s.proposeBooking(ctx, &controlpb.Command{Command: &controlpb.Command_ReleaseBooking{ReleaseBooking: q}})
}

// AcquireLoadSlot acquires or renews a slot for loading weights.
func (s *Server) AcquireLoadSlot(ctx context.Context, q *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error) {
	return s.proposeSlot(ctx, &controlpb.Command{Command: &controlpb.Command_AcquireLoadSlot{AcquireLoadSlot: q}})
}

// ReleaseLoadSlot releases a slot.
func (s *Server) ReleaseLoadSlot(ctx context.Context, q *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error) {
	return s.proposeSlot(ctx, &controlpb.Command{Command: &controlpb.Command_ReleaseLoadSlot{ReleaseLoadSlot: q}})
}

func (s *Server) proposeSlot(ctx context.Context, command *controlpb.Command) (*controlpb.LoadSlotResponse, error) {
	result, refusal := s.propose(ctx, command)
	if refusal != nil {
		return &controlpb.LoadSlotResponse{Failure: refusal}, nil
	}
	response, ok := result.(*controlpb.LoadSlotResponse)
	if !ok {
		return &controlpb.LoadSlotResponse{Failure: unexpectedResult()}, nil
	}
	return response, nil
}

// retire proposes a new retirement time from the leader's clock. All members apply the time in the log.
func (s *Server) retire(ctx context.Context) {
	if !s.isLeader() {
		return
	}
	before := s.options.Clock.Now().Add(-s.options.BookingRetention).UnixMilli()
	_, refusal := s.propose(ctx, &controlpb.Command{Command: &controlpb.Command_RetireBookings{
		RetireBookings: &controlpb.RetireBookings{RetiredBeforeUnixMs: before},
	}})
	s.logRefusal("retirement of bookings failed", refusal)
}
