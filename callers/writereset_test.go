package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against a caller that resets its connection within an answer and counts as cut off by this node: the write takes the error of the
// socket, and the read that would show that the caller left finds only the end of the input. Also against a handler that does not learn of it.
func TestResetMetByAWriteIsTheCallers(t *testing.T) {
	const callers = 20
	failed := make(chan error, callers)
	registry := gometrics.NewRegistry()
	server := &Server{Log: zap.NewNop(), Metrics: registry, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		block := make([]byte, 64<<10)
		for {
			if _, err := w.Write(block); err != nil {
				select {
				case <-r.Context().Done():
				case <-time.After(time.Second):
					err = fmt.Errorf("the context goes on after %w", err)
				}
				failed <- err
				panic(http.ErrAbortHandler)
			}
		}
	})}
	server.SetLimits(Limits{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	for range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).SetLinger(0))
		require.NoError(t, conn.Close())
		require.NotContains(t, (<-failed).Error(), "the context goes on")
	}
	count := func(name string) int64 { return gometrics.GetOrRegisterCounter("gateway."+name, registry).Count() }
	require.Eventually(t, func() bool { return count("closed_by_caller")+count("closed_aborted") == callers }, time.Second, time.Millisecond)
	require.EqualValues(t, callers, count("closed_by_caller"))
}
