package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// endlessBytes is the number of bytes that an endless upstream sends if its connection is not closed.
	endlessBytes = 1 << 30
	// maxWritten is far below endlessBytes, and above all limits plus the buffers of a loopback connection, in bytes.
	maxWritten = 64 << 20
	// maxHeap is the heap growth in bytes that a small entry VM can tolerate.
	maxHeap = 48 << 20
)

// endlessReply sends the text of begin and then the text of repeated again and again until the connection is closed. It
// adds the bytes sent to written.
func endlessReply(repeated string, begin func(r *http.Request) string, written *atomic.Int64) reply {
	block := strings.Repeat(repeated, 1+(64<<10)/len(repeated))
	return func(conn net.Conn, r *http.Request, _ string) bool {
		if _, err := io.WriteString(conn, begin(r)); err != nil {
			return false
		}
		for written.Load() < endlessBytes {
			n, err := io.WriteString(conn, block)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
		return false
	}
}

// Guards against an upstream that sends an endless head, body, event or rejection: the entry's memory fills up, and the
// caller waits until its deadline or gets a truncated answer as complete.
func TestBytesWithoutEnd(t *testing.T) {
	head := func(status, more string) func(r *http.Request) string {
		return func(r *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nSigned: s\r\n%s", status, r.Header.Get("Id"), more)
		}
	}
	noHead := func(*http.Request) string { return "" }
	for name, c := range map[string]struct {
		path     string
		repeated string
		begin    func(r *http.Request) string
		status   []int
	}{
		"no answer at all":             {"/once/", "x", noHead, []int{502}},
		"lines before a head":          {"/once/", "\r\n", noHead, []int{502}},
		"headers":                      {"/once/", "A: b\r\n", head("200 OK", ""), []int{502}},
		"one header":                   {"/once/", "x", head("200 OK", "A: "), []int{502}},
		"informational heads":          {"/once/", "HTTP/1.1 100 Continue\r\n\r\n", noHead, []int{502}},
		"body without length":          {"/once/", "x", head("200 OK", "\r\n"), []int{502}},
		"body of a failure":            {"/safe/", "x", head("500 X", "\r\n"), []int{502}},
		"chunks":                       {"/once/", "1\r\nx\r\n", head("200 OK", "Transfer-Encoding: chunked\r\n\r\n"), []int{502}},
		"chunk extensions":             {"/once/", "1;a=b\r\nx\r\n", head("200 OK", "Transfer-Encoding: chunked\r\n\r\n"), []int{502}},
		"one chunk extension":          {"/once/", "x", head("200 OK", "Transfer-Encoding: chunked\r\n\r\n1;a="), []int{502}},
		"trailers":                     {"/once/", "A: b\r\n", head("200 OK", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"), []int{502}},
		"refusal, body without length": {"/once/", "x", head("503 X", "Not-Run: 1\r\n\r\n"), []int{429, 503}},
		"event":                        {"/stream/", "x", head("200 OK", "\r\n"), []int{502}},
		"event of a resumable stream":  {"/resume/", "x", head("200 OK", "\r\n"), []int{502}},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			s := newSystem(t, endlessReply(c.repeated, c.begin, &written))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			started := time.Now()
			status, body, err := s.call("POST", c.path, "")
			require.NoError(t, err)
			require.Contains(t, c.status, status)
			require.Contains(t, body, "execution", "the entry itself must answer")
			require.Less(t, time.Since(started), time.Second, "the caller does not wait for its deadline of 1.5 s")
			runtime.GC()
			runtime.ReadMemStats(&after)
			require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(maxHeap))
			require.Less(t, written.Load(), int64(maxWritten))
		})
	}
}

// Guards against a stream whose second event never ends looking complete to the caller.
func TestEventWithoutEndBreaksTheStreamOff(t *testing.T) {
	var written atomic.Int64
	s := newSystem(t, endlessReply("x", func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n\r\nid: 1\ndata: x\n\ndata: ", r.Header.Get("Id"))
	}, &written))
	status, body, err := s.call("POST", "/stream/", "")
	require.Error(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "id: 1\ndata: x\n\n", body)
	require.Less(t, written.Load(), int64(maxWritten))
}

