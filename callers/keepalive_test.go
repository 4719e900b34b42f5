package callers

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
		_, listener := startServer(t, Limits{IdleTimeout: c.limit})
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
	s, listener := startServer(t, Limits{IdleTimeout: 15 * time.Second})
	conn, reader := connect(t, listener)
	for _, want := range []string{"timeout=12", "timeout=4", "timeout=24"} {
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, want, response.Header.Get("Keep-Alive"))
		next := map[string]time.Duration{"timeout=12": 5 * time.Second, "timeout=4": 30 * time.Second}[want]
		s.SetLimits(Limits{IdleTimeout: next})
	}
}
