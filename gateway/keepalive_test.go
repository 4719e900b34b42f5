package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/trafficset"
)

// Guards against callers that use a kept connection until the node closes it: a request that is on its way at that moment is
// reset. Callers respect the time given in Keep-Alive.
func TestAnswersStateHowLongConnectionsAreKept(t *testing.T) {
	for _, c := range []struct {
		limit   time.Duration
		request string
		want    []string
	}{
		{limit: 15 * time.Second, want: []string{"timeout=12"}},
		{limit: 2500 * time.Millisecond, want: []string{"timeout=2"}},
		{limit: 1200 * time.Millisecond},
		{limit: 15 * time.Second, request: "Connection: close\r\n"},
	} {
		_, listener := startServer(t, trafficset.Limits{IdleTimeout: c.limit})
		conn, reader := connect(t, listener)
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n" + c.request + "\r\n"))
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, c.want, response.Header["Keep-Alive"], c.limit)
	}
}

// Guards against an announced time that is above the idle limit in force after a change.
func TestStatedTimeFollowsTheIdleLimit(t *testing.T) {
	s, listener := startServer(t, trafficset.Limits{IdleTimeout: 15 * time.Second})
	conn, reader := connect(t, listener)
	for _, want := range []string{"timeout=12", "timeout=4", "timeout=24"} {
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, want, response.Header.Get("Keep-Alive"))
		next := map[string]time.Duration{"timeout=12": 5 * time.Second, "timeout=4": 30 * time.Second}[want]
		s.SetLimits(trafficset.Limits{IdleTimeout: next})
	}
}

// Guards against passing on how long an engine keeps its connections, which says nothing about those of callers, and against an engine's
// Connection header that removes this node's own time.
func TestEnginesKeepAliveIsNotPassedOn(t *testing.T) {
	s := newSystem(t, func(conn net.Conn, r *http.Request, _ string) bool {
		return answerText(conn, r, 200, "Signed: s\r\nConnection: keep-alive, X-Hop\r\nKeep-Alive: timeout=5\r\nX-Hop: 1\r\nX-End: 2\r\n", "ok")
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	server := &Server{Handler: s.gateway, Log: zap.NewNop()}
	server.SetLimits(trafficset.Limits{IdleTimeout: 15 * time.Second})
	go func() { _ = server.Serve(listener) }()
	conn, reader := connect(t, listener)
	_, err = conn.Write([]byte("GET /safe/x HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nDeadline: 2000\r\n\r\n"))
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, []string{"timeout=12"}, response.Header["Keep-Alive"])
	require.Empty(t, response.Header["Connection"])
	require.Empty(t, response.Header["X-Hop"])
	require.Equal(t, "2", response.Header.Get("X-End"))
}
