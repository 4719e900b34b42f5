package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreamconn"
)

// pausingStream sends two events, the second one after a pause.
func pausingStream(pause time.Duration) reply {
	return func(conn net.Conn, r *http.Request, instance string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), instance)
		for i := 1; i <= 2; i++ {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
			if i == 1 {
				time.Sleep(pause)
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// refuseOthers makes connections to all instances but that of the first one be refused.
func (s *system) refuseOthers() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	require.NoError(s.t, listener.Close())
	var first atomic.Pointer[string]
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{DialTimeout: s.deadline(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if !first.CompareAndSwap(nil, &address) && *first.Load() != address {
			address = listener.Addr().String()
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
}

// deadline is how long callers wait.
func (s *system) deadline() time.Duration { return time.Duration(s.deadlineMs) * time.Millisecond }

// extendTime gives requests and the opening of connections more time. On a busy machine requests were cut off at the end of the 1.5 s that they
// have otherwise, or refused after 150 ms without a connection.
func (s *system) extendTime() {
	s.deadlineMs = 10_000
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{DialTimeout: s.deadline()})
	routes := s.sets.Set().Routes
	for i := range routes {
		routes[i].Timeout = s.deadline()
	}
}

// Guards against cutting a request of a sound instance because it was silent for a while, although no other instance can take
// it: callers lost a stream that would have gone on.
func TestSilentSendStaysIfNoOtherInstanceCanBeReached(t *testing.T) {
	for name, c := range map[string]struct {
		path         string
		answer       reply
		unresponsive bool
	}{
		"stalled stream":                 {"/resume/", pausingStream(minStallTimeout + 200*time.Millisecond), false},
		"stream of unresponsive":         {"/resume/", pausingStream(2 * unresponsiveSilence), true},
		"unanswered request":             {"/safe/", pausedAnswer(minAttemptTimeout + 200*time.Millisecond), false},
		"unanswered one of unresponsive": {"/safe/", pausedAnswer(2 * unresponsiveSilence), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, c.answer, c.answer)
			s.extendTime()
			s.refuseOthers()
			if c.unresponsive {
				go s.markFirstUnresponsive()
			}
			status, body, err := s.call("POST", c.path, "")
			require.NoError(t, err)
			require.Equal(t, 200, status)
			if c.path == "/resume/" {
				require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
			}
			require.Len(t, s.startedRuns(), 1)
		})
	}
}

func pausedAnswer(pause time.Duration) reply {
	return func(conn net.Conn, r *http.Request, instance string) bool {
		time.Sleep(pause)
		return good(conn, r, instance)
	}
}

// Guards against cutting a stream that this node took from a silent instance, because the other instances are full for a moment.
func TestMovedStreamWaitsForAnInstance(t *testing.T) {
	const fullFor = 300 * time.Millisecond
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	var movedAt atomic.Int64
	fullAtFirst := func(conn net.Conn, r *http.Request, instance string) bool {
		movedAt.CompareAndSwap(0, time.Now().UnixNano())
		if time.Since(time.Unix(0, movedAt.Load())) < fullFor {
			return full(conn, r, instance)
		}
		return events(1, 4, true)(conn, r, instance)
	}
	answer := firstThen(silentAfter(2, end), fullAtFirst)
	s := newSystem(t, answer, answer, answer, answer)
	go s.markFirstUnresponsive()
	status, body, err := s.call("POST", "/resume/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n", body)
}
