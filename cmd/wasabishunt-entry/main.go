// Command wasabishunt-entry answers callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/entry"
	"github.com/wasabishunt/wasabishunt/logging"
	"github.com/wasabishunt/wasabishunt/routing"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/settings"
)

func main() { os.Exit(run()) }

func run() int {
	args := &arguments{}
	if ok, code := settings.Parse(args, "wasabishunt-entry", os.Args[1:], os.Stdout, os.Stderr); !ok {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	injector := wire(args)
	log := do.MustInvoke[*zap.Logger](injector)
	if err := serve(ctx, injector, args); err != nil {
		log.Error("process failed", zap.Error(err))
		return 1
	}
	return 0
}

// drainFlag is true once the process stops.
type drainFlag struct{ atomic.Bool }

// wire names how each part of the process is made.
func wire(args *arguments) do.Injector {
	i := do.New()
	do.ProvideValue(i, args)
	do.ProvideValue(i, &drainFlag{})
	do.ProvideValue(i, logging.New("entry", args.ProcessID, args.LogLevel))
	do.Provide(i, func(do.Injector) (gometrics.Registry, error) { return gometrics.NewRegistry(), nil })
	do.Provide(i, func(i do.Injector) (*controlclient.Watcher, error) {
		return controlclient.NewWatcher(controlclient.WatcherOptions{
			Addresses: args.Control, ProcessID: args.ProcessID, Role: "entry", Address: args.Advertise, Zone: args.Zone,
			SourceIP: args.SourceIP, StaleSetLimit: args.StaleSetLimit,
			Draining: do.MustInvoke[*drainFlag](i).Load, Log: do.MustInvoke[*zap.Logger](i),
		}), nil
	})
	do.Provide(i, func(do.Injector) (*controlclient.Client, error) {
		return controlclient.NewClient(controlclient.ClientOptions{Addresses: args.Control, SourceIP: args.SourceIP}), nil
	})
	do.Provide(i, func(do.Injector) (*rpcpool.Pool, error) {
		return rpcpool.New(rpcpool.Options{LocalIP: args.SourceIP}), nil
	})
	do.Provide(i, func(i do.Injector) (*entry.Server, error) {
		return entry.New(args.options(), entry.Dependencies{
			Source:   do.MustInvoke[*controlclient.Watcher](i),
			Bookings: do.MustInvoke[*controlclient.Client](i),
			Router:   entry.NewTableRouter(routing.Defaults(), args.Zone, clock.System{}),
			Agents:   do.MustInvoke[*rpcpool.Pool](i),
			PieceKey: args.pieceKey,
			Registry: do.MustInvoke[gometrics.Registry](i),
			Log:      do.MustInvoke[*zap.Logger](i),
		}), nil
	})
	return i
}
