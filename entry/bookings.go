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

// bookingTimeout limits each call of control.
const bookingTimeout = 5 * time.Second

// book runs a call that may run at most once: claim, hand over, answer. The claim and its release do not
// depend on the caller's connection.
func (sc *serviceCall) book() error {
	key, issued, err := sc.key()
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
		return sc.existing(claim)
	}
	sc.booking = &agentpb.BookingRef{IdempotencyKey: key.GetIdempotencyKey(), ClaimEpoch: claim.GetClaimEpoch()}
	response, err := sc.run(ctx)
	if err != nil {
		return sc.release(ctx, key, claim.GetClaimEpoch(), err)
	}
	sc.call.answer(response.GetStatus(), response.GetHeaders(), response.GetBody())
	return nil
}

// key reads the idempotency key and its time of issue, which a UUIDv7 carries itself.
func (sc *serviceCall) key() (*controlpb.BookingKey, time.Time, error) {
	headers := sc.call.request.Header
	value := headers.Get(headerKey)
	if len(value) > maxKeyBytes {
		return nil, time.Time{}, invalid("%s is longer than %d bytes", headerKey, maxKeyBytes)
	}
	key := &controlpb.BookingKey{Account: sc.call.account.Name, IdempotencyKey: value}
	if stated := headers.Get(headerIssuedAt); stated != "" {
		issued, err := time.Parse(time.RFC3339, stated)
		if err != nil {
			return nil, time.Time{}, invalid("%s is not a time of RFC 3339", headerIssuedAt)
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
		// An unanswered claim may stand in the log, but nobody has its epoch, so it can never be dispatched.
		// An earlier call with the same key may still have run, so the outcome stays unknown.
		e.RetryAfter = max(e.RetryAfter, time.Second)
	}
	return nil, &e
}

// controlFailure turns a failure message of control into an error.
func controlFailure(f *controlpb.Failure) error {
	if f == nil {
		return nil
	}
	e := failure.New(failure.Kind(f.GetKind()), failure.Execution(f.GetExecution()), "%s", f.GetMessage())
	e.RetryAfter = time.Duration(f.GetRetryAfterMs()) * time.Millisecond
	return e
}

// payloadHash covers all that a repeat of the call must share with the first one.
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

// existing answers from a record that an earlier call made.
func (sc *serviceCall) existing(claim *controlpb.BookingResponse) error {
	switch claim.GetState() {
	case controlpb.BookingState_FINISHED:
		sc.call.decided("booking: answered from its record")
		sc.call.writer.Header().Set("Idempotency-Replayed", "true")
		sc.call.answer(claim.GetStatus(), claim.GetHeaders(), claim.GetBody())
		return nil
	case controlpb.BookingState_IN_DOUBT:
		return failure.New(failure.OutcomeUnknown, failure.Unknown, "the outcome of this booking is in doubt; it will not run again")
	default:
		e := failure.New(failure.InProgress, failure.Unknown, "another call with this key is in progress")
		e.RetryAfter = time.Second
		return e
	}
}

// release gives a claim back after a failed call. Only a synced release makes not_run true: after it no
// dispatch of this claim can succeed.
func (sc *serviceCall) release(ctx context.Context, key *controlpb.BookingKey, epoch uint64, cause error) error {
	e := *failure.Of(cause)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bookingTimeout)
	defer cancel()
	response, err := sc.call.server.deps.Bookings.ReleaseBooking(ctx, &controlpb.ReleaseBookingRequest{Key: key, ClaimEpoch: epoch})
	if err == nil {
		err = controlFailure(response.GetFailure())
	}
	if err == nil && response.GetGranted() && response.GetState() == controlpb.BookingState_RELEASED {
		sc.call.decided("booking: claim released")
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
