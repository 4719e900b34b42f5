package node

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/connlimit"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/metrics"
	"github.com/wasabishunt/wasabishunt/supervise"
)

type listeners struct {
	front, ready, internal net.Listener
	loads                  *net.UDPConn
}

// listen opens all ports before anything else is started.
func (n *Node) listen() (*listeners, error) {
	l := &listeners{}
	for _, port := range []struct {
		target  *net.Listener
		address string
	}{{&l.front, n.config.Front}, {&l.ready, n.config.Ready}, {&l.internal, cmp.Or(n.config.InternalListen, n.config.Internal)}} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "listen on %s", port.address)
		}
		*port.target = listener
	}
	address, err := net.ResolveUDPAddr("udp4", n.config.LoadReports)
	if err == nil {
		l.loads, err = net.ListenUDP("udp4", address)
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "listen on %s", n.config.LoadReports)
	}
	limit := int(callerShare * float64(max(reservedDescriptors, n.config.MaxDescriptors-reservedDescriptors)))
	l.front = connlimit.ListenNotify(l.front, limit, callerWriteTimeout, n.server.RecordRefused)
	return l, nil
}

func (n *Node) serveInternal(ctx context.Context, mux *drpcmux.Mux, listener net.Listener) {
	if err := drpcserver.New(supervise.Handler{Handler: mux, Log: n.log}).Serve(ctx, listener); err != nil && ctx.Err() == nil {
		n.log.Error("serving other nodes failed", zap.Error(err))
	}
}

func (n *Node) serveOperators(ctx context.Context) {
	server, listener := n.parts.Operators(n.group, n.SetEvacuation)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error("serving operators failed", zap.Error(err))
	}
}

// statusTimeout bounds reading and writing of a request to the status port.
const statusTimeout = 3 * time.Second

func (n *Node) serveStatus(ctx context.Context, listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := n.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle("GET /metrics", metrics.Handler(n.metrics))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: statusTimeout, ReadTimeout: statusTimeout, WriteTimeout: statusTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error("serving the status port failed", zap.Error(err))
	}
}
