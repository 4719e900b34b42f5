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

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/metrics"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/store"
)

// process holds the components of the running store.
type process struct {
	args       *arguments
	log        *zap.Logger
	pieceStore *store.Store
	link       *store.Link
	server     *store.Server
	watcher    *controlclient.Watcher
	applier    *store.SetApplier
	refiller   *store.Refiller
	listener   *store.Listener
	status     *http.Server
}

// serve runs until ctx ends and the running transfers have finished.
func serve(ctx context.Context, i do.Injector, _ *arguments) error {
	p, statusListener, err := start(ctx, i)
	if err != nil {
		return err
	}
	backgroundCtx, stop := context.WithCancel(context.Background())
	refillCtx, stopRefill := context.WithCancel(backgroundCtx)
	errs := make(chan error, 3)
	var tasks sync.WaitGroup
	tasks.Go(func() { p.watch(backgroundCtx, errs) })
	tasks.Go(func() { p.applier.Run(backgroundCtx, p.watcher, p.pieceStore, p.link) })
	tasks.Go(func() { p.refiller.Run(refillCtx, p.applier.Peers, p.applier.PeersChanged()) })
	tasks.Go(func() { sendError(errs, p.listener.Serve()) })
	tasks.Go(func() { sendError(errs, p.status.Serve(statusListener)) })
	p.log.Info("listening", zap.String("address", p.listener.Address()), zap.Stringer("status", statusListener.Addr()))
	select {
	case err = <-errs:
	case <-ctx.Done():
		stopRefill()
		p.drain()
	}
	stopRefill()
	p.listener.Close()
	_ = p.status.Close()
	stop()
	p.link.Close()
	tasks.Wait()
	_ = do.MustInvoke[*rpcpool.Pool](i).Close()
	return err
}

// start opens the store and binds both ports.
func start(ctx context.Context, i do.Injector) (*process, net.Listener, error) {
	args := do.MustInvoke[*arguments](i)
	pieceStore, err := do.Invoke[*store.Store](i)
	if err != nil {
		return nil, nil, err
	}
	p := &process{
		args: args, log: do.MustInvoke[*zap.Logger](i), pieceStore: pieceStore, link: do.MustInvoke[*store.Link](i),
		server: do.MustInvoke[*store.Server](i), watcher: do.MustInvoke[*controlclient.Watcher](i),
		applier: do.MustInvoke[*store.SetApplier](i), refiller: do.MustInvoke[*store.Refiller](i),
	}
	status, err := (&net.ListenConfig{}).Listen(ctx, "tcp", args.Status)
	if err != nil {
		return nil, nil, err
	}
	p.listener, err = store.Listen(ctx, args.Listen, p.server, store.ListenOptions{MaxConns: args.MaxConnections})
	if err != nil {
		_ = status.Close()
		return nil, nil, err
	}
	p.status = metrics.NewStatusServer(p.ready, do.MustInvoke[gometrics.Registry](i))
	return p, status, nil
}

// watch follows control until ctx ends. It fails if a newer incarnation of the process has registered.
func (p *process) watch(ctx context.Context, errs chan<- error) {
	p.watcher.Run(ctx)
	if p.watcher.Fenced() {
		sendError(errs, failure.New(failure.Fenced, failure.NotRun, "a newer incarnation of this process has registered"))
	}
}

func sendError(errs chan<- error, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	errs <- err
}

// drain reports to control that the store is leaving, keeps serving reads for the drain notice so that agents can stop using
// it, and waits for running transfers.
func (p *process) drain() {
	p.log.Info("draining")
	p.pieceStore.SetDraining()
	p.watcher.ReportNow()
	notice := time.NewTimer(p.args.DrainNotice)
	defer notice.Stop()
	<-notice.C
	ctx, cancel := context.WithTimeout(context.Background(), p.args.DrainLimit)
	defer cancel()
	if err := p.server.Drain(ctx); err != nil {
		p.log.Warn("drain incomplete", zap.Error(err))
	}
}

// ready returns nil, or the failure that /readyz reports.
func (p *process) ready() error {
	if err := p.pieceStore.Ready(); err != nil {
		return err
	}
	if !p.watcher.Current().Fresh(time.Now()) {
		return failure.New(failure.StaleSet, failure.NotRun, "control has not confirmed the object set")
	}
	return nil
}
