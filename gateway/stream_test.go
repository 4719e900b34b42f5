package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// events sends the events from..to as a chunked answer, which is terminated only if complete is true.
func events(from, to int, complete bool) reply {
	return func(conn net.Conn, r *http.Request, instance string) bool {
		if last, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
			from = last + 1
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), instance)
		for i := from; i <= to; i++ {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if !complete {
			part := "id: 99\ndata: pa"
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
			return false
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	}
}

// Guards against a stream with a missing, repeated or partial event, and against a broken stream that looks complete.
func TestStreams(t *testing.T) {
	want := func(to int) string {
		out := ""
		for i := 1; i <= to; i++ {
			out += fmt.Sprintf("id: %d\ndata: x\n\n", i)
		}
		return out
	}
	t.Run("complete", func(t *testing.T) {
		s := newSystem(t, events(1, 5, true))
		status, body, err := s.call("POST", "/stream/", "")
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, want(5), body)
	})
	t.Run("broken", func(t *testing.T) {
		s := newSystem(t, events(1, 3, false))
		_, body, err := s.call("POST", "/stream/", "")
		require.True(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF), "%v", err)
		require.Equal(t, want(3), body)
	})
	t.Run("resumed", func(t *testing.T) {
		var number atomic.Int32
		answer := func(conn net.Conn, r *http.Request, instance string) bool {
			if number.Add(1) == 1 {
				return events(1, 3, false)(conn, r, instance)
			}
			return events(1, 6, true)(conn, r, instance)
		}
		s := newSystem(t, answer, answer)
		status, body, err := s.call("POST", "/resume/", "")
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, want(6), body)
		require.Len(t, s.startedRuns(), 2)
		require.Contains(t, s.startedRuns()[1], "/3")
	})
	t.Run("resumed by the caller", func(t *testing.T) {
		s := newSystem(t, events(1, 6, true))
		_, body, err := s.call("POST", "/resume/", "", func(r *http.Request) { r.Header.Set("Last", "4") })
		require.NoError(t, err)
		require.Equal(t, "id: 5\ndata: x\n\nid: 6\ndata: x\n\n", body)
	})
}

// Guards against a stream that ends at its time limit and whose log line blames the connection to the engine.
func TestStreamCutAtItsDeadlineSaysSo(t *testing.T) {
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	s := newSystem(t, silentAfter(2, end))
	core, lines := observer.New(zap.WarnLevel)
	s.gateway.options.Log = zap.New(core)
	_, _, err := s.call("POST", "/stream/", "", func(r *http.Request) { r.Header.Set("Deadline", "200") })
	require.Error(t, err)
	require.Eventually(t, func() bool { return lines.FilterMessage("answer broken off").Len() == 1 }, time.Second, time.Millisecond)
	require.Contains(t, lines.FilterMessage("answer broken off").All()[0].ContextMap()["error"], "deadline_exceeded")
}
