package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
