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

// parts are the running parts of the process.
type parts struct {
	args     *arguments
	log      *zap.Logger
	kept     *store.Store
	link     *store.Link
	server   *store.Server
	watcher  *controlclient.Watcher
	follower *store.Follower
	refiller *store.Refiller
	listener *store.Listener
	status   *http.Server
}

// serve runs until ctx ends and the running transfers have finished.
func serve(ctx context.Context, i do.Injector, _ *arguments) error {
	p, statusListener, err := start(ctx, i)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	refilling, stopRefill := context.WithCancel(background)
	failed := make(chan error, 3)
	var tasks sync.WaitGroup
	tasks.Go(func() { p.watch(background, failed) })
	tasks.Go(func() { p.follower.Run(background, p.watcher, p.kept, p.link) })
	tasks.Go(func() { p.refiller.Run(refilling, p.follower.Peers, p.follower.Kick()) })
	tasks.Go(func() { report(failed, p.listener.Serve()) })
	tasks.Go(func() { report(failed, p.status.Serve(statusListener)) })
	p.log.Info("listening", zap.String("address", p.listener.Address()), zap.Stringer("status", statusListener.Addr()))
	select {
	case err = <-failed:
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
func start(ctx context.Context, i do.Injector) (*parts, net.Listener, error) {
	args := do.MustInvoke[*arguments](i)
	kept, err := do.Invoke[*store.Store](i)
	if err != nil {
		return nil, nil, err
	}
	p := &parts{
		args: args, log: do.MustInvoke[*zap.Logger](i), kept: kept, link: do.MustInvoke[*store.Link](i),
		server: do.MustInvoke[*store.Server](i), watcher: do.MustInvoke[*controlclient.Watcher](i),
		follower: do.MustInvoke[*store.Follower](i), refiller: do.MustInvoke[*store.Refiller](i),
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

// watch reports to control until ctx ends. A newer incarnation of the process ends this one.
func (p *parts) watch(ctx context.Context, failed chan<- error) {
	p.watcher.Run(ctx)
	if p.watcher.Fenced() {
		report(failed, failure.New(failure.Fenced, failure.NotRun, "a newer incarnation of this process has registered"))
	}
}

func report(failed chan<- error, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	failed <- err
}

// drain tells control that the store leaves, serves reads until agents know, and waits for running transfers.
func (p *parts) drain() {
	p.log.Info("draining")
	p.kept.SetDraining()
	p.watcher.Kick()
	notice := time.NewTimer(p.args.DrainNotice)
	defer notice.Stop()
	<-notice.C
	ctx, cancel := context.WithTimeout(context.Background(), p.args.DrainLimit)
	defer cancel()
	if err := p.server.Drain(ctx); err != nil {
		p.log.Warn("drain incomplete", zap.Error(err))
	}
}

// ready is the answer of /readyz.
func (p *parts) ready() error {
	if err := p.kept.Ready(); err != nil {
		return err
	}
	if !p.watcher.Current().Fresh(time.Now()) {
		return failure.New(failure.StaleSet, failure.NotRun, "control has not confirmed the object set")
	}
	return nil
}
