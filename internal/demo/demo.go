// Package demo runs the complete system on loopback under a mixed load with failures, and prints tables of the
// callers' results. It fails if an invariant of the system was violated.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
	"github.com/wasabishunt/wasabishunt/internal/workload"
)

// Options of a run.
type Options struct {
	// Binaries is the directory with the built programs.
	Binaries string
	// Directory receives logs and data.
	Directory string
	// Seed of the load.
	Seed uint64
	// Load is how long the load runs; default 20 s.
	Load   time.Duration
	Output io.Writer
}

// StepError reports a step of the demo that failed.
type StepError struct {
	Step   string
	Detail string
	Cause  error
}

func (e *StepError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Step, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Step, e.Detail)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Cause }

// InvariantError lists the violated invariants.
type InvariantError struct{ Violations []workload.Violation }

func (e *InvariantError) Error() string {
	return fmt.Sprintf("%d invariants violated, first: %s", len(e.Violations), e.Violations[0])
}

// demo is one run of the demo.
type demo struct {
	options Options
	fleet   *fleet.Fleet
	checker workload.Checker
	started time.Time
}

// shape returns the number and kind of processes that the demo starts.
func shape() fleet.Shape {
	return fleet.Shape{
		Controls: 3, Entries: 2, Stores: 2, Services: 2, Accounts: 4,
		Upstreams: []fleet.UpstreamShape{{}, {}, {IgnoresFencing: true, PrefillRate: 10_000, DecodeRate: 120}, {}},
	}
}

// Run starts the system, sends the load, causes the failures, and reports.
func Run(ctx context.Context, options Options) error {
	if options.Load == 0 {
		options.Load = 20 * time.Second
	}
	f, err := fleet.New(shape(), options.Binaries, options.Directory)
	if err != nil {
		return &StepError{"prepare", "addresses and files", err}
	}
	defer f.Close()
	d := &demo{options: options, fleet: f, started: time.Now()}
	if err := d.start(ctx); err != nil {
		return err
	}
	if err := d.runLoad(ctx); err != nil {
		return err
	}
	return d.report(ctx)
}

func (d *demo) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.options.Output, "%6.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// start brings up all processes and publishes the first set.
func (d *demo) start(ctx context.Context) error {
	d.logf("start %d processes; logs in %s", len(d.fleet.Names()), d.options.Directory)
	if err := d.fleet.StartAll(); err != nil {
		return &StepError{"start", "processes", err}
	}
	if err := d.publish(ctx, 0, fleet.Model+"-v1"); err != nil {
		return err
	}
	for i := range d.fleet.Shape.Entries {
		if err := d.fleet.AwaitReady(ctx, i); err != nil {
			return &StepError{"start", "entries did not become ready", err}
		}
	}
	return nil
}

// publish publishes a set whose model uses the given weight version, and waits until all processes have it.
func (d *demo) publish(ctx context.Context, expect int, version string) error {
	set := d.fleet.ObjectSet()
	set.Models[0].WeightVersion = version
	document, err := json.Marshal(set)
	if err != nil {
		return &StepError{"publish", "encode set", err}
	}
	path := filepath.Join(d.options.Directory, "set.json")
	if err := os.WriteFile(path, document, 0o600); err != nil {
		return &StepError{"publish", "write set", err}
	}
	begin := time.Now()
	if err := d.operate(ctx, "publish", path, "--expect-version", fmt.Sprint(expect)); err != nil {
		return err
	}
	d.logf("published version %d with weights %s in %d ms", expect+1, version, time.Since(begin).Milliseconds())
	if err := d.awaitDistribution(ctx, expect+1); err != nil {
		return err
	}
	d.logf("version %d in force on all processes after %d ms", expect+1, time.Since(begin).Milliseconds())
	return nil
}

// awaitDistribution waits until no live process lacks the version. A killed control member makes the command exit with
// a failure although no process lacks the version, so the counts decide and not the exit code.
func (d *demo) awaitDistribution(ctx context.Context, version int) error {
	result, err := d.fleet.Operate(ctx, fleet.Operator, "-o", "json", "watch", "--wait", "10s")
	if err != nil {
		return &StepError{"watch", "run command", err}
	}
	var distribution struct {
		Version int `json:"version"`
		Missing int `json:"missing"`
	}
	if err := json.Unmarshal([]byte(result.Stdout), &distribution); err != nil {
		return &StepError{"watch", result.Stdout + result.Stderr, err}
	}
	if distribution.Version != version || distribution.Missing > 0 {
		return &StepError{Step: "watch", Detail: "version is not in force everywhere: " + result.Stdout}
	}
	return nil
}

// operateTimeout limits one operators' command with its retries.
const operateTimeout = 20 * time.Second

// operate runs an operators' command; it retries while the outcome is unknown, for example without a leader.
func (d *demo) operate(ctx context.Context, args ...string) error {
	result, err := d.fleet.OperateUntilDone(ctx, operateTimeout, fleet.Operator, args...)
	if err != nil {
		return &StepError{"operate", args[0], err}
	}
	if result.ExitCode != 0 {
		return &StepError{Step: "operate", Detail: fmt.Sprintf("%v exited with %d: %s %s", args, result.ExitCode, result.Stdout, result.Stderr)}
	}
	return nil
}
