package control

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/wasabishunt/wasabishunt/objectset"
)

const (
	// writeTimeout limits each write to a connection, so that a peer which stops reading is disconnected.
	writeTimeout = 10 * time.Second
	// inactivityTimeout closes a connection without calls. Clients keep idle connections for 1 min.
	inactivityTimeout = 2 * time.Minute
)

// maxMessageBytes is the largest published document plus 1 MiB for the other fields of its message.
const maxMessageBytes = objectset.MaxDocumentBytes + 1<<20

// Serve accepts drpc connections until the context ends. It returns after all connections have ended.
func Serve(ctx context.Context, handler drpc.Handler, listener net.Listener) error {
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{
		Manager: drpcmanager.Options{
			InactivityTimeout: inactivityTimeout,
			Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		},
	})
	return server.Serve(ctx, &boundedListener{Listener: listener, open: make(chan struct{}, maxConnections)})
}

// maxConnections is more than three times the 6,000 connections that a member of a group of five gets as its share of
// 3,000 processes with ten connections each.
const maxConnections = 20_000

// boundedListener limits the open connections and sets a write deadline on each, so that a half-open connection cannot
// occupy a watcher slot. Connections beyond the limit are closed at once; their clients try another member.
type boundedListener struct {
	net.Listener
	open chan struct{}
}

// Accept returns the next connection and closes those beyond the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &boundedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.open })}, nil
		default:
			_ = conn.Close()
		}
	}
}

type boundedConn struct {
	net.Conn
	release func()
}

// Write sends data within writeTimeout.
func (c *boundedConn) Write(data []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Close closes the connection and releases its slot.
func (c *boundedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
