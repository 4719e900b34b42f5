package gateway

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/callers"
)

// Guards against passing on how long an engine keeps its connections, which says nothing about those of callers, and against an engine's
// Connection header that removes this node's own time.
func TestEnginesKeepAliveIsNotPassedOn(t *testing.T) {
	s := newSystem(t, func(conn net.Conn, r *http.Request, _ string) bool {
		return answerText(conn, r, 200, "Signed: s\r\nConnection: keep-alive, X-Hop\r\nKeep-Alive: timeout=5\r\nX-Hop: 1\r\nX-End: 2\r\n", "ok")
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	server := &callers.Server{Handler: s.gateway, Log: zap.NewNop()}
	server.SetLimits(callers.Limits{IdleTimeout: 15 * time.Second})
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	reader := bufio.NewReader(conn)
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
