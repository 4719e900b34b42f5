package controlclient

import (
	"context"
	"time"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// ClientOptions limits a Client.
type ClientOptions struct {
	// Addresses are the initial addresses of control members; further ones are learned from their responses.
	Addresses []string
	// SourceIP is the source address of connections; default: chosen by the kernel.
	SourceIP string
	// AttemptTimeout limits one attempt at one member; default 2 s. An attempt also gets at most half of the remaining
	// time of the call, so that an unresponsive member leaves time for another one.
	AttemptTimeout time.Duration
	// Timeout limits a call over all attempts, unless the context ends earlier; default 8 s.
	Timeout time.Duration
	// MaxAttempts limits the attempts of one call; default 100, more than fit into Timeout with three members. With 32
	// attempts a call would fail after 4 s of an election, before its Timeout.
	MaxAttempts int
}

// Client sends calls to the leader. It resends a call with the same ids until it gets a response, also while
// another member is silent. That is safe because control returns the first outcome for a repeated id.
type Client struct {
	options   ClientOptions
	pool      *rpcpool.Pool
	directory *directory
}

// NewClient returns a Client with defaults for unset options.
func NewClient(options ClientOptions) *Client {
	defaults.Set(&options.AttemptTimeout, 2*time.Second)
	defaults.Set(&options.Timeout, 8*time.Second)
	defaults.Set(&options.MaxAttempts, 100)
	return &Client{options: options, pool: rpcpool.New(rpcpool.Options{LocalIP: options.SourceIP}), directory: newDirectory(options.Addresses)}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// responseWithFailure is a response that may hold a typed failure.
type responseWithFailure interface{ GetFailure() *controlpb.Failure }

// FromFailure returns the typed error for a failure in a response; nil for nil.
func FromFailure(f *controlpb.Failure) error {
	if f == nil {
		return nil
	}
	e := failure.New(failure.Kind(f.Kind), failure.Execution(f.Execution), "%s", f.Message)
	e.RetryAfter = time.Duration(f.RetryAfterMs) * time.Millisecond
	for _, p := range f.Problems {
		e.Problems = append(e.Problems, failure.Problem{Path: p.Path, Message: p.Message})
	}
	return e
}

// retryable reports whether another attempt, possibly at another member, may succeed. A member that is stopping, or
// whose wait timed out, has not run the call.
func retryable(kind string) bool {
	switch failure.Kind(kind) {
	case failure.NotLeader, failure.NoQuorum, failure.StorageFailed, failure.Draining, failure.DeadlineExceeded, ProposalLost:
		return true
	}
	return false
}

type call[A responseWithFailure] func(ctx context.Context, client controlpb.DRPCControlClient) (A, error)

// callState is the state of a call across its attempts.
type callState struct {
	// unknown is true if an attempt without a response may have reached the log.
	unknown bool
	last    error
}

// do runs a call at the leader and retries it. A failure in the response is returned as an error together with the
// response.
func do[A responseWithFailure](ctx context.Context, c *Client, run call[A]) (A, error) {
	return doBeside(ctx, c, silentAttemptLimit, run)
}

// doBeside is do with the time after which another member is asked beside a silent one.
func doBeside[A responseWithFailure](ctx context.Context, c *Client, silence time.Duration, run call[A]) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	all := newAttempts(c, silence, run)
	all.run(ctx)
	if all.definite {
		return all.response, all.err
	}
	var zero A
	return zero, all.state.result(ctx)
}

// attempt makes one attempt at a member.
func attempt[A responseWithFailure](ctx context.Context, c *Client, address string, run call[A]) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout(ctx))
	defer cancel()
	conn := c.pool.Get(ctx, address)
	defer func() { _ = conn.Close() }()
	return run(ctx, controlpb.NewDRPCControlClient(conn))
}

func (c *Client) attemptTimeout(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(c.options.AttemptTimeout, time.Until(deadline)/2)
	}
	return c.options.AttemptTimeout
}

func (s *callState) result(ctx context.Context) error {
	last := s.last
	if last == nil {
		last = ctx.Err()
	}
	if s.unknown {
		return failure.Wrap(last, failure.OutcomeUnknown, failure.Unknown, "control did not respond")
	}
	return failure.Wrap(last, failure.NoQuorum, failure.NotRun, "no control member accepted the call")
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ClaimBooking claims an idempotency key. If control refuses, the response is returned together with the error.
func (c *Client) ClaimBooking(ctx context.Context, request *controlpb.ClaimBookingRequest) (*controlpb.BookingResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.BookingResponse, error) {
		return client.ClaimBooking(ctx, request)
	})
}

// DispatchBooking requests permission to run a claimed booking once.
func (c *Client) DispatchBooking(ctx context.Context, request *controlpb.DispatchBookingRequest) (*controlpb.BookingResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.BookingResponse, error) {
		return client.DispatchBooking(ctx, request)
	})
}

// FinishBooking records the outcome of a dispatched booking.
func (c *Client) FinishBooking(ctx context.Context, request *controlpb.FinishBookingRequest) (*controlpb.BookingResponse, error) {
	return doBeside(ctx, c, c.silence(len(request.GetBody())), func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.BookingResponse, error) {
		return client.FinishBooking(ctx, request)
	})
}

// ReleaseBooking releases a claim. After it has succeeded, no dispatch of that claim can succeed.
func (c *Client) ReleaseBooking(ctx context.Context, request *controlpb.ReleaseBookingRequest) (*controlpb.BookingResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.BookingResponse, error) {
		return client.ReleaseBooking(ctx, request)
	})
}

// AcquireLoadSlot acquires or renews a slot for loading weights.
func (c *Client) AcquireLoadSlot(ctx context.Context, request *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.LoadSlotResponse, error) {
		return client.AcquireLoadSlot(ctx, request)
	})
}

// ReleaseLoadSlot releases a slot.
func (c *Client) ReleaseLoadSlot(ctx context.Context, request *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.LoadSlotResponse, error) {
		return client.ReleaseLoadSlot(ctx, request)
	})
}
