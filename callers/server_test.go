package callers

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/connlimit"
)

func startServer(t *testing.T, limits Limits) (*Server, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }), Log: zap.NewNop()}
	s.SetLimits(limits)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return s, listener
}

func connect(t *testing.T, listener net.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	return conn, bufio.NewReader(conn)
}

func sendRequest(t *testing.T, conn net.Conn, reader *bufio.Reader, extra string) int {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", extra)
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	return response.StatusCode
}

// Guards against limits that are not applied after a publish, and against a change of limits closing connections.
func TestChangedLimitsHoldForNewConnections(t *testing.T) {
	s, listener := startServer(t, Limits{HeaderBytes: 1 << 20})
	conn, reader := connect(t, listener)
	large := "X: " + string(make([]byte, 0)) + fmt.Sprintf("%030000d", 1) + "\r\n"
	require.Equal(t, 204, sendRequest(t, conn, reader, large))
	s.SetLimits(Limits{HeaderBytes: 8192, IdleTimeout: 100 * time.Millisecond})
	require.Equal(t, 204, sendRequest(t, conn, reader, ""))
	second, secondReader := connect(t, listener)
	require.Equal(t, 431, sendRequest(t, second, secondReader, large))
	third, thirdReader := connect(t, listener)
	require.Equal(t, 204, sendRequest(t, third, thirdReader, ""))
	_, err := thirdReader.ReadByte()
	require.Error(t, err, "an idle connection ends")
}

// Guards against a shutdown that waits for connections without a request until the process is killed.
func TestShutdownDoesNotWaitForSilentConnections(t *testing.T) {
	s, listener := startServer(t, Limits{})
	conn, reader := connect(t, listener)
	require.Equal(t, 204, sendRequest(t, conn, reader, ""))
	_, _ = connect(t, listener)
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.newConns) == 1 }, time.Second, time.Millisecond)
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	s.Shutdown(ctx)
	require.Less(t, time.Since(started), 2*time.Second)
}

// Guards against dropping a request that arrives while the server begins to stop: http.Server closes a connection without an
// answer if it has read a request once its Shutdown was called.
func TestStopAnswersARequestThatIsBeingRead(t *testing.T) {
	s, listener := startServer(t, Limits{})
	conn, reader := connect(t, listener)
	_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.newConns) == 1 }, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	stopped := make(chan struct{})
	go func() { s.Shutdown(ctx); close(stopped) }()
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.stopped }, time.Second, time.Millisecond)
	timer := time.NewTimer(newConnGrace / 10)
	defer timer.Stop()
	<-timer.C
	_, err = fmt.Fprint(conn, "\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, 204, response.StatusCode)
	<-stopped
}

// Guards against closing a connection that a caller has just opened before its first request can arrive.
func TestStopGivesNewConnectionsTimeToSend(t *testing.T) {
	s, listener := startServer(t, Limits{})
	conn, reader := connect(t, listener)
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.newConns) == 1 }, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	stopped := make(chan struct{})
	go func() { s.Shutdown(ctx); close(stopped) }()
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.stopped }, time.Second, time.Millisecond)
	timer := time.NewTimer(newConnGrace / 10)
	defer timer.Stop()
	<-timer.C
	require.Equal(t, 204, sendRequest(t, conn, reader, ""))
	<-stopped
}

// Guards against resetting connections whose requests were sent just before a planned stop, while they wait in the kernel's
// accept queue or for their goroutine.
func TestStopAnswersWhatWasAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limited := connlimit.Listen(listener, 1000, time.Second)
	const callers = 200
	var conns []net.Conn
	for range callers {
		conn, _ := connect(t, listener)
		_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		w.WriteHeader(204)
	}), Log: zap.NewNop()}
	go func() { _ = s.Serve(limited) }()
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.acceptDone != nil }, time.Second, time.Millisecond)
	require.NoError(t, s.StopAccepting(limited))
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	s.Shutdown(ctx)
	for i, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, "caller %d", i)
		require.Equal(t, 204, response.StatusCode)
	}
	_, err = net.Dial("tcp", listener.Addr().String())
	require.Error(t, err)
}
