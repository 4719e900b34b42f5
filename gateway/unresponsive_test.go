package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// markFirstUnresponsive waits for the first run and then records that its instance did not respond to another send.
func (s *system) markFirstUnresponsive() {
	require.Eventually(s.t, func() bool { return len(s.startedRuns()) > 0 }, 10*time.Second, time.Millisecond)
	id, _, _ := strings.Cut(s.startedRuns()[0], "/")
	list := s.gateway.options.Directory.View().OfService("s")
	i := slices.IndexFunc(list, func(i *upstreams.Instance) bool { return i.ID == id })
	s.gateway.options.Tracker.Begin(list[i], placement.Work{}).End(placement.Unresponsive, time.Now())
}

// firstThen answers the first request with first and the others with then, whatever the instance.
func firstThen(first, then reply) reply {
	claimed := make(chan struct{}, 1)
	return func(conn net.Conn, r *http.Request, instance string) bool {
		select {
		case claimed <- struct{}{}:
			return first(conn, r, instance)
		default:
			return then(conn, r, instance)
		}
	}
}

// silentAfter sends the first events of a stream and then nothing; the connection stays open.
func silentAfter(count int, end <-chan struct{}) reply {
	return func(conn net.Conn, r *http.Request, instance string) bool {
		if count > 0 {
			events(1, count, false)(conn, r, instance)
		}
		<-end
		return false
	}
}

// Guards against requests that wait on an instance whose VM is off until their own timeout: the node knows by then from other
// connections, or from other nodes, that the instance does not respond.
func TestRepeatableSendsLeaveAnUnresponsiveInstance(t *testing.T) {
	for name, c := range map[string]struct {
		path, want string
		begun      int
		then       reply
		// limit is the time after which the send moves without knowledge of the instance.
		limit time.Duration
	}{
		"no answer yet":    {"/safe/", "from ", 0, good, minAttemptTimeout},
		"stream, no event": {"/resume/", "id: 6\n", 0, events(1, 6, true), minAttemptTimeout},
		"stream, begun":    {"/resume/", "id: 6\n", 3, events(1, 6, true), minStallTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			end := make(chan struct{})
			answer := firstThen(silentAfter(c.begun, end), c.then)
			s := newSystem(t, answer, answer)
			t.Cleanup(func() { close(end) })
			started := time.Now()
			go s.markFirstUnresponsive()
			status, body, err := s.call("POST", c.path, "")
			require.NoError(t, err)
			require.Equal(t, 200, status)
			require.Contains(t, body, c.want)
			require.LessOrEqual(t, strings.Count(body, "id: 1\n"), 1, "no event comes twice: %s", body)
			require.Less(t, time.Since(started), c.limit)
			require.Len(t, s.startedRuns(), 2)
		})
	}
}

// Guards against cutting a slow but sound stream: an instance that takes no new connections may still serve the open ones.
func TestStreamWithEventsStaysAtAnUnresponsiveInstance(t *testing.T) {
	const count = 12
	slow := func(conn net.Conn, r *http.Request, instance string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), instance)
		ticker := time.NewTicker(unresponsiveSilence / 4)
		defer ticker.Stop()
		for i := 1; i <= count; i++ {
			<-ticker.C
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	s := newSystem(t, slow, slow)
	go s.markFirstUnresponsive()
	status, body, err := s.call("POST", "/resume/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, count, strings.Count(body, "data: x"))
	require.Len(t, s.startedRuns(), 1)
}

// late answers after a silence that is long enough to leave an unresponsive instance.
func late(conn net.Conn, r *http.Request, instance string) bool {
	timer := time.NewTimer(2 * unresponsiveSilence)
	defer timer.Stop()
	<-timer.C
	return good(conn, r, instance)
}

// Guards against ending a request that must not run twice: nobody else could answer it.
func TestSendThatMustNotRunTwiceWaitsForAnUnresponsiveInstance(t *testing.T) {
	s := newSystem(t, late, late)
	go s.markFirstUnresponsive()
	status, _, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Len(t, s.startedRuns(), 1)
}

// Guards against leaving an instance that was unresponsive for a moment: a probe has reached it again.
func TestReachableInstanceKeepsItsSends(t *testing.T) {
	s := newSystem(t, late, late)
	go func() {
		s.markFirstUnresponsive()
		for _, instance := range s.gateway.options.Tracker.UnresponsiveInstances(s.gateway.options.Directory.View()) {
			s.gateway.options.Tracker.MarkReachable(instance, time.Now())
		}
	}()
	status, _, err := s.call("GET", "/safe/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Len(t, s.startedRuns(), 1)
}