// Guards against a late duplicate of an answer on a reused connection: the next caller must get the answer to its own
// request, and the connection must not be used a third time.
func TestLateSecondCopyOfAnAnswer(t *testing.T) {
	var number atomic.Int32
	s := newSystem(t, func(conn net.Conn, r *http.Request, instance string) bool {
		if number.Add(1) == 2 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: s\r\nContent-Length: 7\r\n\r\nanother")
		}
		return answerText(conn, r, 200, "Signed: s\r\n", "answer to "+r.Header.Get("Id"))
	})
	for _, id := range []string{"r1", "r2", "r3"} {
		status, body, err := s.call("POST", "/once/", "", func(r *http.Request) { r.Header.Set("Id", id) })
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, "answer to "+id, body)
	}
	require.Len(t, s.startedRuns(), 3, "nothing ran twice")
}

// Guards against a wrong outcome when only two answers to another request arrive: it must be unknown.
func TestOnlyAnswersOfOthers(t *testing.T) {
	s := newSystem(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		for range 2 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r0\r\nSigned: s\r\nContent-Length: 2\r\n\r\nno")
		}
		return false
	})
	status, body, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, 502, status)
	require.Contains(t, body, "unknown")
	require.Len(t, s.startedRuns(), 1)
}

// paced sends chunks with a pause between them. It stops when the connection is closed.
func paced(pause time.Duration, chunks ...string) reply {
	return func(conn net.Conn, r *http.Request, instance string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), instance)
		for i, chunk := range chunks {
			if i > 0 {
				time.Sleep(pause)
			}
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
				return false
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// Guards against aborting a slow but intact stream: the pause between its events exceeds the stall timeout, and no other
// engine can continue it.
func TestSlowStreamIsNotCut(t *testing.T) {
	text := []string{"id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n"}
	for _, path := range []string{"/stream/", "/resume/"} {
		s := newSystem(t, paced(minStallTimeout+100*time.Millisecond, text...))
		status, body, err := s.call("POST", path, "", func(r *http.Request) { r.Header.Set("Deadline", "8000") })
		require.NoError(t, err, path)
		require.Equal(t, 200, status)
		require.Equal(t, strings.Join(text, ""), body)
	}
}

// excessOf calls a server that sends an event and ends its answer abruptly after a time, and returns how much longer that took. It is the reference
// for a bound in real time on a busy machine: an answer of a gateway passes through several times as many goroutines.
func excessOf(t *testing.T, end time.Duration) time.Duration {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		timer := time.NewTimer(end)
		defer timer.Stop()
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		<-timer.C
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	started := time.Now()
	response, err := server.Client().Get(server.URL)
	if !assert.NoError(t, err) {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	assert.Error(t, err)
	return time.Since(started) - end
}

// Guards against a stalled stream that never ends because single bytes keep arriving. A resumable stream must continue at
// another engine, any other stream must end at its deadline.
func TestStalledStreamEnds(t *testing.T) {
	// The bytes arrive for longer than the callers wait.
	trickle := append([]string{"id: 1\ndata: x\n\n"}, strings.Split(strings.Repeat("x", 400), "")...)
	var number atomic.Int32
	stalled := func(conn net.Conn, r *http.Request, instance string) bool {
		if number.Add(1) == 1 {
			return paced(50*time.Millisecond, trickle...)(conn, r, instance)
		}
		return events(1, 3, true)(conn, r, instance)
	}
	s := newSystem(t, stalled, stalled)
	s.extendTime()
	excess := make(chan time.Duration, 1)
	go func() { excess <- excessOf(t, minStallTimeout) }()
	started := time.Now()
	status, body, err := s.call("POST", "/resume/", "")
	took := time.Since(started)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", body)
	require.Len(t, s.startedRuns(), 2)
	require.Less(t, took, minStallTimeout+800*time.Millisecond+5*<-excess)

	const deadline = 1500 * time.Millisecond
	s = newSystem(t, paced(50*time.Millisecond, trickle...))
	s.extendTime()
	s.deadlineMs = int(deadline.Milliseconds())
	go func() { excess <- excessOf(t, deadline) }()
	started = time.Now()
	_, body, err = s.call("POST", "/stream/", "")
	took = time.Since(started)
	require.Error(t, err)
	require.Equal(t, "id: 1\ndata: x\n\n", body)
	require.Less(t, took, deadline+500*time.Millisecond+5*<-excess)
}

// Guards against a caller having to wait for the body of a rejection, of which only the head matters.
func TestSlowRefusalIsNotWaitedFor(t *testing.T) {
	s := newSystem(t, func(conn net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 100\r\n\r\n", r.Header.Get("Id"))
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	started := time.Now()
	status, _, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Contains(t, []int{429, 503}, status)
	require.Less(t, time.Since(started), time.Second, "the deadline is 1.5 s")
}
