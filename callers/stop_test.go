package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against closing kept connections at a stop without answering requests that had arrived: http.Server.Shutdown closes
// connections that it still takes for idle, and drops requests that it has read meanwhile.
func TestStopAnswersWhatArrivedOnKeptConnections(t *testing.T) {
	const callers, rounds = 200, 5
	lost := 0
	for range rounds {
		s, listener := startServer(t, Limits{})
		conns := make([]net.Conn, callers)
		readers := make([]*bufio.Reader, callers)
		for i := range callers {
			conns[i], readers[i] = connect(t, listener)
			require.Equal(t, 204, sendRequest(t, conns[i], readers[i], ""))
		}
		awaitIdle(t, s, callers)
		for _, conn := range conns {
			_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		s.Shutdown(ctx)
		require.NoError(t, ctx.Err(), "a stop ends with its last request")
		cancel()
		for i := range conns {
			if response, err := http.ReadResponse(readers[i], nil); err != nil || response.StatusCode != 204 {
				lost++
			}
		}
	}
	require.Zero(t, lost, "requests without an answer, of %d", rounds*callers)
}

// Guards against a stop that waits for a head which is never completed on a kept connection.
func TestStopDoesNotWaitForPartialHeads(t *testing.T) {
	for _, begin := range []string{"G", "GET", "GET / HTTP/1.1\r\n"} {
		s, listener := startServer(t, Limits{})
		conn, reader := connect(t, listener)
		require.Equal(t, 204, sendRequest(t, conn, reader, ""))
		awaitIdle(t, s, 1)
		_, err := fmt.Fprint(conn, begin)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return s.openConns()[0].unread() == 0 }, 5*time.Second, time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		started := time.Now()
		s.Shutdown(ctx)
		cancel()
		require.Less(t, time.Since(started), 2*time.Second, "after %q", begin)
	}
}

// Guards against closing a connection at a stop although the rest of its head has arrived: the head of a caller was in two parts,
// and this process got no processor until the time for heads was over.
func TestStopSparesHeadsThatHaveArrived(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	caller, _ := connect(t, listener)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	limited := &limitedServer{server: &http.Server{}, closed: make(chan struct{}), open: map[*callerConn]struct{}{}}
	s := &Server{Log: zap.NewNop(), servers: map[headLimits]*limitedServer{{}: limited}}
	conn := newCallerConn(accepted, s, limited)
	defer conn.Close()
	limited.open[conn], s.newConns = struct{}{}, map[net.Conn]struct{}{conn: {}}
	const first, rest = "GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"
	_, err = fmt.Fprint(caller, first)
	require.NoError(t, err)
	buffer := make([]byte, 64)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, first, string(buffer[:n]))
	_, err = fmt.Fprint(caller, rest)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return conn.unread() == len(rest) }, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 2*newConnGrace)
	defer cancel()
	s.Shutdown(ctx)
	n, err = conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, rest, string(buffer[:n]))
}

// Guards against closing a connection at a stop although its request is being handled: net/http reads on to notice that the caller leaves, and on a
// busy VM that read began before the handler and was taken for one that waits for a head.
func TestStopSparesRequestsWhoseCallersAreWatched(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	// begin brings the connection from a complete head to the moment of the stop; watch begins the read that notices the end of the caller.
	for name, begin := range map[string]func(s *Server, conn *callerConn, watch func()){
		"read before handler": func(_ *Server, conn *callerConn, watch func()) {
			watch()
			conn.beginHandling()
		},
		"read after handler": func(_ *Server, conn *callerConn, watch func()) {
			conn.beginHandling()
			watch()
		},
		"read, handler not called yet": func(s *Server, conn *callerConn, watch func()) {
			s.trackState(conn, http.StateActive)
			watch()
		},
		"handler called after the read": func(s *Server, conn *callerConn, watch func()) {
			s.trackState(conn, http.StateActive)
			watch()
			conn.beginHandling()
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			caller, reader := connect(t, listener)
			accepted, err := listener.Accept()
			require.NoError(t, err)
			s := &Server{Log: zap.NewNop()}
			conn := newCallerConn(accepted, s, &limitedServer{server: &http.Server{}, closed: make(chan struct{}), open: map[*callerConn]struct{}{}})
			defer conn.Close()
			_, err = fmt.Fprint(caller, head)
			require.NoError(t, err)
			buffer := make([]byte, 64)
			n, err := conn.Read(buffer)
			require.NoError(t, err)
			require.Equal(t, head, string(buffer[:n]))
			ended := make(chan struct{})
			begin(s, conn, func() {
				began := make(chan struct{})
				go func() {
					defer close(ended)
					close(began)
					_, _ = conn.Read(make([]byte, 1))
				}()
				<-began
				// Only for the order that the test is about; a read that begins later changes nothing.
				for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end) && !conn.isWaiting(); time.Sleep(time.Millisecond) {
				}
			})
			conn.closeIfSilent(true)
			_, err = conn.Write([]byte("answer"))
			require.NoError(t, err)
			answer := make([]byte, len("answer"))
			_, err = io.ReadFull(reader, answer)
			require.NoError(t, err)
			require.NoError(t, caller.Close())
			<-ended
		})
	}
}

func (c *callerConn) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}
