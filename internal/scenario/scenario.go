// Package scenario adds testscript commands that start a fleet of real processes on loopback, send requests,
// inject faults, and check the system's invariants against the records of callers and stand-ins.
package scenario

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
	"github.com/wasabishunt/wasabishunt/internal/workload"
)

// Timeouts of commands that wait for an event.
const (
	// awaitTimeout is longer than every bound that a scenario checks; a condition that takes longer fails.
	awaitTimeout = 30 * time.Second
	// requestTimeout limits one request.
	requestTimeout = 30 * time.Second
	stopTimeout    = 20 * time.Second
)

// state holds the fleet, the running loads and the results of one script.
type state struct {
	binaries string
	fleet    *fleet.Fleet
	caller   *workload.Caller
	checker  *workload.Checker
	// version is the last accepted set version.
	version uint64
	// weights is the weight version in the last accepted set.
	weights string
	// weightVersions are all versions of accepted sets; an answer may come from any of them.
	weightVersions []string

	ctx    context.Context
	cancel context.CancelFunc
	loads  map[string]*load
	slow   map[string]*slowCallers
	// samples are answers by the name that the script gave them, for the command alike.
	samples map[string][]workload.Answer
	// marks are points in time by the name that the script gave them.
	marks map[string]time.Time
}

// load is a set of requests that run in the background of a script.
type load struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	// started counts the questions whose first token arrived, and the bookings that were begun.
	started int
	ended   int
	// answers and endedAt hold the answers of ended requests and the times of their ends.
	answers []workload.Answer
	endedAt []time.Time
}

type stateKey struct{}

// Params returns the testscript parameters for the scripts in a directory, with the programs in binaries.
func Params(scripts, binaries string) testscript.Params {
	return testscript.Params{
		Dir:                 scripts,
		RequireExplicitExec: true,
		Setup:               func(env *testscript.Env) error { return setup(env, binaries) },
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet": cmdFleet, "start": cmdStart, "crash": cmdCrash, "freeze": cmdFreeze, "thaw": cmdThaw,
			"shutdown": cmdShutdown, "terminate": cmdTerminate, "exited": cmdExited,
			"isolate": cmdIsolate, "part": cmdPart, "filelimit": cmdFileLimit, "cut": cmdCut, "heal": cmdHeal, "slow": cmdSlow, "wipe": cmdWipe,
			"vm": cmdVM, "vmlag": cmdVMLag, "fault": cmdFault, "await": cmdAwait,
			"publish": cmdPublish, "ask": cmdAsk, "book": cmdBook, "load": cmdLoad, "endload": cmdEndLoad,
			"mark": cmdMark, "within": cmdWithin, "check": cmdCheck, "executions": cmdExecutions, "runs": cmdRuns,
			"logged": cmdLogged, "pieces": cmdPieces, "ontime": cmdOnTime, "share": cmdShare, "outcomes": cmdOutcomes,
			"lasts": cmdLasts, "slowcallers": cmdSlowCallers, "turnedaway": cmdTurnedAway, "loseanswers": cmdLoseAnswers,
			"corrupt": cmdCorrupt, "alike": cmdAlike,
		},
	}
}

func setup(env *testscript.Env, binaries string) error {
	ctx, cancel := context.WithCancel(context.Background())
	s := &state{
		binaries: binaries, checker: &workload.Checker{}, caller: workload.NewCaller(),
		ctx: ctx, cancel: cancel, loads: map[string]*load{}, slow: map[string]*slowCallers{}, marks: map[string]time.Time{},
		samples: map[string][]workload.Answer{},
	}
	env.Values[stateKey{}] = s
	env.Setenv("PATH", binaries+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Defer(s.close)
	return nil
}

func (s *state) close() {
	s.cancel()
	for _, l := range s.loads {
		l.done.Wait()
	}
	for _, callers := range s.slow {
		callers.done.Wait()
	}
	s.caller.Close()
	if s.fleet != nil {
		s.fleet.Close()
	}
}

func stateOf(ts *testscript.TestScript) *state {
	return ts.Value(stateKey{}).(*state)
}

// options are the key=value arguments of a command.
type options struct {
	ts     *testscript.TestScript
	values map[string]string
	words  []string
}

// parseOptions splits arguments into key=value pairs and plain words.
func parseOptions(ts *testscript.TestScript, args []string, known ...string) options {
	o := options{ts: ts, values: map[string]string{}}
	for _, arg := range args {
		key, value, found := strings.Cut(arg, "=")
		if !found {
			o.words = append(o.words, arg)
			continue
		}
		if !contains(known, key) {
			ts.Fatalf("unknown option %q, known are %v", key, known)
		}
		o.values[key] = value
	}
	return o
}

func contains(list []string, s string) bool {
	for _, one := range list {
		if one == s {
			return true
		}
	}
	return false
}

func (o options) text(key, fallback string) string {
	if value, ok := o.values[key]; ok {
		return value
	}
	return fallback
}

func (o options) number(key string, fallback int) int {
	value, ok := o.values[key]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(value)
	o.ts.Check(err)
	return n
}

func (o options) duration(key string, fallback time.Duration) time.Duration {
	value, ok := o.values[key]
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(value)
	o.ts.Check(err)
	return d
}

// flag reports whether a plain word was given.
func (o options) flag(word string) bool { return contains(o.words, word) }

// singleName returns the only argument of a command that takes one name.
func singleName(ts *testscript.TestScript, neg bool, args []string) string {
	if neg || len(args) != 1 {
		ts.Fatalf("want exactly one name")
	}
	return args[0]
}

// checkOutcome fails the script if a command failed unexpectedly, or succeeded although it was negated.
func checkOutcome(ts *testscript.TestScript, neg bool, err error, what string) {
	switch {
	case err != nil && !neg:
		ts.Fatalf("%s: %v", what, err)
	case err == nil && neg:
		ts.Fatalf("%s succeeded unexpectedly", what)
	case err != nil:
		ts.Logf("%s failed as expected: %v", what, err)
	}
}

// unmetConditionError reports that an awaited condition is not met.
type unmetConditionError struct{ detail string }

func (e *unmetConditionError) Error() string { return e.detail }

func notMet(format string, args ...any) error {
	return &unmetConditionError{fmt.Sprintf(format, args...)}
}
