package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
