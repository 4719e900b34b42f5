package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/fleet"
	"github.com/wasabishunt/wasabishunt/internal/workload"
	"github.com/wasabishunt/wasabishunt/prompt"
)

const (
	// rulebookTokens is the length of the long shared prompt of each account.
	rulebookTokens = 6200
	// urgentTokens, dayTokens and nightTokens are the lengths of answers.
	urgentTokens = 16
	dayTokens    = 40
	nightTokens  = 64
	// Pauses between the requests of one caller.
	urgentPause  = 120 * time.Millisecond
	dayPause     = 400 * time.Millisecond
	nightPause   = 250 * time.Millisecond
	bookingPause = 150 * time.Millisecond
	// bookingAttempts bounds the resends of one booking.
	bookingAttempts = 12
	// bookingRetry is the shortest wait before a resend.
	bookingRetry = 300 * time.Millisecond
	// requestTimeout limits one request of the load.
	requestTimeout = 30 * time.Second
)

// runLoad runs the load while a set is published and processes are killed.
func (d *demo) runLoad(ctx context.Context) error {
	caller := workload.NewCaller()
	defer caller.Close()
	loadCtx, stop := context.WithTimeout(ctx, d.options.Load)
	defer stop()
	var callers sync.WaitGroup
	for account := range d.fleet.Shape.Accounts {
		random := rand.New(rand.NewPCG(d.options.Seed, uint64(account)))
		callers.Go(func() { d.askLoop(ctx, loadCtx, caller, account, fleet.UrgentRank, urgentTokens, urgentPause, random) })
		random = rand.New(rand.NewPCG(d.options.Seed+1, uint64(account)))
		callers.Go(func() { d.askLoop(ctx, loadCtx, caller, account, fleet.DayRank, dayTokens, dayPause, random) })
		random = rand.New(rand.NewPCG(d.options.Seed+2, uint64(account)))
		callers.Go(func() { d.askLoop(ctx, loadCtx, caller, account, fleet.NightRank, nightTokens, nightPause, random) })
		callers.Go(func() { d.bookLoop(ctx, loadCtx, caller, account) })
	}
	d.logf("load: %d accounts ask urgent, day and night questions and make bookings for %s", d.fleet.Shape.Accounts, d.options.Load)
	err := d.injectFailures(ctx)
	if err != nil {
		stop()
	}
	callers.Wait()
	return err
}

// injectFailures injects the failures, spaced evenly over the time of the load.
func (d *demo) injectFailures(ctx context.Context) error {
	steps := []func() error{
		func() error { return d.kill("agent-1") },
		func() error { return d.kill("control-2") },
		func() error { return d.publish(ctx, 1, fleet.SecondVersion) },
		func() error { return d.restart("agent-1") },
		func() error { return d.restart("control-2") },
	}
	pause := d.options.Load / time.Duration(len(steps)+2)
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) kill(name string) error {
	process, err := d.fleet.Process(name)
	if err != nil {
		return err
	}
	d.logf("kill %s", name)
	return process.Kill()
}

func (d *demo) restart(name string) error {
	d.logf("restart %s", name)
	return d.fleet.Start(name)
}

func (d *demo) entryURL(n int) string { return d.fleet.EntryURL(n % d.fleet.Shape.Entries) }

func (d *demo) askLoop(ctx, loadCtx context.Context, caller *workload.Caller, account int, rank string, tokens int64, pause time.Duration, random *rand.Rand) {
	for n := 0; loadCtx.Err() == nil; n++ {
		question := workload.Question{
			Account: fleet.AccountName(account), Key: fleet.AccountKey(account), Model: fleet.Model, Rank: rank,
			Messages: messages(account, rank, n), Tokens: tokens,
		}
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		d.checker.AddAnswer(caller.Ask(requestCtx, d.entryURL(n), question))
		cancel()
		sleep(loadCtx, pause/2+time.Duration(random.Int64N(int64(pause))))
	}
}

// messages returns a question over a long shared prompt, except for urgent ones, which are short.
func messages(account int, rank string, n int) []prompt.Message {
	ask := fmt.Sprintf("question %d of rank %s", n, rank)
	if rank == fleet.UrgentRank {
		return []prompt.Message{{Role: "user", Content: ask}}
	}
	var rulebook strings.Builder
	for i := range rulebookTokens {
		fmt.Fprintf(&rulebook, "rule%d.%s.%d ", account, rank, i)
	}
	return []prompt.Message{{Role: "system", Content: rulebook.String()}, {Role: "user", Content: ask}}
}

func (d *demo) bookLoop(ctx, loadCtx context.Context, caller *workload.Caller, account int) {
	for n := 0; loadCtx.Err() == nil; n++ {
		key, err := uuid.NewV7()
		if err != nil {
			return
		}
		body, _ := json.Marshal(map[string]any{"account": account, "number": n})
		d.book(ctx, caller, n, workload.Booking{
			Account: fleet.AccountName(account), Key: fleet.AccountKey(account), Service: fleet.Service,
			Method: "POST", Path: "/reservations", IdempotencyKey: key.String(), Body: string(body),
		})
		sleep(loadCtx, bookingPause)
	}
}

// book retries a booking until it is answered, its outcome is unknown or the attempts are used up.
func (d *demo) book(ctx context.Context, caller *workload.Caller, n int, booking workload.Booking) {
	for attempt := range bookingAttempts {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		result := caller.Book(requestCtx, d.entryURL(n+attempt), booking)
		cancel()
		d.checker.AddBooking(result)
		if result.Failure == nil || result.Failure.Kind == failure.OutcomeUnknown {
			return
		}
		sleep(ctx, max(bookingRetry, result.Failure.RetryAfter))
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
