package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreamconn"
)

// Guards against closing a connection to an instance for a request that has got its answer: another request already used it, and
// its answer was cut because the caller of the first one read slowly until its time limit.
func TestEndOfAnAnsweredRequestSparesTheNextOneOnItsConnection(t *testing.T) {
	const limit, work = 300 * time.Millisecond, 600 * time.Millisecond
	large := strings.Repeat("x", 2*defaultAnswerBytes)
	s := newSystem(t, firstThen(func(conn net.Conn, r *http.Request, instance string) bool {
		return answerText(conn, r, 200, "Signed: "+instance+"\r\n", large)
	}, func(conn net.Conn, r *http.Request, instance string) bool {
		time.Sleep(work)
		return good(conn, r, instance)
	}))
	s.gateway.options.AnswerBytes = int64(len(large))
	slow, err := net.Dial("tcp", s.front.Listener.Addr().String())
	require.NoError(t, err)
	defer slow.Close()
	require.NoError(t, slow.(*net.TCPConn).SetReadBuffer(4096))
	began := time.Now()
	r := s.request("POST", "/once/", "", func(r *http.Request) { r.Header.Set("Deadline", "300"); r.Header.Set("Id", "slow") })
	require.NoError(t, r.Write(slow))
	require.Eventually(t, func() bool { return len(s.startedRuns()) == 1 }, time.Second, time.Millisecond)
	time.Sleep(limit / 2)
	require.Less(t, time.Since(began), limit)
	status, _, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status)
}

// Guards against preparing a move, at the cost of the retry budget, for a request whose answer is complete and is only being
// written to a slow caller.
func TestAnsweredRequestPreparesNoMove(t *testing.T) {
	large := strings.Repeat("x", 2*defaultAnswerBytes)
	answer := func(conn net.Conn, r *http.Request, instance string) bool {
		return answerText(conn, r, 200, "Signed: "+instance+"\r\n", large)
	}
	s := newSystem(t, answer, answer)
	s.gateway.options.AnswerBytes = int64(len(large))
	var dials atomic.Int64
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	slow, err := net.Dial("tcp", s.front.Listener.Addr().String())
	require.NoError(t, err)
	defer slow.Close()
	require.NoError(t, slow.(*net.TCPConn).SetReadBuffer(4096))
	require.NoError(t, s.request("POST", "/safe/", "").Write(slow))
	time.Sleep(minAttemptTimeout + 200*time.Millisecond)
	require.EqualValues(t, 1, dials.Load())
}
