package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const leavingHeader = "Leaving: 1\r\n"

// withAvailability adds to an answer what its headers say about further requests.
func withAvailability(r *http.Response, a Answer) Answer {
	a.Leaving, a.PauseFor = r.Header.Get("Leaving") != "", pauseOf(r)
	a.TimePercent, _ = strconv.Atoi(r.Header.Get("Time-Percent"))
	if perSecond, err := strconv.ParseFloat(r.Header.Get("Limit"), 64); err == nil {
		a.RateLimit = RateLimit{Named: true, PerSecond: perSecond}
	}
	return a
}

// answers answers with a status and headers.
func answers(status int, headers string) reply {
	return func(conn net.Conn, r *http.Request, instance string) bool {
		return answerText(conn, r, status, "Signed: "+instance+"\r\n"+headers, bodyFrom(instance, r.URL.Path))
	}
}

// bodyFrom returns the body of an answer that names its upstream: an event on a path of streams.
func bodyFrom(instance, path string) string {
	if path == "/stream/" || path == "/resume/" {
		return "id: 1\ndata: from " + instance + "\n\n"
	}
	return "from " + instance
}

// applyList applies a list with the instances of the first list for which keep returns true, all ready.
func (s *system) applyList(first []upstreams.Instance, keep func(i *upstreams.Instance) bool) {
	var list []upstreams.Instance
	for _, instance := range first {
		instance.Draining = false
		if keep(&instance) {
			list = append(list, instance)
		}
	}
	s.gateway.options.Directory.ApplyList(list, time.Now())
}

func (s *system) instances() []upstreams.Instance {
	return slices.Clone(s.gateway.options.Directory.View().Instances)
}

// runsAt returns how many requests an upstream has started.
func (s *system) runsAt(id string) int {
	count := 0
	for _, run := range s.startedRuns() {
		if strings.HasPrefix(run, id+"/") {
			count++
		}
	}
	return count
}

// requireServedBy sends requests of all kinds, which must all be answered by one upstream.
func (s *system) requireServedBy(id, message string) {
	s.t.Helper()
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/safe/", "/once/"} {
		status, body, err := s.call("POST", path, "")
		require.NoError(s.t, err)
		require.Equal(s.t, 200, status, message)
		require.Equal(s.t, bodyFrom(id, path), body, message)
	}
}

// Guards against requests to an instance that has said in an answer that it leaves, whatever the answer was.
func TestInstanceThatSaysItLeavesGetsNoRequests(t *testing.T) {
	cut := func(conn net.Conn, r *http.Request, instance string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n%sContent-Length: 9\r\n\r\nno", r.Header.Get("Id"), leavingHeader)
		return false
	}
	duplicate := func(conn net.Conn, r *http.Request, instance string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: r0\r\n%sContent-Length: 7\r\n\r\nanother", leavingHeader)
		return good(conn, r, instance)
	}
	for name, c := range map[string]struct {
		path  string
		first reply
	}{
		"success":                      {"/safe/", answers(200, leavingHeader)},
		"success, must not run twice":  {"/once/", answers(200, leavingHeader)},
		"stream":                       {"/stream/", answers(200, leavingHeader)},
		"rejection":                    {"/once/", answers(503, "Not-Run: 1\r\n"+leavingHeader)},
		"failure":                      {"/once/", answers(500, leavingHeader)},
		"failure that is repeated":     {"/safe/", answers(500, leavingHeader)},
		"unclear rejection":            {"/once/", answers(503, leavingHeader)},
		"cut answer":                   {"/once/", cut},
		"cut stream that is resumed":   {"/resume/", cut},
		"duplicate of another request": {"/once/", duplicate},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, c.first, good)
			first := s.instances()
			_, _, err := s.call("POST", c.path, "")
			require.NoError(t, err)
			require.Equal(t, 1, s.runsAt("u0"))
			all := func(*upstreams.Instance) bool { return true }
			s.requireServedBy("u1", "after the answer")
			s.applyList(first, all)
			s.requireServedBy("u1", "after a list that still says ready")
			s.applyList(first, func(i *upstreams.Instance) bool { return i.ID != "u0" })
			s.applyList(first, all)
			s.requireServedBy("u1", "after a list without the instance and one with it")
			require.Equal(t, 1, s.runsAt("u0"), "requests reached an instance that had said that it leaves")
		})
	}
}

// Guards against an instance that is not used after a restart, because its earlier incarnation was leaving.
func TestRestartedInstanceIsUsedAtOnce(t *testing.T) {
	for name, restart := range map[string]func(i *upstreams.Instance){
		"another time of start": func(i *upstreams.Instance) { i.Born = 2 },
		"another id":            func(i *upstreams.Instance) { i.ID = "u9" },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, firstThen(answers(200, leavingHeader), good), closeConnection)
			first := s.instances()
			_, _, err := s.call("POST", "/once/", "")
			require.NoError(t, err)
			s.applyList(first, func(i *upstreams.Instance) bool {
				if i.ID == "u0" {
					restart(i)
				}
				return i.ID != "u1"
			})
			status, _, err := s.call("POST", "/once/", "")
			require.NoError(t, err)
			require.Equal(t, 200, status, "the restarted instance gets no requests")
			require.Equal(t, 2, s.runsAt("u0"))
		})
	}
}

// Guards against requests to a leaving instance while its answer is still under way: the head has said so.
func TestHeadOfAStreamSaysThatTheInstanceLeaves(t *testing.T) {
	end := make(chan struct{})
	begun := func(conn net.Conn, r *http.Request, instance string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x\n\n\n\r\n", r.Header.Get("Id"), instance, leavingHeader)
		<-end
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	s := newSystem(t, begun, good)
	response, err := s.front.Client().Do(s.request("POST", "/stream/", ""))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, "1", response.Header.Get("Leaving"))
	s.requireServedBy("u1", "while the stream goes on")
	close(end)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, 1, s.runsAt("u0"))
}

// Guards against a send to an instance that ceased to take requests while a connection to it was opened.
func TestInstanceLeavesWhileAConnectionIsOpened(t *testing.T) {
	s := newSystem(t, good, good)
	leaving := s.instances()[0]
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if address == leaving.Address {
			s.gateway.options.Directory.MarkLeaving(time.Now(), leaving.Key())
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	s.requireServedBy("u1", "after the connection was opened")
	require.Zero(t, s.runsAt("u0"), "a request reached an instance that leaves")
}

// Guards against a node that does not use what other nodes know, and against late news about an earlier incarnation.
func TestNewsOfALeavingInstance(t *testing.T) {
	s := newSystem(t, good, good)
	o := s.gateway.options
	o.Tracker.ApplyReport(&nodepb.LoadReport{Node: "n", Sequence: 1, Leaving: []uint32{upstreams.Key{ID: "u0", Born: 7}.Hash(), 1}}, "z", time.Now())
	require.False(t, o.Directory.View().Instances[0].Draining, "news about another incarnation")
	o.Tracker.ApplyReport(&nodepb.LoadReport{Node: "n", Sequence: 2, Leaving: []uint32{upstreams.Key{ID: "u0"}.Hash()}}, "z", time.Now())
	require.True(t, o.Directory.View().Instances[0].Draining, "news of another node that the instance leaves")
	s.requireServedBy("u1", "after the news")
	require.Zero(t, s.runsAt("u0"))
}
