package scenario

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
	"github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/internal/standin/service"
	"github.com/wasabishunt/wasabishunt/internal/workload"
)

func (s *state) poll(check func() error) error {
	ctx, cancel := context.WithTimeout(s.ctx, awaitTimeout)
	defer cancel()
	return fleet.Poll(ctx, check)
}

// await ready|unready ENTRY, await inforce [EXCEPTED_PROCESS...], await state PROCESS STATE, await started LOAD N,
// await ended LOAD N, await weights ENGINE VERSION, await voters N, await leader, await executions N,
// await bookings N, await operated COMMAND..., await live [PROCESS...], await healthy|failing STORE
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: await CONDITION [ARGUMENT...]")
	}
	s := stateOf(ts)
	conditions := map[string]func(args []string) error{
		"ready":      func(a []string) error { return s.entryReadiness(a[0], http.StatusOK) },
		"unready":    func(a []string) error { return s.entryReadiness(a[0], http.StatusServiceUnavailable) },
		"inforce":    s.checkSetVersion,
		"state":      func(a []string) error { return s.checkProcessState(a[0], a[1]) },
		"started":    func(a []string) error { return s.loadCount(a, func(l *load) int { n, _ := l.counts(); return n }) },
		"ended":      func(a []string) error { return s.loadCount(a, func(l *load) int { _, n := l.counts(); return n }) },
		"weights":    func(a []string) error { return s.loadedWeights(a[0], a[1]) },
		"voters":     func(a []string) error { return s.checkVoters(a[0]) },
		"leader":     func([]string) error { _, err := s.leader(); return err },
		"executions": s.executionCount,
		"operated":   s.checkOperation,
		"live":       s.checkLive,
		"healthy":    func(a []string) error { return s.storeReadiness(a[0], http.StatusOK) },
		"failing":    func(a []string) error { return s.storeReadiness(a[0], http.StatusServiceUnavailable) },
		"bookings":   s.bookingCount,
	}
	condition := conditions[args[0]]
	if condition == nil {
		ts.Fatalf("unknown condition %s", args[0])
	}
	checkOutcome(ts, false, s.poll(func() error { return condition(args[1:]) }), "await "+strings.Join(args, " "))
	if args[0] == "leader" {
		name, err := s.leader()
		ts.Check(err)
		ts.Setenv("LEADER", name)
		ts.Setenv("FOLLOWER", s.followerOf(name))
	}
}

// checkOperation runs an operators' command and returns an error unless it succeeds.
func (s *state) checkOperation(args []string) error {
	result, err := s.fleet.Operate(s.ctx, fleet.Operator, args...)
	if err == nil && result.ExitCode != 0 {
		err = notMet("%v exited with %d: %s", args, result.ExitCode, result.Stderr)
	}
	return err
}

func (s *state) loadCount(args []string, count func(*load) int) error {
	l := s.loads[args[0]]
	if l == nil {
		return notMet("no load %s", args[0])
	}
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	if got := count(l); got < want {
		return notMet("load %s counts %d, want %d", args[0], got, want)
	}
	return nil
}

func (s *state) loadedWeights(name, version string) error {
	var state engine.State
	if err := s.fleet.CallStandin(s.ctx, name, http.MethodGet, "/standin/state", nil, &state); err != nil {
		return err
	}
	if !contains(state.Weights.Loaded, version) {
		return notMet("%s has loaded %v, want %s", name, state.Weights.Loaded, version)
	}
	return nil
}

func (s *state) allRuns() ([]engine.RunRecord, error) {
	var runs []engine.RunRecord
	for i := range s.fleet.Shape.Upstreams {
		var records []engine.RunRecord
		if err := s.fleet.CallStandin(s.ctx, "engine-"+strconv.Itoa(i+1), http.MethodGet, "/standin/runs", nil, &records); err != nil {
			return nil, err
		}
		runs = append(runs, records...)
	}
	return runs, nil
}

func (s *state) allExecutions() ([]service.Executions, error) {
	var all []service.Executions
	for i := range s.fleet.Shape.Services {
		var one service.Executions
		if err := s.fleet.CallStandin(s.ctx, "service-"+strconv.Itoa(i+1), http.MethodGet, "/standin/executions", nil, &one); err != nil {
			return nil, err
		}
		all = append(all, one)
	}
	return all, nil
}

func (s *state) executionTotal() (int64, error) {
	all, err := s.allExecutions()
	var total int64
	for _, one := range all {
		total += one.Total
	}
	return total, err
}

func (s *state) executionCount(args []string) error {
	want, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil {
		return err
	}
	got, err := s.executionTotal()
	if err == nil && got < want {
		err = notMet("%d executions, want %d", got, want)
	}
	return err
}

// executions N: checks that the service instances have executed exactly N calls in total.
func cmdExecutions(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: executions N")
	}
	want, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	got, err := stateOf(ts).executionTotal()
	ts.Check(err)
	if (got == want) == neg {
		ts.Fatalf("%d executions, want %d (negated: %t)", got, want, neg)
	}
}

// mark NAME: records the current time under a name.
func cmdMark(ts *testscript.TestScript, neg bool, args []string) {
	stateOf(ts).marks[singleName(ts, neg, args)] = time.Now()
}

// within MARK DURATION: fails if more time has passed since a mark.
func cmdWithin(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: within MARK DURATION")
	}
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	passed := time.Since(stateOf(ts).marks[args[0]])
	ts.Logf("%s since %s", passed.Round(time.Millisecond), args[0])
	if passed > limit {
		ts.Fatalf("%s since %s, at most %s allowed", passed, args[0], limit)
	}
}

// check [all-complete]: compares all answers and bookings so far with the stand-ins' records. With ! it must find violations.
func cmdCheck(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	runs, err := s.allRuns()
	ts.Check(err)
	executions, err := s.allExecutions()
	ts.Check(err)
	var violations []workload.Violation
	complete, failed := 0, map[string]int{}
	for _, answer := range s.checker.Answers() {
		violations = append(violations, workload.CheckAnswer(answer, s.weightVersions...)...)
		violations = append(violations, workload.CheckRefusal(answer, runs)...)
		if answer.Complete {
			complete++
		} else {
			failed[outcome(answer)]++
		}
	}
	violations = append(violations, workload.CheckBookings(s.checker.Bookings(), executions...)...)
	for _, run := range runs {
		if run.Corrupt {
			violations = append(violations, workload.Violation{Invariant: "I1, I3 no freed, torn or foreign block is read", Detail: run.RequestID})
		}
	}
	ts.Logf("%d complete answers, failed %v, %d booking attempts", complete, failed, len(s.checker.Bookings()))
	for _, v := range violations {
		ts.Logf("violation %s", v)
	}
	if (len(violations) > 0) != neg {
		ts.Fatalf("%d violations", len(violations))
	}
	if contains(args, "all-complete") && len(failed) > 0 {
		ts.Fatalf("not all answers are complete: %v", failed)
	}
}
