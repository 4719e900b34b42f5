package control

import (
	"context"
	"net"
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
	return server.Serve(ctx, deadlineListener{listener})
}

// deadlineListener gives every accepted connection a write deadline, so that a half-open one cannot hold a
// watcher's place.
type deadlineListener struct{ net.Listener }

func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return deadlineConn{conn}, nil
}

type deadlineConn struct{ net.Conn }

func (c deadlineConn) Write(data []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
