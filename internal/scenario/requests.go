package scenario

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
	"github.com/wasabishunt/wasabishunt/internal/workload"
	"github.com/wasabishunt/wasabishunt/prompt"
)

var askOptions = []string{"count", "parallel", "account", "rank", "tokens", "long", "entry", "deadline", "expect", "topic", "key", "model", "cachedmin", "cachedmax", "booking", "sample"}

// question builds one question from options. number makes its text unique, and with the option unique also its long prompt.
func question(o options, number int) workload.Question {
	account := o.number("account", 1) - 1
	q := workload.Question{
		Account: fleet.AccountName(account), Key: o.text("key", fleet.AccountKey(account)), Model: o.text("model", fleet.Model),
		Rank: o.text("rank", ""), Tokens: int64(o.number("tokens", 8)), Deadline: o.duration("deadline", 0), NonStreaming: o.flag("whole"),
	}
	if long := o.number("long", 0); long > 0 {
		var rulebook strings.Builder
		topic := o.text("topic", "rule")
		if o.flag("unique") {
			topic += fmt.Sprintf("%d-", number)
		}
		for i := range long {
			fmt.Fprintf(&rulebook, "%s%d ", topic, i)
		}
		q.Messages = append(q.Messages, prompt.Message{Role: "system", Content: rulebook.String()})
	}
	q.Messages = append(q.Messages, prompt.Message{Role: "user", Content: fmt.Sprintf("question %d", number)})
	return q
}

// ask [count=N] [parallel=N] [account=N] [rank=R] [tokens=N] [long=TOKENS] [topic=T] [entry=N] [deadline=D] [key=K]
// [model=M] [cachedmin=TOKENS] [cachedmax=TOKENS] [sample=NAME] [unique] [whole] [whenfresh] [expect=KIND/EXECUTION]
//
// Sends questions and waits for the answers. Each must be complete, or with expect fail in the given way. With
// whenfresh a question is repeated while it is refused as stale_set, as happens after an outage of control. With sample
// the answers are kept under a name for the command alike.
func cmdAsk(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	o := parseOptions(ts, args, askOptions...)
	answers := make([]workload.Answer, o.number("count", 1))
	limit := make(chan struct{}, o.number("parallel", 1))
	var group sync.WaitGroup
	for i := range answers {
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			answers[i] = s.askOnce(o, i)
			// When control has no quorum for longer than the stale-set limit, entries refuse new work by design until
			// control has confirmed the set again.
			for end := time.Now().Add(awaitTimeout); o.flag("whenfresh") && outcome(answers[i]) == "stale_set/not_run" && time.Now().Before(end); {
				s.checker.AddAnswer(answers[i])
				wait(s.ctx, staleRetry)
				answers[i] = s.askOnce(o, i)
			}
		})
	}
	group.Wait()
	want := o.text("expect", "complete")
	for _, answer := range answers {
		s.checker.AddAnswer(answer)
		if got := outcome(answer); !neg && got != want {
			ts.Fatalf("request %s: got %s after %d tokens, want %s: %v", answer.RequestID, got, answer.Tokens, want, answer.Failure)
		} else if neg && got == want {
			ts.Fatalf("request %s: got %s", answer.RequestID, got)
		}
		if cached := int(answer.CachedTokens); cached < o.number("cachedmin", cached) || cached > o.number("cachedmax", cached) {
			ts.Fatalf("request %s: %d of %d prompt tokens were cached, want %v", answer.RequestID, cached, answer.PromptTokens, o.values)
		}
		if sample := o.text("sample", ""); sample != "" {
			s.samples[sample] = append(s.samples[sample], answer)
		}
		ts.Setenv("REQUEST", answer.RequestID)
	}
}

// staleRetry is the time between attempts of a question that is refused as stale_set.
const staleRetry = 100 * time.Millisecond

func (s *state) askOnce(o options, number int) workload.Answer {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	return s.caller.Ask(ctx, s.fleet.EntryURL(o.number("entry", 1)-1), question(o, number))
}

func outcome(answer workload.Answer) string {
	if answer.Complete {
		return "complete"
	}
	return string(answer.Failure.Kind) + "/" + string(answer.Failure.Execution)
}

// book key=K [issued=AGE] [account=N] [entry=N] [body=B] [method=M] [path=P] [eventually] [expect=OUTCOME[|OUTCOME...]] [says=TEXT]
//
// Makes one attempt of a booking. OUTCOME is answered, replayed or KIND/EXECUTION. With says the message of the failure
// must contain a text, which distinguishes the states of a booking. Within a script, each key is replaced by the same
// UUIDv7 every time; with issued it is sent unchanged.
func cmdBook(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	o := parseOptions(ts, args, "key", "issued", "account", "entry", "body", "method", "path", "expect", "says")
	account := o.number("account", 1) - 1
	key := o.text("key", "")
	booking := workload.Booking{
		Account: fleet.AccountName(account), Key: fleet.AccountKey(account), Service: fleet.Service,
		Method: o.text("method", "POST"), Path: o.text("path", "/reservations"), Body: o.text("body", "booking "+key),
	}
	if _, aged := o.values["issued"]; aged {
		booking.IdempotencyKey, booking.IssuedAt = key, time.Now().Add(-o.duration("issued", 0))
	} else {
		booking.IdempotencyKey = s.keyFor(ts, key)
	}
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	attempt := func() error {
		result := s.caller.Book(ctx, s.fleet.EntryURL(o.number("entry", 1)-1), booking)
		s.checker.AddBooking(result)
		if got, want := bookingOutcome(result), o.text("expect", "answered"); !slices.Contains(strings.Split(want, "|"), got) {
			return notMet("booking %s: got %s, want %s: %v", key, got, want, result.Failure)
		}
		if says := o.text("says", ""); result.Failure != nil && !strings.Contains(result.Failure.Message, says) {
			return notMet("booking %s: want %q in %v", key, says, result.Failure)
		}
		return nil
	}
	if o.flag("eventually") {
		checkOutcome(ts, neg, s.poll(attempt), "book")
		return
	}
	checkOutcome(ts, neg, attempt(), "book")
}

