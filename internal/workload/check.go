package workload

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/internal/standin/service"
	"github.com/wasabishunt/wasabishunt/prompt"
)

// Violation is one violated invariant.
type Violation struct {
	Invariant string
	Detail    string
}

func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

// Checker collects the results of callers. Checker.mu is a leaf lock: no other lock is acquired while it is held.
type Checker struct {
	mu       sync.Mutex
	answers  []Answer
	bookings []BookingResult
}

// AddAnswer adds an answer.
func (c *Checker) AddAnswer(answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, answer)
}

// AddBooking adds the result of a booking.
func (c *Checker) AddBooking(result BookingResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bookings = append(c.bookings, result)
}

// Answers returns a copy of all answers.
func (c *Checker) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer(nil), c.answers...)
}

// Bookings returns a copy of all results.
func (c *Checker) Bookings() []BookingResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]BookingResult(nil), c.bookings...)
}

// CheckAnswer compares an answer with the engines' deterministic text under each of the weight versions. A complete
// answer must equal one of the texts and an incomplete one must be a prefix of one, so that it has no gap, repeated token
// or token of another request.
func CheckAnswer(answer Answer, versions ...string) []Violation {
	text := prompt.Render(answer.Question.Messages)
	for _, version := range versions {
		want := strings.Join(engine.Answer(text, answer.Question.Model, version, answer.Question.Tokens), "")
		if answer.Complete && answer.Text == want {
			return nil
		}
		if !answer.Complete && strings.HasPrefix(want, answer.Text) {
			return nil
		}
	}
	return []Violation{{
		"I4 whole answer to its own request",
		fmt.Sprintf("request %s of %s: complete=%t, %d tokens do not match any of %v",
			answer.RequestID, answer.Question.Account, answer.Complete, answer.Tokens, versions),
	}}
}

// CheckRefusal compares a not_run refusal with the engines' run logs.
func CheckRefusal(answer Answer, runs []engine.RunRecord) []Violation {
	if answer.Failure == nil || answer.Failure.Execution != failure.NotRun || answer.RequestID == "" {
		return nil
	}
	for _, run := range runs {
		if strings.HasPrefix(run.RequestID, answer.RequestID) && run.Emitted > 0 {
			return []Violation{{"I5 not_run is true", fmt.Sprintf("request %s was refused as not run, an engine emitted %d tokens", answer.RequestID, run.Emitted)}}
		}
	}
	return nil
}

// CheckBookings compares the callers' results with the executions that the service instances counted. Attempts of one
// booking share a body that no other booking has.
func CheckBookings(results []BookingResult, executions ...service.Executions) []Violation {
	var violations []Violation
	attempts := map[string][]BookingResult{}
	for _, result := range results {
		hash := bodyHash(result.Booking)
		attempts[hash] = append(attempts[hash], result)
	}
	for hash, group := range attempts {
		count := 0
		for _, e := range executions {
			count += e.ByBody[hash]
		}
		violations = append(violations, checkBooking(group, count)...)
	}
	return violations
}

func bodyHash(b Booking) string {
	content, err := json.Marshal(b.Body)
	if err != nil {
		panic(err) // Unreachable: every string can be encoded.
	}
	return service.BodyHash(b.Method, b.Path, content)
}

func checkBooking(attempts []BookingResult, executions int) []Violation {
	id := attempts[0].Booking.Account + "/" + attempts[0].Booking.IdempotencyKey
	if executions > 1 {
		return []Violation{{"I6 at most once", fmt.Sprintf("booking %s ran %d times", id, executions)}}
	}
	answered := false
	allNotRun := true
	for _, attempt := range attempts {
		answered = answered || attempt.Failure == nil
		allNotRun = allNotRun && attempt.Failure != nil && attempt.Failure.Execution == failure.NotRun
	}
	switch {
	case answered && executions == 0:
		return []Violation{{"I6 not lost", fmt.Sprintf("booking %s was answered and never ran", id)}}
	case allNotRun && executions > 0:
		return []Violation{{"I5 not_run is true", fmt.Sprintf("booking %s was refused as not run and ran", id)}}
	}
	return nil
}
