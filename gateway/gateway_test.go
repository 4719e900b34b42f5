package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/serving/retrybudget"
	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// testDialect uses short header names.
type testDialect struct{}

func (testDialect) Attributes(r *http.Request) (Attributes, error) {
	a := Attributes{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last")}
	if a.ID == "" {
		return a, failure.New(failure.InvalidRequest, failure.NotRun, "no id")
	}
	if ms, err := strconv.Atoi(r.Header.Get("Deadline")); err == nil {
		a.Deadline = time.Duration(ms) * time.Millisecond
	}
	return a, nil
}

func (testDialect) Request(in http.Header, out Outbound) http.Header {
	h := http.Header{"Id": in["Id"], "Left": {strconv.FormatInt(out.TimeLeft.Milliseconds(), 10)}, "Instance": {out.Instance}, "Account": {out.Account}}
	if out.LastEventID != "" {
		h.Set("Last", out.LastEventID)
	}
	return h
}

func (testDialect) Answer(r *http.Response) Answer {
	return withAvailability(r, Answer{RequestID: r.Header.Get("Id"), NotRun: r.Header.Get("Not-Run") != "", Signed: r.Header.Get("Signed") != ""})
}

type testSets struct {
	set atomic.Pointer[trafficset.Set]
	// confirmed holds a channel that is closed once the set is known to be the newest one.
	confirmed atomic.Pointer[chan struct{}]
	outdated  atomic.Bool
	required  atomic.Uint64
}

func (s *testSets) Outdated() bool { return s.outdated.Load() }

func (s *testSets) Confirmed() <-chan struct{} { return *s.confirmed.Load() }

// restart makes the set unconfirmed, as after a start of the process, and returns a function that confirms it.
func (s *testSets) restart() (confirm func()) {
	confirmed := make(chan struct{})
	s.confirmed.Store(&confirmed)
	return func() { close(confirmed) }
}

func (s *testSets) Set() *trafficset.Set          { return s.set.Load() }
func (s *testSets) WantedVersion(string) uint64   { return 0 }
func (s *testSets) RequiredVersion(string) uint64 { return s.required.Load() }

// system is a gateway with test upstreams.
type system struct {
	t       testing.TB
	gateway *Gateway
	sets    *testSets
	front   *httptest.Server
	mu      sync.Mutex
	// runs are the requests that upstreams have started, in order, as "instance/last event id".
	runs       []string
	done       chan string
	deadlineMs int
}

// reply handles a request at a test upstream; it returns false to close the connection.
type reply func(conn net.Conn, r *http.Request, instance string) bool

func newSystem(t testing.TB, replies ...reply) *system {
	t.Helper()
	s := &system{t: t, sets: &testSets{}, done: make(chan string, 16), deadlineMs: 1500}
	directory := upstreams.NewDirectory()
	var list []upstreams.Instance
	for i, answer := range replies {
		id := fmt.Sprint("u", i)
		list = append(list, upstreams.Instance{ID: id, Service: "s", Address: s.upstream(id, answer), Versions: map[string]uint64{}})
	}
	directory.ApplyList(list, time.Now())
	set := &trafficset.Set{
		Version: 1, Services: []trafficset.Service{{Name: "s"}}, Limits: trafficset.Limits{BodyBytes: 1000},
		Accounts: []trafficset.Account{{Name: "acme", Keys: []string{"k"}}},
		Routes: []trafficset.Route{
			s.route("/safe/", trafficset.Idempotent, 2, false), s.route("/once/", trafficset.NonIdempotent, 2, false),
			s.route("/stream/", trafficset.Stream, 1, false), s.route("/resume/", trafficset.Stream, 2, true),
		},
	}
	require.NoError(t, set.Build())
	s.sets.set.Store(set)
	s.sets.restart()()
	budget := retrybudget.New(retrybudget.Limits{Ratio: 10, Allowance: 100, Window: time.Second}, time.Now)
	s.gateway = New(Options{
		Dialect: testDialect{}, Sets: s.sets, Directory: directory, Tracker: placement.NewTracker(), Pool: upstreamconn.NewPool(upstreamconn.Options{}),
		Budget: budget, Nodes: func() int { return 1 }, Log: zap.NewNop(), Metrics: gometrics.NewRegistry(),
	})
	s.front = httptest.NewServer(s.gateway)
	t.Cleanup(s.front.Close)
	return s
}

func (s *system) route(prefix string, kind trafficset.Kind, attempts int, resumable bool) trafficset.Route {
	return trafficset.Route{
		Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 2 * time.Second, FirstByteTarget: 100 * time.Millisecond,
		Attempts: attempts, Resumable: resumable, Targets: []trafficset.Target{{Service: "s", Weight: 1}},
	}
}

func (s *system) upstream(id string, answer reply) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, id, answer)
		}
	}()
	return listener.Addr().String()
}

