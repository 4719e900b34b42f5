package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/trafficset"
)

// Guards against closing kept connections at a stop without answering requests that had arrived: http.Server.Shutdown closes
// connections that it still takes for idle, and drops requests that it has read meanwhile.
func TestStopAnswersWhatArrivedOnKeptConnections(t *testing.T) {
	const callers, rounds = 200, 5
	lost := 0
	for range rounds {
		s, listener := startServer(t, trafficset.Limits{})
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

// Guards against taking a request late in a stop, sending it to an instance, and cutting its answer at the end of the stop.
func TestStoppingNodeRefusesWhatItCannotFinish(t *testing.T) {
	s := newSystem(t, good)
	s.gateway.FinishBy(time.Now().Add(time.Second))
	status, body, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, 503, status)
	require.Contains(t, body, `"execution":"not_run"`)
	require.Empty(t, s.startedRuns())
	status, _, err = s.call("POST", "/once/", "", func(r *http.Request) { r.Header.Set("Deadline", "500") })
	require.NoError(t, err)
	require.Equal(t, 200, status)
}

// Guards against a stop that waits for a head which is never completed on a kept connection.
func TestStopDoesNotWaitForPartialHeads(t *testing.T) {
	for _, begin := range []string{"G", "GET", "GET / HTTP/1.1\r\n"} {
		s, listener := startServer(t, trafficset.Limits{})
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

// Guards against requests that are cut without an answer at the end of a stop, although their caller could be told that they may have run.
func TestEndOfAStopAnswersWhatIsInProgress(t *testing.T) {
	released := make(chan struct{})
	s := newSystem(t, func(conn net.Conn, r *http.Request, _ string) bool {
		if strings.HasPrefix(r.URL.Path, "/stream/begun") {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n\r\nid: 1\ndata: a\n\n", r.Header.Get("Id"))
		}
		<-released
		return false
	})
	t.Cleanup(func() { close(released) })
	server := &Server{Handler: s.gateway, Log: zap.NewNop(), EndRequests: s.gateway.EndRequests}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	type outcome struct {
		status int
		body   string
		err    error
	}
	outcomes := map[string]chan outcome{}
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/", "/stream/begun"} {
		done := make(chan outcome, 1)
		outcomes[path] = done
		go func() {
			r := s.request("POST", path, "x")
			r.URL.Host = listener.Addr().String()
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				done <- outcome{err: err}
				return
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			done <- outcome{response.StatusCode, string(body), err}
		}()
	}
	require.Eventually(t, func() bool { return len(s.startedRuns()) == len(outcomes) }, time.Second, time.Millisecond)
	require.NoError(t, server.StopAccepting(listener))
	ctx, cancel := context.WithTimeout(context.Background(), 2*finalAnswerTime)
	defer cancel()
	server.Shutdown(ctx)
	for path, done := range outcomes {
		got := <-done
		if path == "/stream/begun" {
			require.Error(t, got.err, "a stream that has begun must not look complete")
			continue
		}
		require.NoError(t, got.err, path)
		require.Equal(t, http.StatusGatewayTimeout, got.status, path)
		require.Contains(t, got.body, `"execution":"unknown"`, path)
	}
}
