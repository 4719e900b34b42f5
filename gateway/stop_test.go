package gateway

import (
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

	"github.com/wasabishunt/wasabishunt/callers"
)

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
	server := &callers.Server{Handler: s.gateway, Log: zap.NewNop(), EndRequests: s.gateway.EndRequests}
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
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
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

// Guards against requests that are cut without an answer at the end of a stop because their upstream has begun its answer, or because they
// still look for an upstream.
func TestEndOfAStopAnswersWhatHasNotReachedTheCaller(t *testing.T) {
	head := func(more string) string { return "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n" + more }
	const refusal = "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		begun string
		paths []string
	}{
		"part of a head":           {head("Content-Le"), []string{"/once/", "/safe/", "/stream/", "/resume/"}},
		"head":                     {head("Content-Length: 9\r\n\r\n"), []string{"/once/", "/safe/", "/stream/", "/resume/"}},
		"head without a length":    {head("\r\n"), []string{"/once/", "/safe/", "/stream/", "/resume/"}},
		"part of a body":           {head("Content-Length: 9\r\n\r\nbo"), []string{"/once/", "/safe/"}},
		"part of a chunk":          {head("Transfer-Encoding: chunked\r\n\r\n9\r\nbo"), []string{"/once/", "/safe/"}},
		"body without its end":     {head("\r\nbody"), []string{"/once/", "/safe/"}},
		"part of the first event":  {head("\r\nid: 1\nda"), []string{"/stream/", "/resume/"}},
		"refusal without its body": {strings.Replace(refusal, "Length: 0", "Length: 9", 1), []string{"/once/", "/safe/", "/stream/", "/resume/"}},
	} {
		for _, path := range c.paths {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				released := make(chan struct{})
				answer := func(conn net.Conn, r *http.Request, _ string) bool {
					_, _ = fmt.Fprintf(conn, c.begun, r.Header.Get("Id"))
					<-released
					return false
				}
				s := newSystem(t, answer, answer)
				t.Cleanup(func() { close(released) })
				server := &callers.Server{Handler: s.gateway, Log: zap.NewNop(), EndRequests: s.gateway.EndRequests}
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				go func() { _ = server.Serve(listener) }()
				answered := make(chan int, 1)
				go func() {
					r := s.request("POST", path, "x")
					r.URL.Host = listener.Addr().String()
					response, err := http.DefaultClient.Do(r)
					if err != nil {
						answered <- 0
						return
					}
					defer func() { _ = response.Body.Close() }()
					body, err := io.ReadAll(response.Body)
					if err != nil || !strings.Contains(string(body), `"execution":`) {
						answered <- 0
						return
					}
					answered <- response.StatusCode
				}()
				require.Eventually(t, func() bool { return len(s.startedRuns()) > 0 }, time.Second, time.Millisecond)
				require.NoError(t, server.StopAccepting(listener))
				ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
				defer cancel()
				server.Shutdown(ctx)
				require.GreaterOrEqual(t, <-answered, http.StatusBadRequest)
			})
		}
	}
}

// Guards against callers keeping connections to a stopping node.
func TestStoppingNodeEndsConnections(t *testing.T) {
	s := newSystem(t, good)
	s.gateway.BeginClosing()
	response, err := s.front.Client().Do(s.request("GET", "/safe/", ""))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.True(t, response.Close)
}
