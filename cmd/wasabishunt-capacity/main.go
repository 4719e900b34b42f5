// Command wasabishunt-capacity measures the costs of each role on this machine and prints markdown tables.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/capacity"
)

type arguments struct {
	Only      []string      `arg:"positional" help:"measurements: bookings, control, idle, queue, relay, returns, sets, state; default all"`
	Watchers  []int         `arg:"--watchers,env:WASABISHUNT_CAPACITY_WATCHERS" help:"numbers of watchers; default 50 100 200 400"`
	Accounts  []int         `arg:"--accounts,env:WASABISHUNT_CAPACITY_ACCOUNTS" help:"numbers of client accounts; default 100 1000 10000"`
	Upstreams []int         `arg:"--upstreams,env:WASABISHUNT_CAPACITY_UPSTREAMS" help:"numbers of upstreams; default 15 300 2600"`
	Repeats   int           `arg:"--repeats,env:WASABISHUNT_CAPACITY_REPEATS" default:"3" help:"repeats of each measurement"`
	Rest      time.Duration `arg:"--rest,env:WASABISHUNT_CAPACITY_REST" default:"5s" help:"observation of processes at rest"`
	Dir       string        `arg:"--dir,env:WASABISHUNT_CAPACITY_DIR" help:"directory for the data of control members; default the system's temporary directory"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Measures costs per watcher, object, booking, request and token on this machine and prints markdown tables."
}

func main() {
	args := arguments{Watchers: []int{50, 100, 200, 400}, Accounts: []int{100, 1000, 10_000}, Upstreams: []int{15, 300, 2600}}
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args arguments) error {
	measurements := capacity.Measurements()
	names := args.Only
	if len(names) == 0 {
		names = lo.Keys(measurements)
		slices.Sort(names)
	}
	options := capacity.Options{
		Watchers: args.Watchers, Accounts: args.Accounts, Upstreams: args.Upstreams,
		Repeats: max(1, args.Repeats), Rest: args.Rest, Dir: args.Dir,
	}
	for _, name := range names {
		measure := measurements[name]
		if measure == nil {
			return failure.New(failure.InvalidRequest, failure.NotRun, "unknown measurement %q; there are %s", name, strings.Join(lo.Keys(measurements), ", "))
		}
		tables, err := measure(ctx, options)
		if err != nil {
			return failure.Wrap(err, failure.Internal, failure.Unknown, "%s", name)
		}
		for _, table := range tables {
			if err := table.Write(os.Stdout); err != nil {
				return err
			}
		}
	}
	return nil
}
