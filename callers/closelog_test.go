package callers

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against connections that this process ends without a trace of the reason.
func TestEndsOfConnectionsAreRecorded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	core, lines := observer.New(zap.InfoLevel)
	s := &Server{Log: zap.New(core), Metrics: gometrics.NewRegistry(), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Abort") != "" {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(204)
	})}
	s.SetLimits(Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 150 * time.Millisecond})
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	count := func(reason closeReason) int64 { return s.closes().counts[reason].Count() }

	aborted, _ := connect(t, listener)
	_, err = fmt.Fprint(aborted, "GET / HTTP/1.1\r\nHost: h\r\nAbort: 1\r\n\r\n")
	require.NoError(t, err)
	slow, _ := connect(t, listener)
	_, err = fmt.Fprint(slow, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	malformed, _ := connect(t, listener)
	_, err = fmt.Fprint(malformed, "no request\r\n\r\n")
	require.NoError(t, err)
	idle, idleReader := connect(t, listener)
	require.Equal(t, 204, sendRequest(t, idle, idleReader, ""))
	answered, answeredReader := connect(t, listener)
	require.Equal(t, 204, sendRequest(t, answered, answeredReader, "Connection: close\r\n"))
	left, leftReader := connect(t, listener)
	require.Equal(t, 204, sendRequest(t, left, leftReader, ""))
	require.NoError(t, left.Close())

	for _, reason := range []closeReason{closedAborted, closedHeaderTimeout, closedMalformed, closedIdle, closedAnswered, closedByCaller} {
		require.Eventually(t, func() bool { return count(reason) == 1 }, 5*time.Second, time.Millisecond, reason)
	}
	require.Eventually(t, func() bool { return lines.Len() == 2 }, 5*time.Second, time.Millisecond)
	reasons := map[any]any{}
	for _, line := range lines.All() {
		require.Equal(t, "connection of a caller closed", line.Message)
		fields := line.ContextMap()
		reasons[fields["reason"]] = fields["phase"]
	}
	require.Equal(t, map[any]any{"aborted": "request", "header_timeout": "head"}, reasons)
}

// Guards against a flood of closed connections that fills the log.
func TestLinesOnClosedConnectionsAreBounded(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	l := newCloseLog(zap.New(core), nil)
	now := time.Now()
	written := 0
	for range 3 * maxCloseLines {
		if _, ok := l.takeLine(now); ok {
			written++
		}
	}
	require.Equal(t, maxCloseLines, written)
	suppressed, ok := l.takeLine(now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 2*maxCloseLines, suppressed)
	require.Zero(t, lines.Len())
}
