package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/daemon"
	"github.com/wasabishunt/wasabishunt/metrics"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// serve runs until ctx ends, control marks the agent as leaving, or a newer incarnation registers; then it drains. The
// watcher stops last, because it reports the drain to control.
func serve(ctx context.Context, i do.Injector, args *arguments) error {
	listener, err := net.Listen("tcp", args.Listen)
	if err != nil {
		return err
	}
	status, err := net.Listen("tcp", args.Status)
	if err != nil {
		_ = listener.Close()
		return err
	}
	log := do.MustInvoke[*zap.Logger](i)
	watcher := do.MustInvoke[*controlclient.Watcher](i)
	a := do.MustInvoke[*agent.Agent](i)
	watchCtx, stopWatcher := context.WithCancel(context.Background())
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	var group sync.WaitGroup
	defer group.Wait()
	defer stopWatcher()
	group.Go(func() { watcher.Run(watchCtx) })
	group.Go(func() { serveStatus(watchCtx, status, a, do.MustInvoke[gometrics.Registry](i), log) })
	group.Go(func() {
		defer stopServing()
		waitForStop(ctx, serveCtx, watcher, a)
		do.MustInvoke[*daemon.DrainFlag](i).Store(true)
		watcher.ReportNow()
		drain(a, args, log)
	})
	log.Info("listening", zap.Stringer("address", listener.Addr()), zap.Stringer("status", status.Addr()))
	err = a.Serve(serveCtx, listener)
	stopServing()
	_ = do.MustInvoke[*rpcpool.Pool](i).Close()
	return err
}

// waitForStop returns when the agent must stop, or when it has stopped serving.
func waitForStop(signaled, serving context.Context, watcher *controlclient.Watcher, a *agent.Agent) {
	for {
		changed := watcher.Changed()
		if watcher.Fenced() {
			return
		}
		select {
		case <-signaled.Done():
			return
		case <-serving.Done():
			return
		case <-a.DrainStarted():
			return
		case <-changed:
		}
	}
}

// drain waits for running calls. The agent refuses new calls for at least the drain notice before it closes its listener:
// meanwhile control reports the drain to the entries, which would otherwise see only broken connections.
func drain(a *agent.Agent, args *arguments, log *zap.Logger) {
	log.Info("draining")
	notice := time.NewTimer(args.DrainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), args.DrainLimit)
	defer cancel()
	defer func() { <-notice.C }()
	if err := a.Drain(ctx); err != nil {
		log.Warn("drain incomplete", zap.Error(err))
		return
	}
	log.Info("all calls finished")
}

// serveStatus serves the status address until ctx ends. A failure does not stop the agent.
func serveStatus(ctx context.Context, listener net.Listener, a *agent.Agent, registry gometrics.Registry, log *zap.Logger) {
	server := metrics.NewStatusServer(a.Ready, registry)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error("status address not served", zap.Error(err))
	}
}
