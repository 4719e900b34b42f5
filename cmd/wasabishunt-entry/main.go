// Command wasabishunt-entry serves the HTTP API to callers.
package main

import (
	"os"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/daemon"
	"github.com/wasabishunt/wasabishunt/entry"
	"github.com/wasabishunt/wasabishunt/logging"
	"github.com/wasabishunt/wasabishunt/routing"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

func main() {
	os.Exit(daemon.Main("wasabishunt-entry", &arguments{}, wire, serve))
}

// wire registers the constructors of the process's components.
func wire(args *arguments) do.Injector {
	i := do.New()
	do.ProvideValue(i, args)
	do.ProvideValue(i, &daemon.DrainFlag{})
	do.ProvideValue(i, logging.New("entry", args.ProcessID, args.LogLevel))
	do.Provide(i, func(do.Injector) (gometrics.Registry, error) { return gometrics.NewRegistry(), nil })
	do.Provide(i, func(i do.Injector) (*controlclient.Watcher, error) {
		return controlclient.NewWatcher(controlclient.WatcherOptions{
			Addresses: args.Control, ProcessID: args.ProcessID, Role: "entry", Address: args.Advertise, Zone: args.Zone,
			SourceIP: args.SourceIP, StaleSetLimit: args.StaleSetLimit,
			Draining: do.MustInvoke[*daemon.DrainFlag](i).Load, Log: do.MustInvoke[*zap.Logger](i),
		}), nil
	})
	do.Provide(i, func(do.Injector) (*controlclient.Client, error) {
		return controlclient.NewClient(controlclient.ClientOptions{Addresses: args.Control, SourceIP: args.SourceIP}), nil
	})
	do.Provide(i, func(do.Injector) (*rpcpool.Pool, error) {
		return entry.NewPool(args.SourceIP), nil
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
