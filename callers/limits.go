package callers

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Limits bounds the size of heads and how slowly callers may send them. A limit that is not positive has a default.
type Limits struct {
	HeaderBytes                int64
	HeaderTimeout, IdleTimeout time.Duration
}

// headLimits are the limits on the heads of requests.
type headLimits struct {
	bytes   int64
	timeout time.Duration
}

// limitedServer is an http.Server with fixed limits. It is the listener of its server and gets the connections from Server.
type limitedServer struct {
	server *http.Server
	limits headLimits
	// open are its connections, guarded by Server.mu.
	open   map[*callerConn]struct{}
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	addr   net.Addr
}

// Defaults of Limits.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// headerSlack is what net/http adds to its limit of header bytes.
	headerSlack = 4096
	// connBacklog is the number of accepted connections that may wait for http.Server to accept them.
	connBacklog = 64
)

// Accept implements net.Listener.
func (g *limitedServer) Accept() (net.Conn, error) {
	select {
	case conn := <-g.conns:
		return conn, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *limitedServer) Close() error {
	g.once.Do(func() { close(g.closed) })
	return nil
}

// Addr implements net.Listener.
func (g *limitedServer) Addr() net.Addr { return g.addr }

// SetLimits applies limits to new connections, and the idle limit to open ones too.
func (s *Server) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleLimit.Store(int64(limits.IdleTimeout))
	s.limits = limits
	if s.current == nil || s.stopped {
		return
	}
	former := s.current
	s.start(former.addr)
	s.retire(former)
}

// idleTimeout returns the idle limit in force.
func (s *Server) idleTimeout() time.Duration {
	if limit := time.Duration(s.idleLimit.Load()); limit > 0 {
		return limit
	}
	return defaultIdleTimeout
}

// retire ends a former server without connections. The caller holds s.mu.
func (s *Server) retire(g *limitedServer) {
	if g == s.current || len(g.open) > 0 || s.stopped {
		return
	}
	_ = g.Close()
	delete(s.servers, g.limits)
}

// release records that a connection has ended.
func (s *Server) release(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(c.limited.open, c)
	s.retire(c.limited)
}

// start makes the server with the current limits the current one. The caller holds s.mu.
func (s *Server) start(addr net.Addr) {
	limits := headLimits{bytes: s.limits.HeaderBytes, timeout: s.limits.HeaderTimeout}
	if limits.bytes <= 0 {
		limits.bytes = defaultHeaderBytes
	}
	if limits.timeout <= 0 {
		limits.timeout = defaultHeaderTimeout
	}
	if running := s.servers[limits]; running != nil {
		s.current = running
		return
	}
	g := &limitedServer{conns: make(chan net.Conn, connBacklog), closed: make(chan struct{}), open: map[*callerConn]struct{}{}, addr: addr, limits: limits}
	g.server = &http.Server{
		// callerConn enforces the idle limit.
		Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: limits.timeout, IdleTimeout: -1,
		MaxHeaderBytes: max(1, int(limits.bytes)-headerSlack), ErrorLog: log.New(debugLog{s.Log}, "", 0),
		ConnState: s.trackState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, callerConnKey{}, conn)
		},
	}
	s.current = g
	if s.servers == nil {
		s.servers = map[headLimits]*limitedServer{}
	}
	s.servers[limits] = g
	go func() {
		if err := g.server.Serve(g); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.Log.Error("serving callers failed", zap.Error(err))
		}
	}()
}
