package store

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/storepb"
)

// ListenOptions limits a Listener.
type ListenOptions struct {
	// MaxConns limits the open connections; further ones wait to be accepted. Default 1,024.
	MaxConns int
	// IdleTimeout limits the wait for data from the peer; the connection is closed after it. Default 2 min.
	IdleTimeout time.Duration
	// WriteTimeout limits each write; the connection is closed after it. Default 10 s.
	WriteTimeout time.Duration
}

func (o ListenOptions) withDefaults() ListenOptions {
	defaults.Set(&o.MaxConns, 1024)
	defaults.Set(&o.IdleTimeout, 2*time.Minute)
	defaults.Set(&o.WriteTimeout, 10*time.Second)
	return o
}

// maxMessageBytes limits one message; the largest is a page of ListPieces.
const maxMessageBytes = 8 << 20

// Listener serves the Store calls on a TCP port.
type Listener struct {
	listener net.Listener
	server   *drpcserver.Server
	options  ListenOptions
	slots    chan struct{}
	tasks    sync.WaitGroup
	// ctx is the context of all calls; stop ends it.
	ctx  context.Context
	stop context.CancelFunc

	mu sync.Mutex
	// conns are the open connections; nil after Close.
	conns map[net.Conn]struct{}
}

// Listen binds the port. Serve must be called to accept connections.
func Listen(ctx context.Context, address string, service *Server, options ListenOptions) (*Listener, error) {
	options = options.withDefaults()
	listener, err := (&net.ListenConfig{KeepAlive: 5 * time.Second}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "listen on %s", address)
	}
	mux := drpcmux.New()
	if err := storepb.DRPCRegisterStore(mux, service); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "register service")
	}
	calls, stop := context.WithCancel(context.WithoutCancel(ctx))
	manager := drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
	return &Listener{
		listener: listener, server: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: manager}),
		options: options, slots: make(chan struct{}, options.MaxConns), conns: map[net.Conn]struct{}{},
		ctx: calls, stop: stop,
	}, nil
}

// Address returns the bound address.
func (l *Listener) Address() string { return l.listener.Addr().String() }

const (
	// acceptPause is the wait after a failed accept, for example for lack of file descriptors.
	acceptPause = 100 * time.Millisecond
	// maxAcceptFailures is the number of consecutive failures after which Serve returns.
	maxAcceptFailures = 50
)

// Serve accepts connections until Close.
func (l *Listener) Serve() error {
	for failures := 0; ; {
		l.slots <- struct{}{}
		conn, err := l.listener.Accept()
		if err != nil {
			<-l.slots
			if failures++; failures == maxAcceptFailures {
				return failure.Wrap(err, failure.Internal, failure.Unknown, "accept connection")
			}
			if !l.waitAfterFailure() {
				return nil
			}
			continue
		}
		failures = 0
		if !l.add(conn) {
			<-l.slots
			continue
		}
		l.tasks.Go(func() { l.serveConn(conn) })
	}
}

func (l *Listener) serveConn(conn net.Conn) {
	defer func() {
		l.remove(conn)
		<-l.slots
	}()
	_ = l.server.ServeOne(l.ctx, &timedConn{Conn: conn, idle: l.options.IdleTimeout, write: l.options.WriteTimeout})
}

func (l *Listener) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		_ = conn.Close()
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Listener) remove(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// waitAfterFailure waits before the next accept. It returns false after Close.
func (l *Listener) waitAfterFailure() bool {
	timer := time.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// Close closes the listener and all connections, ends their calls and waits for them.
func (l *Listener) Close() {
	l.mu.Lock()
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	_ = l.listener.Close()
	// A call that is blocked between two messages is not ended by closing its connection.
	l.stop()
	for conn := range conns {
		_ = conn.Close()
	}
	l.tasks.Wait()
}

// timedConn sets a new deadline for each read and write, so that half-open connections end.
type timedConn struct {
	net.Conn
	idle, write time.Duration
}

func (c *timedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
