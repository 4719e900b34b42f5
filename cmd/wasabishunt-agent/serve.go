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
	"github.com/wasabishunt/wasabishunt/metrics"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// serve runs until a signal comes, control says that the agent leaves, or a newer incarnation has registered.
// Then it drains. The watcher runs longest, so that control hears of the drain.
func serve(ctx context.Context, i do.Injector, args *arguments) error {
	listener, err := net.Listen("tcp", args.Listen)
	if err != nil {
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
	if args.Metrics != "" {
		group.Go(func() { serveMetrics(watchCtx, args.Metrics, do.MustInvoke[gometrics.Registry](i), log) })
	}
	group.Go(func() {
		defer stopServing()
		waitForStop(ctx, serveCtx, watcher, a)
		do.MustInvoke[*drainFlag](i).Store(true)
		watcher.Kick()
		drain(a, args.DrainLimit, log)
	})
	log.Info("listening", zap.String("address", listener.Addr().String()))
	err = a.Serve(serveCtx, listener)
	stopServing()
	_ = do.MustInvoke[*rpcpool.Pool](i).Close()
	return err
}

// waitForStop returns when the agent must stop, or when it stopped serving.
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

func drain(a *agent.Agent, limit time.Duration, log *zap.Logger) {
	log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := a.Drain(ctx); err != nil {
		log.Warn("drain ended early", zap.Error(err))
		return
	}
	log.Info("all calls finished")
}

func serveMetrics(ctx context.Context, address string, registry gometrics.Registry, log *zap.Logger) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler(registry))
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		log.Error("metrics page not served", zap.Error(err))
	}
}
