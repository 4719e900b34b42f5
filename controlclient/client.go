package controlclient

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// ClientOptions limits a Client.
type ClientOptions struct {
	// Addresses of control members; more are learned from their answers.
	Addresses []string
	// SourceIP is the source address of connections; default: chosen by the kernel.
	SourceIP string
	// AttemptTimeout limits one call to one member; default 2 s. An attempt takes at most half of the time left for the call,
	// so that a member that keeps silent leaves time for another one.
	AttemptTimeout time.Duration
	// Timeout limits a call over all attempts, unless the context ends earlier; default 8 s.
	Timeout time.Duration
	// MaxAttempts limits the attempts of one call; default 100, which is above what Timeout leaves room for with three
	// members: 32 ended a call after 4 s of an election, before its Timeout.
	MaxAttempts int
}

// Client sends calls to the leader. It resends a call with the same ids until it has an answer,
// which is safe because control returns the first outcome for a repeated id.
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

// answer is a response that may hold a typed refusal.
type answer interface{ GetFailure() *controlpb.Failure }

// FromFailure returns the typed error of a refusal, or nil.
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

// retryable reports whether another attempt, perhaps at another member, can succeed. A member that stops or
// gave up waiting has not run the call.
func retryable(kind string) bool {
	switch failure.Kind(kind) {
	case failure.NotLeader, failure.NoQuorum, failure.StorageFailed, failure.Draining, failure.DeadlineExceeded, ProposalLost:
		return true
	}
	return false
}

type call[A answer] func(ctx context.Context, client controlpb.DRPCControlClient) (A, error)

// attempts keeps what is known about a call over its attempts.
type attempts struct {
	// unknown is true once an attempt may have reached the log without an answer.
	unknown bool
	last    error
}

// do runs a call at the leader. A refusal is returned with the answer that carries it.
func do[A answer](ctx context.Context, c *Client, run call[A]) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	pause := &backoff.ExponentialBackOff{
		InitialInterval: 20 * time.Millisecond, MaxInterval: 500 * time.Millisecond, Multiplier: 2, RandomizationFactor: 0.5,
	}
	pause.Reset()
	var state attempts
	made := 0
	for made < c.options.MaxAttempts && ctx.Err() == nil {
		for _, address := range c.directory.leaderFirst() {
			made++
			response, done, err := attempt(ctx, c, address, run, &state)
			if done {
				return response, err
			}
			if made >= c.options.MaxAttempts || ctx.Err() != nil {
				break
			}
		}
		wait(ctx, pause.NextBackOff())
	}
	var none A
	return none, state.result(ctx)
}

// attempt makes one call; done is false if another attempt should follow.
func attempt[A answer](ctx context.Context, c *Client, address string, run call[A], state *attempts) (A, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout(ctx))
	defer cancel()
	conn := c.pool.Get(ctx, address)
	defer func() { _ = conn.Close() }()
	response, err := run(ctx, controlpb.NewDRPCControlClient(conn))
	if err != nil {
		state.last = err
		c.directory.noAnswer(address)
		if !failure.Is(err, failure.NoUpstream) {
			state.unknown = true
		}
		return response, false, err
	}
	refusal := response.GetFailure()
	if refusal == nil {
		c.directory.setLeader(address)
		return response, true, nil
	}
	if !retryable(refusal.Kind) {
		return response, true, FromFailure(refusal)
	}
	state.last = FromFailure(refusal)
	state.unknown = state.unknown || refusal.Execution != string(failure.NotRun)
	c.directory.setLeader(refusal.LeaderAddress)
	return response, false, state.last
}

func (c *Client) attemptTimeout(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(c.options.AttemptTimeout, time.Until(deadline)/2)
	}
	return c.options.AttemptTimeout
}

func (s *attempts) result(ctx context.Context) error {
	last := s.last
	if last == nil {
		last = ctx.Err()
	}
	if s.unknown {
		return failure.Wrap(last, failure.OutcomeUnknown, failure.Unknown, "control gave no answer")
	}
	return failure.Wrap(last, failure.NoQuorum, failure.NotRun, "no control member took the call")
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ClaimBooking claims an idempotency key. The answer is returned also beside a refusal.
func (c *Client) ClaimBooking(ctx context.Context, request *controlpb.ClaimBookingRequest) (*controlpb.BookingResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.BookingResponse, error) {
		return client.ClaimBooking(ctx, request)
	})
}

// DispatchBooking asks for permission to run a claimed booking once.
func (c *Client) DispatchBooking(ctx context.Context, request *controlpb.DispatchBookingRequest) (*controlpb.BookingResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.BookingResponse, error) {
		return client.DispatchBooking(ctx, request)
	})
}

// FinishBooking records the outcome of a dispatched booking.
func (c *Client) FinishBooking(ctx context.Context, request *controlpb.FinishBookingRequest) (*controlpb.BookingResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.BookingResponse, error) {
		return client.FinishBooking(ctx, request)
	})
}

// ReleaseBooking gives up a claim; after it succeeds no dispatch of that claim can.
func (c *Client) ReleaseBooking(ctx context.Context, request *controlpb.ReleaseBookingRequest) (*controlpb.BookingResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.BookingResponse, error) {
		return client.ReleaseBooking(ctx, request)
	})
}

// AcquireLoadSlot takes or renews a slot for loading weights.
func (c *Client) AcquireLoadSlot(ctx context.Context, request *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.LoadSlotResponse, error) {
		return client.AcquireLoadSlot(ctx, request)
	})
}

// ReleaseLoadSlot gives a slot back.
func (c *Client) ReleaseLoadSlot(ctx context.Context, request *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.LoadSlotResponse, error) {
		return client.ReleaseLoadSlot(ctx, request)
	})
}