func (s *system) serve(conn net.Conn, id string, answer reply) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.runs = append(s.runs, id+"/"+r.Header.Get("Last"))
		s.mu.Unlock()
		if !answer(conn, r, id) {
			return
		}
	}
}

func (s *system) startedRuns() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.runs...)
}

func (s *system) request(method, path, body string, change ...func(*http.Request)) *http.Request {
	r, err := http.NewRequest(method, s.front.URL+path, strings.NewReader(body))
	require.NoError(s.t, err)
	r.Host = "h"
	r.Header = http.Header{"Id": {"r1"}, "Key": {"k"}, "Deadline": {strconv.Itoa(s.deadlineMs)}}
	for _, c := range change {
		c(r)
	}
	return r
}

// call returns the status, the body and the error of reading the body.
func (s *system) call(method, path, body string, change ...func(*http.Request)) (int, string, error) {
	response, err := s.front.Client().Do(s.request(method, path, body, change...))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

func answerText(conn net.Conn, r *http.Request, status int, headers, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), headers, len(body), body)
	return err == nil
}

func good(conn net.Conn, r *http.Request, instance string) bool {
	return answers(200, "")(conn, r, instance)
}

func failing(conn net.Conn, r *http.Request, instance string) bool {
	return answerText(conn, r, 500, "Signed: "+instance+"\r\n", "error")
}

func full(conn net.Conn, r *http.Request, _ string) bool {
	return answerText(conn, r, 503, "Not-Run: 1\r\n", "")
}

func closeConnection(net.Conn, *http.Request, string) bool { return false }

// Guards against changes to an upstream's answer, and against giving an upstream more time than is left.
func TestAnswerIsPassedOn(t *testing.T) {
	timeLeft := make(chan int, 1)
	s := newSystem(t, func(conn net.Conn, r *http.Request, instance string) bool {
		ms, _ := strconv.Atoi(r.Header.Get("Left"))
		timeLeft <- ms
		return answerText(conn, r, 201, "Signed: s\r\nExtra: e\r\n", r.Method+r.RequestURI+r.Header.Get("Account")+r.Header.Get("Instance"))
	})
	response, err := s.front.Client().Do(s.request("POST", "/once/a%2fb?q=1", "body"))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, 201, response.StatusCode)
	require.Equal(t, "POST/once/a%2fb?q=1acmeu0", string(body))
	require.Equal(t, "e", response.Header.Get("Extra"))
	ms := <-timeLeft
	require.LessOrEqual(t, ms, 1500)
	require.Greater(t, ms, 1000)
}

