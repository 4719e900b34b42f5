// Package scenario adds commands to testscript that start a fleet of real processes on loopback, send requests,
// inject faults and check the system's invariants against what callers and stand-ins saw.
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
	// awaitTimeout is above each bound that a scenario checks; a condition that needs longer fails.
	awaitTimeout = 30 * time.Second
	// requestTimeout limits one request.
	requestTimeout = 30 * time.Second
	stopTimeout    = 20 * time.Second
)

// state is what one script works on.
type state struct {
	binaries string
	fleet    *fleet.Fleet
	caller   *workload.Caller
	checker  *workload.Checker
	// version is the last accepted set version.
	version uint64
	// weights is the weight version in the last accepted set.
	weights string
	// weightVersions are all that were ever in force, so that answers can be checked.
	weightVersions []string

	ctx    context.Context
	cancel context.CancelFunc
	loads  map[string]*load
	slow   map[string]*slowCallers
	// samples are answers that a script compares.
	samples map[string][]workload.Answer
	// marks are points in time that a script named.
	marks map[string]time.Time
}

// load is work that runs while a script goes on.
type load struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	// started counts answers whose first token arrived.
	started int
	ended   int
	// answers are those of ended requests.
	answers []workload.Answer
	endedAt []time.Time
}

type stateKey struct{}

// Params returns testscript parameters for the scripts in a directory; programs are taken from another.
func Params(scripts, binaries string) testscript.Params {
	return testscript.Params{
		Dir:                 scripts,
		RequireExplicitExec: true,
		Setup:               func(env *testscript.Env) error { return setup(env, binaries) },
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet": cmdFleet, "start": cmdStart, "crash": cmdCrash, "freeze": cmdFreeze, "thaw": cmdThaw,
			"shutdown": cmdStop, "terminate": cmdTerminate, "exited": cmdExited,
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

// parse splits arguments into key=value pairs and plain words.
func parse(ts *testscript.TestScript, args []string, known ...string) options {
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

func (o options) text(key, missing string) string {
	if value, ok := o.values[key]; ok {
		return value
	}
	return missing
}

func (o options) number(key string, missing int) int {
	value, ok := o.values[key]
	if !ok {
		return missing
	}
	n, err := strconv.Atoi(value)
	o.ts.Check(err)
	return n
}

func (o options) duration(key string, missing time.Duration) time.Duration {
	value, ok := o.values[key]
	if !ok {
		return missing
	}
	d, err := time.ParseDuration(value)
	o.ts.Check(err)
	return d
}

// flag reports whether a plain word was given.
func (o options) flag(word string) bool { return contains(o.words, word) }

// oneName returns the only argument of a command that takes a process name.
func oneName(ts *testscript.TestScript, neg bool, args []string) string {
	if neg || len(args) != 1 {
		ts.Fatalf("want one process name")
	}
	return args[0]
}

// fail ends the script, unless the command was expected to fail.
func fail(ts *testscript.TestScript, neg bool, err error, what string) {
	switch {
	case err != nil && !neg:
		ts.Fatalf("%s: %v", what, err)
	case err == nil && neg:
		ts.Fatalf("%s succeeded unexpectedly", what)
	case err != nil:
		ts.Logf("%s failed as expected: %v", what, err)
	}
}

// conditionError says that something awaited is not so.
type conditionError struct{ detail string }

func (e *conditionError) Error() string { return e.detail }

func notYet(format string, args ...any) error {
	return &conditionError{fmt.Sprintf(format, args...)}
}
