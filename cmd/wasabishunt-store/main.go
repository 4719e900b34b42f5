// Command wasabishunt-store keeps pieces of KV cache in memory and on disk.
package main

import (
	"os"
	"path/filepath"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/daemon"
	"github.com/wasabishunt/wasabishunt/logging"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/store"
)

// piecesDir is the subdirectory of the data directory with the piece files.
const piecesDir = "pieces"

// listTimeout limits one page of a peer's list, which the peer must sort before it can answer.
const listTimeout = 10 * time.Second

func main() {
	os.Exit(daemon.Main("wasabishunt-store", &arguments{}, wire, serve))
}

// wire registers the constructors of the process's components.
func wire(args *arguments) do.Injector {
	i := do.New()
	do.ProvideValue(i, args)
	do.ProvideValue(i, logging.New("store", args.ProcessID, args.LogLevel))
	do.ProvideValue(i, store.NewSetApplier(args.Store))
	do.Provide(i, func(do.Injector) (gometrics.Registry, error) { return gometrics.NewRegistry(), nil })
	do.Provide(i, func(i do.Injector) (*rpcpool.Pool, error) {
		return rpcpool.New(rpcpool.Options{LocalIP: do.MustInvoke[*arguments](i).SourceIP}), nil
	})
	do.Provide(i, openStore)
	do.Provide(i, func(i do.Injector) (*store.Link, error) {
		return store.NewLink(0, do.MustInvoke[*store.SetApplier](i).Order), nil
	})
	do.Provide(i, func(i do.Injector) (*store.Server, error) {
		pieceStore, err := do.Invoke[*store.Store](i)
		return store.NewServer(pieceStore, do.MustInvoke[*store.Link](i), args.serverOptions()), err
	})
	do.Provide(i, newRefiller)
	do.Provide(i, newWatcher)
	return i
}

func openStore(i do.Injector) (*store.Store, error) {
	args := do.MustInvoke[*arguments](i)
	fs, err := store.NewDirFS(filepath.Join(args.DataDir, piecesDir))
	if err != nil {
		return nil, err
	}
	return store.New(fs, store.Settings{
		Name: args.Store, MemoryBytes: args.MemoryBytes, DiskBytes: args.DiskBytes, MaxPieceBytes: args.MaxPieceBytes,
		Log: do.MustInvoke[*zap.Logger](i), Metrics: do.MustInvoke[gometrics.Registry](i),
	})
}

func newRefiller(i do.Injector) (*store.Refiller, error) {
	args := do.MustInvoke[*arguments](i)
	client := store.NewClient(do.MustInvoke[*rpcpool.Pool](i), store.ClientOptions{
		CallTimeout: listTimeout, TransferTimeout: args.TransferTimeout, MaxPieceBytes: args.MaxPieceBytes,
	})
	pieceStore, err := do.Invoke[*store.Store](i)
	return store.NewRefiller(pieceStore, do.MustInvoke[*store.Link](i), client, store.RefillOptions{
		Self: args.Store, Interval: args.RefillInterval, MaxFill: args.RefillMaxFill, Log: do.MustInvoke[*zap.Logger](i),
	}), err
}

func newWatcher(i do.Injector) (*controlclient.Watcher, error) {
	args := do.MustInvoke[*arguments](i)
	pieceStore, err := do.Invoke[*store.Store](i)
	if err != nil {
		return nil, err
	}
	return controlclient.NewWatcher(controlclient.WatcherOptions{
		Addresses: args.Control, ProcessID: args.ProcessID, Role: store.Role, Address: args.Advertise, Zone: args.Zone,
		Serves: args.Store, SourceIP: args.SourceIP, Draining: pieceStore.Draining, Log: do.MustInvoke[*zap.Logger](i),
	}), nil
}