// Guards against refusals with a wrong status: a node without a confirmed set must not answer 401 or 404.
func TestRefusals(t *testing.T) {
	s := newSystem(t, good)
	for _, c := range []struct {
		path   string
		change func(*http.Request)
		want   int
	}{
		{"/none/", func(*http.Request) {}, 404},
		{"/safe/", func(r *http.Request) { r.Host = "other" }, 404},
		{"/safe/", func(r *http.Request) { r.Header.Set("Key", "x") }, 401},
		{"/safe/", func(r *http.Request) { r.Header.Del("Key") }, 401},
		{"/safe/", func(r *http.Request) { r.Header.Del("Id") }, 400},
	} {
		status, _, err := s.call("GET", c.path, "", c.change)
		require.NoError(t, err)
		require.Equal(t, c.want, status, "%s", c.path)
	}
	status, _, err := s.call("POST", "/once/", strings.Repeat("x", 1001))
	require.NoError(t, err)
	require.Equal(t, 413, status)
	// After a start with a stored set, a newer set may have added or withdrawn the route or the key.
	confirm := s.sets.restart()
	for _, change := range []func(*http.Request){
		func(*http.Request) {}, func(r *http.Request) { r.Header.Set("Key", "x") }, func(r *http.Request) { r.Host = "other" },
	} {
		status, _, err := s.call("GET", "/safe/", "", change)
		require.NoError(t, err)
		require.Equal(t, 503, status)
	}
	confirm()
	s.sets.set.Store(nil)
	response, err := s.front.Client().Do(s.request("GET", "/none/", ""))
	require.NoError(t, err)
	require.Equal(t, 503, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Empty(t, s.startedRuns())
}

// Guards against running a non-idempotent request twice, a missing retry, and a false "not run".
func TestRepeats(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		replies []reply
		status  []int
		runs    int
	}{
		"idempotent, error":                {"/safe/", []reply{failing, failing}, []int{500}, 2},
		"idempotent, hang-up":              {"/safe/", []reply{closeConnection, closeConnection}, []int{502}, 2},
		"non-idempotent, error":            {"/once/", []reply{failing, failing}, []int{500}, 1},
		"non-idempotent, hang-up":          {"/once/", []reply{closeConnection, closeConnection}, []int{502}, 1},
		"non-idempotent, all full":         {"/once/", []reply{full, full}, []int{429, 503}, 2},
		"stream that cannot be resumed":    {"/stream/", []reply{closeConnection, closeConnection}, []int{502}, 1},
		"idempotent, one attempt is spent": {"/safe/", []reply{closeConnection, closeConnection, closeConnection}, []int{502}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, c.replies...)
			status, _, err := s.call("POST", c.path, "")
			require.NoError(t, err)
			require.Contains(t, c.status, status)
			require.Len(t, s.startedRuns(), c.runs)
		})
	}
}

// Guards against failing a request although another upstream can take it.
func TestRequestGoesToAnotherUpstream(t *testing.T) {
	for name, first := range map[string]reply{"full": full, "hang-up": closeConnection, "error": failing} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, first, good)
			for range 4 {
				status, body, err := s.call("GET", "/safe/", "")
				require.NoError(t, err)
				require.Equal(t, 200, status)
				require.Equal(t, "from u1", body)
			}
		})
	}
	s := newSystem(t, full, good)
	status, _, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status, "a request that did not run may be sent again")
}

// Guards against answering "not run" when an earlier send may have run.
func TestNoPromiseAfterAnUnknownRun(t *testing.T) {
	var number atomic.Int32
	answer := func(conn net.Conn, r *http.Request, instance string) bool {
		if number.Add(1) == 1 {
			return false
		}
		return full(conn, r, instance)
	}
	s := newSystem(t, answer, answer)
	status, _, err := s.call("GET", "/safe/", "")
	require.NoError(t, err)
	require.Equal(t, 502, status)
	require.Len(t, s.startedRuns(), 2)
}

// Guards against forwarding an answer to another request, an unsigned success, or a truncated answer.
func TestWrongAnswersAreNotPassedOn(t *testing.T) {
	for name, answer := range map[string]reply{
		"other id": func(conn net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r0\r\nSigned: s\r\nContent-Length: 2\r\n\r\nno")
			return true
		},
		"unsigned": func(conn net.Conn, r *http.Request, _ string) bool { return answerText(conn, r, 200, "", "no") },
		"short": func(conn net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nContent-Length: 9\r\n\r\nno", r.Header.Get("Id"))
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, answer)
			status, body, err := s.call("POST", "/once/", "")
			require.NoError(t, err)
			require.Equal(t, 502, status)
			require.NotContains(t, body, "\"no\"")
		})
	}
}

// Guards against answering long after the caller's deadline or the route's timeout.
func TestRequestEndsAtItsDeadline(t *testing.T) {
	s := newSystem(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	started := time.Now()
	status, _, err := s.call("POST", "/once/", "", func(r *http.Request) { r.Header.Set("Deadline", "300") })
	require.NoError(t, err)
	require.Equal(t, 504, status)
	require.Less(t, time.Since(started), 700*time.Millisecond)
}

// Guards against an upstream that continues to work after the caller has disconnected.
func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	gone := make(chan struct{})
	s := newSystem(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(gone)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		response, err := s.front.Client().Do(s.request("POST", "/once/", "").WithContext(ctx))
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return len(s.startedRuns()) == 1 }, time.Second, time.Millisecond)
	cancel()
	select {
	case <-gone:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream connection was not closed within 500 ms")
	}
}
