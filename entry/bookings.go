package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// maxKeyBytes limits an idempotency key.
const maxKeyBytes = 256

// bookingTimeout limits each booking call to control.
const bookingTimeout = 5 * time.Second

// runBooking runs a call that may run at most once: it claims the key, calls the service and writes the response. The
// claim and its release do not depend on the caller's connection.
func (sc *serviceCall) runBooking() error {
	key, issued, err := sc.bookingKey()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(sc.call.ctx), sc.call.deadline.Add(deadlineGrace))
	defer cancel()
	claim, err := sc.claim(ctx, key, issued)
	if err != nil {
		return err
	}
	if !claim.GetGranted() || claim.GetState() != controlpb.BookingState_CLAIMED {
		return sc.answerFromRecord(claim)
	}
	sc.booking = &agentpb.BookingRef{IdempotencyKey: key.GetIdempotencyKey(), ClaimEpoch: claim.GetClaimEpoch()}
	response, err := sc.run(ctx)
	if err != nil {
		return sc.releaseClaim(ctx, key, claim.GetClaimEpoch(), err)
	}
	sc.call.writeServiceResponse(response.GetStatus(), response.GetHeaders(), response.GetBody())
	return nil
}

// bookingKey returns the idempotency key and its time of issue, taken from the header or from a UUIDv7 key.
func (sc *serviceCall) bookingKey() (*controlpb.BookingKey, time.Time, error) {
	headers := sc.call.request.Header
	value := headers.Get(headerIdempotencyKey)
	if len(value) > maxKeyBytes {
		return nil, time.Time{}, invalid("%s is longer than %d bytes", headerIdempotencyKey, maxKeyBytes)
	}
	key := &controlpb.BookingKey{Account: sc.call.account.Name, IdempotencyKey: value}
	if issuedAt := headers.Get(headerIssuedAt); issuedAt != "" {
		issued, err := time.Parse(time.RFC3339, issuedAt)
		if err != nil {
			return nil, time.Time{}, invalid("%s is not an RFC 3339 time", headerIssuedAt)
		}
		return key, issued, nil
	}
	id, err := uuid.Parse(value)
	if err != nil || id.Version() != 7 {
		return nil, time.Time{}, invalid("%s is needed, because the key is not a UUIDv7", headerIssuedAt)
	}
	seconds, nanos := id.Time().UnixTime()
	return key, time.Unix(seconds, nanos), nil
}

func (sc *serviceCall) claim(ctx context.Context, key *controlpb.BookingKey, issued time.Time) (*controlpb.BookingResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	response, err := sc.call.server.deps.Bookings.ClaimBooking(ctx, &controlpb.ClaimBookingRequest{
		Key:          key,
		PayloadHash:  sc.payloadHash(),
		IssuedUnixMs: issued.UnixMilli(),
		Service:      sc.service.Name,
		RequestId:    sc.call.id,
		ClaimId:      sc.call.id,
	})
	if err == nil {
		err = controlFailure(response.GetFailure())
	}
	if err == nil {
		return response, nil
	}
	e := *failure.Of(err)
	if e.Execution == failure.Unknown && e.Kind != failure.InProgress && e.Kind != failure.OutcomeUnknown {
		// An unanswered claim may be in the log, but it can never be dispatched, because no process received its epoch.
		// An earlier call with the same key may have run, so the outcome stays unknown.
		e.RetryAfter = max(e.RetryAfter, time.Second)
	}
	return nil, &e
}

// controlFailure converts a failure message of control to an error; nil means no failure.
func controlFailure(f *controlpb.Failure) error {
	if f == nil {
		return nil
	}
	e := failure.New(failure.Kind(f.GetKind()), failure.Execution(f.GetExecution()), "%s", f.GetMessage())
	e.RetryAfter = time.Duration(f.GetRetryAfterMs()) * time.Millisecond
	return e
}

// payloadHash hashes everything that a repeat of the call must have in common with the first one.
func (sc *serviceCall) payloadHash() []byte {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(sc.service.Name), []byte(sc.call.request.Method), []byte(sc.target), sc.body} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	return hash.Sum(nil)
}

// answerFromRecord handles a key that an earlier call has used, by the state of its booking.
func (sc *serviceCall) answerFromRecord(claim *controlpb.BookingResponse) error {
	switch claim.GetState() {
	case controlpb.BookingState_FINISHED:
		sc.call.recordDecisions("booking: answered from its record")
		sc.call.writer.Header().Set("Idempotency-Replayed", "true")
		sc.call.writeServiceResponse(claim.GetStatus(), claim.GetHeaders(), claim.GetBody())
		return nil
	case controlpb.BookingState_IN_DOUBT:
		return failure.New(failure.OutcomeUnknown, failure.Unknown, "the outcome of this booking is in doubt; it will not run again")
	default:
		e := failure.New(failure.InProgress, failure.Unknown, "another call with this key is in progress")
		e.RetryAfter = time.Second
		return e
	}
}

// releaseClaim releases the claim of a failed call and returns the failure for the caller. Only a release that is
// stored in the replicated log allows not_run: after it no dispatch of this claim can succeed.
func (sc *serviceCall) releaseClaim(ctx context.Context, key *controlpb.BookingKey, epoch uint64, cause error) error {
	e := *failure.Of(cause)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bookingTimeout)
	defer cancel()
	response, err := sc.call.server.deps.Bookings.ReleaseBooking(ctx, &controlpb.ReleaseBookingRequest{Key: key, ClaimEpoch: epoch})
	if err == nil {
		err = controlFailure(response.GetFailure())
	}
	if err == nil && response.GetGranted() && response.GetState() == controlpb.BookingState_RELEASED {
		sc.call.recordDecisions("booking: claim released")
		e.Execution = failure.NotRun
		if e.Kind == failure.OutcomeUnknown {
			e.Kind = failure.UpstreamFailed
		}
		return &e
	}
	sc.call.server.deps.Log.Info("claim not released", zap.String("request_id", sc.call.id), zap.Error(err))
	if e.Execution == failure.NotRun {
		e.Execution = failure.Unknown
	}
	return &e
}
