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
	// writeTimeout closes a connection whose peer reads nothing for so long.
	writeTimeout = 10 * time.Second
	// inactivityTimeout closes a connection without a call for so long; clients keep idle ones for 1 min.
	inactivityTimeout = 2 * time.Minute
)

// maxMessageBytes admits a published document of the largest size.
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

// maxConnections is several times the need of a fifth of 3,000 processes with ten connections each.
const maxConnections = 20_000

// boundedListener limits the open connections and gives each a write deadline, so that a half-open one cannot hold
// a watcher's place. Connections beyond the limit are closed at once: their callers try another member.
type boundedListener struct {
	net.Listener
	open chan struct{}
}

// Accept returns the next connection within the limit.
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

// Write sends data before the write deadline.
func (c *boundedConn) Write(data []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Close gives the connection's place back.
func (c *boundedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
