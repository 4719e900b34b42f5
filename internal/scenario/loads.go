package scenario

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wasabishunt/wasabishunt/internal/workload"
)

// addAnswer records one answer of a load.
func (l *load) addAnswer(answer workload.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, answer)
	l.endedAt = append(l.endedAt, time.Now())
}

// answersSince returns the answers that ended after a point in time.
func (l *load) answersSince(mark time.Time) []workload.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var answers []workload.Answer
	for i, answer := range l.answers {
		if l.endedAt[i].After(mark) {
			answers = append(answers, answer)
		}
	}
	return answers
}

func (l *load) allAnswers() []workload.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.answers)
}

func loadOf(ts *testscript.TestScript, name string) *load {
	l := stateOf(ts).loads[name]
	if l == nil {
		ts.Fatalf("no load %s", name)
	}
	return l
}

// ontime LOAD first=DURATION share=PERCENT [atleast=N]
//
// Checks the share of a load's requests that are complete with their first token in time. A refused or broken request
// counts as late. With fewer than atleast requests the check fails, since the share would mean little.
func cmdOnTime(ts *testscript.TestScript, neg bool, args []string) {
	o := parseOptions(ts, args, "first", "share", "atleast")
	if neg || len(o.words) != 1 {
		ts.Fatalf("usage: ontime LOAD first=DURATION share=PERCENT")
	}
	answers := loadOf(ts, o.words[0]).allAnswers()
	if len(answers) < o.number("atleast", 20) {
		ts.Fatalf("only %d requests of %s have ended", len(answers), o.words[0])
	}
	failed := map[string]int{}
	var firsts []time.Duration
	onTime := 0
	for _, answer := range answers {
		if !answer.Complete {
			failed[outcome(answer)]++
			continue
		}
		firsts = append(firsts, answer.FirstToken)
		if answer.FirstToken <= o.duration("first", 0) {
			onTime++
		}
	}
	slices.Sort(firsts)
	if len(firsts) > 0 {
		ts.Logf("first token: median %s, 95 in 100 %s, last %s", firsts[len(firsts)/2], firsts[len(firsts)*95/100], firsts[len(firsts)-1])
	}
	ts.Logf("%s: %d of %d requests are on time, failed %v", o.words[0], onTime, len(answers), failed)
	if onTime*100 < len(answers)*o.number("share", 100) {
		ts.Fatalf("%d of %d requests are on time, want %d in 100", onTime, len(answers), o.number("share", 100))
	}
}

// share LOAD OTHER... atleast=PERCENT [slack=TOKENS] [since=MARK]
//
// Checks the share of the first load in the tokens served to all named loads. slack tokens are added to the first load's
// tokens, because a rank earns its floor before the engines serve it, in complete prefill chunks of each engine.
func cmdShare(ts *testscript.TestScript, neg bool, args []string) {
	o := parseOptions(ts, args, "atleast", "slack", "since")
	if neg || len(o.words) < 2 {
		ts.Fatalf("usage: share LOAD OTHER... atleast=PERCENT")
	}
	mark := stateOf(ts).marks[o.text("since", "")]
	var tokensOfLoad, sum int64
	for i, name := range o.words {
		tokens := served(loadOf(ts, name).answersSince(mark))
		ts.Logf("%s was served %d tokens", name, tokens)
		if i == 0 {
			tokensOfLoad = tokens
		}
		sum += tokens
	}
	if (tokensOfLoad+int64(o.number("slack", 0)))*100 < sum*int64(o.number("atleast", 0)) || sum == 0 {
		ts.Fatalf("%s has %d of %d tokens, want %d in 100", o.words[0], tokensOfLoad, sum, o.number("atleast", 0))
	}
}

// served counts prompt and generated tokens of complete answers.
func served(answers []workload.Answer) int64 {
	var tokens int64
	for _, answer := range answers {
		if answer.Complete {
			tokens += answer.PromptTokens - answer.CachedTokens + answer.Tokens
		}
	}
	return tokens
}

// outcomes LOAD OUTCOME[|OUTCOME...]: checks that each request of a load ended with one of these outcomes.
func cmdOutcomes(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: outcomes LOAD OUTCOME[|OUTCOME...]")
	}
	answers := loadOf(ts, args[0]).allAnswers()
	if len(answers) == 0 {
		ts.Fatalf("no request of %s has ended", args[0])
	}
	for _, answer := range answers {
		if got := outcome(answer); !slices.Contains(strings.Split(args[1], "|"), got) {
			ts.Fatalf("request %s: got %s after %d tokens, want %s", answer.RequestID, got, answer.Tokens, args[1])
		}
	}
}

// lasts MARK DURATION: waits until the duration has passed since a mark, so that a fault lasts that long under load.
func cmdLasts(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: lasts MARK DURATION")
	}
	duration, err := time.ParseDuration(args[1])
	ts.Check(err)
	s := stateOf(ts)
	wait(s.ctx, time.Until(s.marks[args[0]].Add(duration)))
}

// bookingCount checks that a control member holds at least this many booking records.
func (s *state) bookingCount(args []string) error {
	want, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil {
		return err
	}
	var members []memberRow
	if err := s.operate(&members, "status"); err != nil {
		return err
	}
	for _, m := range members {
		if m.Bookings >= want {
			return nil
		}
	}
	return notMet("no member holds %d bookings", want)
}
