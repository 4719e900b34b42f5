// Command wasabishunt-demo runs the whole system on loopback, injects failures and prints what callers observed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/wasabishunt/wasabishunt/internal/demo"
)

// arguments of the command line.
type arguments struct {
	Seed uint64        `arg:"--seed,env:WASABISHUNT_DEMO_SEED" default:"1" help:"seed of the load"`
	Load time.Duration `arg:"--load,env:WASABISHUNT_DEMO_LOAD" default:"20s" help:"duration of the load"`
	Dir  string        `arg:"--dir,env:WASABISHUNT_DEMO_DIR" help:"directory for logs and data; default is a new temporary one, kept if the demo fails"`
}

// totalTimeout aborts a demo that hangs.
const totalTimeout = 2 * time.Minute

func main() { os.Exit(run()) }

func run() int {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	program, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return 1
	}
	directory := args.Dir
	if directory == "" {
		if directory, err = os.MkdirTemp("", "wasabishunt-demo"); err != nil {
			fmt.Fprintln(os.Stderr, "error:", err)
			return 1
		}
	}
	err = demo.Run(ctx, demo.Options{
		Binaries: filepath.Dir(program), Directory: directory, Seed: args.Seed, Load: args.Load, Output: os.Stdout,
	})
	if err != nil {
		fmt.Fprintf(os.Stderr, "error: %v; logs in %s\n", err, directory)
		return 1
	}
	if args.Dir == "" {
		_ = os.RemoveAll(directory)
	}
	return 0
}
