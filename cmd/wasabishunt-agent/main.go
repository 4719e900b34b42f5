// Command wasabishunt-agent runs beside one upstream.
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

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/logging"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/settings"
	"github.com/wasabishunt/wasabishunt/store"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
	"github.com/wasabishunt/wasabishunt/upstream/service"
)

func main() { os.Exit(run()) }

func run() int {
	args := &arguments{}
	if ok, code := settings.Parse(args, "wasabishunt-agent", os.Args[1:], os.Stdout, os.Stderr); !ok {
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
	do.ProvideValue(i, &drainFlag{})
	do.ProvideValue(i, logging.New("agent", args.ProcessID, args.LogLevel))
	do.Provide(i, func(do.Injector) (gometrics.Registry, error) { return gometrics.NewRegistry(), nil })
	do.Provide(i, func(i do.Injector) (*controlclient.Watcher, error) {
		return controlclient.NewWatcher(controlclient.WatcherOptions{
			Addresses: args.Control, ProcessID: args.ProcessID, Role: "agent", Address: args.Advertise, Zone: args.Zone,
			Serves: args.serves(), SourceIP: args.SourceIP, StaleSetLimit: args.StaleSetLimit,
			Draining: do.MustInvoke[*drainFlag](i).Load, Log: do.MustInvoke[*zap.Logger](i),
		}), nil
	})
	do.Provide(i, func(do.Injector) (*controlclient.Client, error) {
		return controlclient.NewClient(controlclient.ClientOptions{Addresses: args.Control, SourceIP: args.SourceIP}), nil
	})
	do.Provide(i, func(do.Injector) (*rpcpool.Pool, error) {
		return rpcpool.New(rpcpool.Options{LocalIP: args.SourceIP}), nil
	})
	do.Provide(i, func(i do.Injector) (*agent.Agent, error) {
		deps := agent.Dependencies{
			Source:   do.MustInvoke[*controlclient.Watcher](i),
			Control:  do.MustInvoke[*controlclient.Client](i),
			PieceKey: args.pieceKey,
			Registry: do.MustInvoke[gometrics.Registry](i),
			Log:      do.MustInvoke[*zap.Logger](i),
		}
		if args.Upstream != "" {
			deps.Engine = engine.NewHTTP(args.Engine, engine.HTTPOptions{})
			deps.Stores = store.NewClient(do.MustInvoke[*rpcpool.Pool](i), store.ClientOptions{})
		} else {
			deps.Service = service.New(args.ServiceAddress, service.Options{})
		}
		return agent.New(args.options(), deps), nil
	})
	return i
}