// keyFor returns the UUIDv7 for a key of the script.
func (s *state) keyFor(ts *testscript.TestScript, key string) string {
	name := "KEY_" + key
	if id := ts.Getenv(name); id != "" {
		return id
	}
	id, err := uuid.NewV7()
	ts.Check(err)
	ts.Setenv(name, id.String())
	return id.String()
}

func bookingOutcome(result workload.BookingResult) string {
	switch {
	case result.Failure != nil:
		return string(result.Failure.Kind) + "/" + string(result.Failure.Execution)
	case result.Replayed:
		return "replayed"
	default:
		return "answered"
	}
}

// load NAME ask|book [OPTIONS of ask] [parallel=N] [count=N]: starts requests in the background of the script; without
// count they continue until endload.
func cmdLoad(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	if neg || len(args) < 2 || s.loads[args[0]] != nil {
		ts.Fatalf("usage: load NAME ask|book [OPTIONS], with a new name")
	}
	o := parseOptions(ts, args[2:], append([]string{"pause"}, askOptions...)...)
	ctx, cancel := context.WithCancel(s.ctx)
	l := &load{cancel: cancel}
	s.loads[args[0]] = l
	if key := o.text("booking", ""); key != "" {
		s.keyFor(ts, key)
	}
	send := s.loadAsk
	if args[1] == "book" {
		send = s.loadBook
	}
	for worker := range o.number("parallel", 1) {
		l.done.Go(func() {
			for n := 0; ctx.Err() == nil && (n < o.number("count", n+1)); n++ {
				send(l, o, args[0], worker, n)
				wait(ctx, o.duration("pause", 0))
			}
		})
	}
}

func wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// loadAsk sends one question. Its context is not that of the load, so the last requests finish after the load has ended.
func (s *state) loadAsk(l *load, o options, name string, worker, n int) {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	q := question(o, worker*1_000_000+n)
	q.Messages[len(q.Messages)-1].Content += " of load " + name
	caller := workload.NewCaller()
	defer caller.Close()
	caller.OnToken = func(_ workload.Question, tokens int64) {
		if tokens == 1 {
			l.count(&l.started)
		}
	}
	answer := caller.Ask(ctx, s.loadEntry(o, worker), q)
	s.checker.AddAnswer(answer)
	l.addAnswer(answer)
	l.count(&l.ended)
}

// loadEntry spreads workers over the entries, unless one is chosen.
func (s *state) loadEntry(o options, worker int) string {
	if _, chosen := o.values["entry"]; chosen {
		return s.fleet.EntryURL(o.number("entry", 1) - 1)
	}
	return s.fleet.EntryURL(worker % s.fleet.Shape.Entries)
}

// loadBook makes one booking and retries it until it is answered or its outcome is unknown. With the option booking it
// makes one attempt under that key of the script.
func (s *state) loadBook(l *load, o options, name string, worker, n int) {
	id, err := uuid.NewV7()
	if err != nil {
		return
	}
	account := o.number("account", 1) - 1
	booking := workload.Booking{
		Account: fleet.AccountName(account), Key: fleet.AccountKey(account), Service: fleet.Service, Method: "POST", Path: "/reservations",
		IdempotencyKey: id.String(), Body: fmt.Sprintf("booking %d of worker %d of load %s", n, worker, name),
	}
	attempts := 20
	if key := o.text("booking", ""); key != "" {
		booking.IdempotencyKey, booking.Body = s.keyFor(o.ts, key), "booking "+key
		attempts = 1
	}
	l.count(&l.started)
	for attempt := range attempts {
		ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
		result := s.caller.Book(ctx, s.loadEntry(o, worker+attempt), booking)
		cancel()
		s.checker.AddBooking(result)
		if result.Failure == nil || result.Failure.Kind == "outcome_unknown" {
			break
		}
		wait(s.ctx, max(200*time.Millisecond, result.Failure.RetryAfter))
	}
	l.count(&l.ended)
}

func (l *load) count(counter *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*counter++
}

func (l *load) counts() (started, ended int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started, l.ended
}

// endload NAME: stops a load and waits for its requests in flight.
func cmdEndLoad(ts *testscript.TestScript, neg bool, args []string) {
	l := stateOf(ts).loads[singleName(ts, neg, args)]
	if l == nil {
		ts.Fatalf("no load %s", args[0])
	}
	l.cancel()
	l.done.Wait()
}
