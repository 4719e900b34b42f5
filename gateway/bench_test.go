package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkForward measures one small request through the gateway to an upstream on loopback, including the work of the
// caller and of the upstream.
func BenchmarkForward(b *testing.B) {
	s := newSystem(b, func(conn net.Conn, r *http.Request, _ string) bool {
		return answerText(conn, r, http.StatusOK, "Signed: s\r\n", "answer")
	})
	server := httptest.NewServer(s.gateway)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(b, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		request := s.request(http.MethodGet, "/safe/", "")
		require.NoError(b, request.Write(conn))
		response, err := http.ReadResponse(reader, request)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, response.StatusCode)
	}
}
