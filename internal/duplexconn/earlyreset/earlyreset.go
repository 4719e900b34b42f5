// Package earlyreset provides a server for tests that answers a request before it has read the body, and then resets the connection.
package earlyreset

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// BodyBytes is more than socket buffers hold, so that the request is still written when its answer arrives.
const BodyBytes = 32 << 20

// Serve answers each request with the given bytes and returns the address. An answer without a length looks complete to a client that reads
// io.EOF after it.
func Serve(t testing.TB, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, answer)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}
