package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/daemon"
	"github.com/wasabishunt/wasabishunt/entry"
	"github.com/wasabishunt/wasabishunt/metrics"
	"github.com/wasabishunt/wasabishunt/operators"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// serve runs until ctx ends and all requests have finished. The watcher stops last, because running requests need it.
func serve(ctx context.Context, i do.Injector, args *arguments) error {
	listener, err := net.Listen("tcp", args.Listen)
	if err != nil {
		return err
	}
	statusListener, err := net.Listen("tcp", args.Status)
	if err != nil {
		_ = listener.Close()
		return err
	}
	log := do.MustInvoke[*zap.Logger](i)
	watcher := do.MustInvoke[*controlclient.Watcher](i)
	server := do.MustInvoke[*entry.Server](i)
	watchCtx, stopWatcher := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { watcher.Run(watchCtx) })
	group.Go(func() {
		select {
		case <-ctx.Done():
			do.MustInvoke[*daemon.DrainFlag](i).Store(true)
			watcher.ReportNow()
		case <-watchCtx.Done():
		}
	})
	if args.OperatorsFile != "" {
		group.Go(func() { operators.NewFile(args.OperatorsFile, &args.operators, log).Follow(watchCtx) })
	}
	status := metrics.NewStatusServer(server.Ready, do.MustInvoke[gometrics.Registry](i))
	group.Go(func() { serveStatus(status, statusListener, log) })
	log.Info("listening", zap.Stringer("address", listener.Addr()), zap.Stringer("status", statusListener.Addr()))
	err = server.Serve(ctx, listener)
	stopWatcher()
	_ = status.Close()
	group.Wait()
	_ = do.MustInvoke[*rpcpool.Pool](i).Close()
	_ = do.MustInvoke[*controlclient.Client](i).Close()
	return err
}

// serveStatus serves the status address until its server is closed. A failure does not stop the entry.
func serveStatus(server *http.Server, listener net.Listener, log *zap.Logger) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error("status address not served", zap.Error(err))
	}
}
