package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
)

const (
	// headerTimeout limits the time to receive a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle keep-alive connection stays open.
	idleTimeout = time.Minute
	// drainTimeout is how long running requests may take after a signal.
	drainTimeout = 3 * time.Second
)

// serve answers requests until ctx ends, and then closes the stand-in.
func serve(ctx context.Context, address string, handler http.Handler, closeSimulator func(), log *zap.Logger) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		closeSimulator()
		return failure.Wrap(err, failure.Internal, failure.NotRun, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	log.Info("listening", zap.Stringer("address", listener.Addr()))
	select {
	case err = <-served:
		closeSimulator()
		return failure.Wrap(err, failure.Internal, failure.Unknown, "serve")
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := server.Shutdown(drain); err != nil {
		_ = server.Close()
	}
	closeSimulator()
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return failure.Wrap(err, failure.Internal, failure.Unknown, "serve")
	}
	return nil
}
