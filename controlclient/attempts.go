package controlclient

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/supervise"
)

const (
	// silentAttemptLimit is the time without a response after which the next member is asked beside a silent one. Waiting for
	// the end of each attempt, a call behind two silent members took 4 s; bookings have 5 s.
	silentAttemptLimit = 300 * time.Millisecond
	// maxCopiedBytes is the size of a set or a body up to which it is sent to other members beside a silent one. On a slow
	// link, copies of a larger one would delay the one that the leader receives beyond the end of its attempt.
	maxCopiedBytes = 64 << 10
)

// attempts are the attempts of one call, at most one at a time at each member. Only the goroutine of the call uses them.
type attempts[A responseWithFailure] struct {
	client *Client
	call   call[A]
	// silence is the time after which another member is asked beside a silent one.
	silence time.Duration
	made    int
	// active is the start of the attempt in progress at each member.
	active map[string]time.Time
	ended  chan outcome[A]
	state  callState
	// response and err are the result if definite is true: a success, or a refusal that no other member would change.
	definite bool
	response A
	err      error
}

// outcome is the end of one attempt. err is set if there is no response.
type outcome[A responseWithFailure] struct {
	address  string
	response A
	err      error
}

func newAttempts[A responseWithFailure](c *Client, silence time.Duration, run call[A]) *attempts[A] {
	return &attempts[A]{client: c, call: run, silence: silence, active: map[string]time.Time{}, ended: make(chan outcome[A])}
}

// run makes attempts until one is definite, the context ends or MaxAttempts are made and have ended.
func (a *attempts[A]) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer a.awaitAll()
	defer cancel()
	retryDelay := &backoff.ExponentialBackOff{
		InitialInterval: 20 * time.Millisecond, MaxInterval: 500 * time.Millisecond, Multiplier: 2, RandomizationFactor: 0.5,
	}
	retryDelay.Reset()
	for a.mayBegin(ctx) {
		for _, address := range a.client.directory.leaderFirst() {
			if _, active := a.active[address]; active || !a.mayBegin(ctx) {
				continue
			}
			a.begin(ctx, address)
			a.await(ctx, a.silence, address)
		}
		a.await(ctx, retryDelay.NextBackOff(), "")
	}
	for len(a.active) > 0 && !a.definite && ctx.Err() == nil {
		a.await(ctx, a.client.options.AttemptTimeout, "")
	}
}

func (a *attempts[A]) mayBegin(ctx context.Context) bool {
	return !a.definite && a.made < a.client.options.MaxAttempts && ctx.Err() == nil
}

// begin starts an attempt at a member.
func (a *attempts[A]) begin(ctx context.Context, address string) {
	a.made++
	a.active[address] = time.Now()
	go func() {
		o := outcome[A]{address: address}
		panicked := supervise.Call(zap.NewNop(), "call to control", func() { o.response, o.err = attempt(ctx, a.client, address, a.call) })
		if panicked != nil {
			o.err = panicked
		}
		a.ended <- o
	}()
}

// await records the attempts that end within a time, until the one at the given member has ended or one is definite.
func (a *attempts[A]) await(ctx context.Context, limit time.Duration, address string) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for !a.definite {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case o := <-a.ended:
			a.record(o)
			if o.address == address {
				return
			}
		}
	}
}

// awaitAll waits for the attempts in progress, whose context has ended.
func (a *attempts[A]) awaitAll() {
	for len(a.active) > 0 {
		a.record(<-a.ended)
	}
}

// record applies the end of an attempt. What ends after a definite response changes nothing but the order of the members: one that
// was silent for long enough is tried last from then on.
func (a *attempts[A]) record(o outcome[A]) {
	begun := a.active[o.address]
	delete(a.active, o.address)
	directory := a.client.directory
	if o.err != nil {
		if !a.definite || time.Since(begun) >= a.silence {
			directory.markUnresponsive(o.address)
		}
		a.state.last = o.err
		if !failure.Is(o.err, failure.NoUpstream) {
			a.state.unknown = true
		}
		return
	}
	if a.definite {
		return
	}
	refusal := o.response.GetFailure()
	if refusal == nil {
		directory.setLeader(o.address)
	}
	if refusal == nil || !retryable(refusal.Kind) {
		a.definite, a.response, a.err = true, o.response, FromFailure(refusal)
		return
	}
	a.state.last = FromFailure(refusal)
	a.state.unknown = a.state.unknown || refusal.Execution != string(failure.NotRun)
	directory.setLeader(refusal.LeaderAddress)
}

// silence returns the time after which a set or a body is sent to another member beside a silent one.
func (c *Client) silence(bytes int) time.Duration {
	if bytes > maxCopiedBytes {
		return c.options.AttemptTimeout
	}
	return silentAttemptLimit
}
