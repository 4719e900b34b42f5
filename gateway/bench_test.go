package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/trafficset"
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

// BenchmarkRelayEvent measures one event of a stream from the write of the upstream to the read of the caller, on loopback. The next
// event is sent once the caller has read the one before.
func BenchmarkRelayEvent(b *testing.B) {
	next := make(chan struct{})
	s := newSystem(b, func(conn net.Conn, r *http.Request, _ string) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSigned: s\r\n\r\n")
		for range next {
			_, _ = io.WriteString(conn, "id: 1\ndata: x\n\n")
		}
		return false
	})
	route := s.route("/stream/", trafficset.Stream, 1, false)
	route.Timeout = time.Minute
	set := *s.sets.Set()
	set.Routes = []trafficset.Route{route}
	require.NoError(b, set.Build())
	s.sets.set.Store(&set)
	s.deadlineMs = 60_000
	go func() { next <- struct{}{} }()
	response, err := s.front.Client().Do(s.request(http.MethodPost, "/stream/", ""))
	require.NoError(b, err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	readEvent := func() {
		for range 3 {
			if _, err := reader.ReadString('\n'); err != nil {
				b.Fatal(err)
			}
		}
	}
	readEvent()
	b.ReportAllocs()
	for b.Loop() {
		next <- struct{}{}
		readEvent()
	}
	close(next)
}
