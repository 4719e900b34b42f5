// Command wasabishunt-bench runs the virtual-time benchmark of the serving decisions and prints markdown tables.
package main

import (
	"bufio"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/wasabishunt/wasabishunt/bench"
)

type arguments struct {
	Seed    uint64 `arg:"--seed,env:WASABISHUNT_BENCH_SEED" default:"1" help:"seed of traces and random choices"`
	Workers int    `arg:"--workers,env:WASABISHUNT_BENCH_WORKERS" default:"4" help:"runs at the same time"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Runs all cases and policies of the virtual-time benchmark and prints markdown tables."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	started := time.Now()
	suite := bench.RunSuite(args.Seed, max(1, args.Workers))
	out := bufio.NewWriter(os.Stdout)
	if err := suite.Write(out); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "seed %d, %d runs in %v\n", args.Seed, suite.Len(), time.Since(started).Round(time.Second))
	return out.Flush()
}
