package scenario

import (
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/internal/workload"
)

// alike SAMPLE SAMPLE atleast=N within=DURATION: checks that a caller cannot distinguish two kinds of questions. The engines
// must have computed the same number of prompt tokens for each answer, and the medians of the times to first token may
// differ by at most the duration.
func cmdAlike(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	o := parseOptions(ts, args, "atleast", "within")
	if neg || len(o.words) != 2 {
		ts.Fatalf("usage: alike SAMPLE SAMPLE atleast=N within=DURATION")
	}
	runs, err := s.allRuns()
	ts.Check(err)
	computed := map[int64]bool{}
	var medians []time.Duration
	for _, name := range o.words {
		answers := s.samples[name]
		if len(answers) == 0 || len(answers) < o.number("atleast", 1) {
			ts.Fatalf("sample %s has only %d answers", name, len(answers))
		}
		tokens := computedTokens(answers, runs)
		medians = append(medians, medianFirstToken(answers))
		ts.Logf("%s: computed prompt tokens %v, median time to first token %s", name, tokens, medians[len(medians)-1])
		for _, n := range tokens {
			computed[n] = true
		}
	}
	if len(computed) != 1 {
		ts.Fatalf("the engines computed different numbers of prompt tokens")
	}
	if difference := (medians[0] - medians[1]).Abs(); difference > o.duration("within", 0) {
		ts.Fatalf("the medians differ by %s, at most %s is allowed", difference, o.duration("within", 0))
	}
}

// computedTokens returns for each answer the number of prompt tokens that all engines together computed according to their
// run logs; 0 if no log contains the answer.
func computedTokens(answers []workload.Answer, runs []engine.RunRecord) []int64 {
	tokens := make([]int64, len(answers))
	for i, answer := range answers {
		for _, run := range runs {
			if answer.RequestID != "" && strings.HasPrefix(run.RequestID, answer.RequestID) {
				tokens[i] += run.PromptTokens - run.CachedTokens
			}
		}
	}
	return tokens
}

func medianFirstToken(answers []workload.Answer) time.Duration {
	var firsts []time.Duration
	for _, answer := range answers {
		firsts = append(firsts, answer.FirstToken)
	}
	slices.Sort(firsts)
	return firsts[len(firsts)/2]
}
