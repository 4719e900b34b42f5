// Command wasabishunt-agent runs the agent of one upstream.
package main

import (
	"os"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/daemon"
	"github.com/wasabishunt/wasabishunt/logging"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/store"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
	"github.com/wasabishunt/wasabishunt/upstream/service"
)

func main() {
	os.Exit(daemon.Main("wasabishunt-agent", &arguments{}, wire, serve))
}

// wire registers the constructors of the process's components.
func wire(args *arguments) do.Injector {
	i := do.New()
	do.ProvideValue(i, &daemon.DrainFlag{})
	do.ProvideValue(i, logging.New("agent", args.ProcessID, args.LogLevel))
	do.Provide(i, func(do.Injector) (gometrics.Registry, error) { return gometrics.NewRegistry(), nil })
	do.Provide(i, func(i do.Injector) (*controlclient.Watcher, error) {
		return controlclient.NewWatcher(controlclient.WatcherOptions{
			Addresses: args.Control, ProcessID: args.ProcessID, Role: "agent", Address: args.Advertise, Zone: args.Zone,
			Serves: args.serves(), SourceIP: args.SourceIP, StaleSetLimit: args.StaleSetLimit,
			Draining: do.MustInvoke[*daemon.DrainFlag](i).Load, Log: do.MustInvoke[*zap.Logger](i),
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
