package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rawAnswer sends an answer with the id of the request and these further headers and bytes, then closes the connection.
func rawAnswer(status, headers, body string) reply {
	return func(conn net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: %s\r\n%s\r\n%s", status, r.Header.Get("Id"), headers, body)
		return false
	}
}

// secondAnswers are what an engine may say to a stream that it is to go on with, and that is no continuation of it.
func secondAnswers() map[string]reply {
	sized := func(body string) string { return fmt.Sprintf("Secret-Head: 1\r\nContent-Length: %d\r\n", len(body)) }
	const text, event = "secret text", "id: 2\ndata: secret text\n\n"
	chunked := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text) }
	out := map[string]reply{
		"hang-up": closeConnection, "garbage": func(conn net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(conn, "secret garbage\r\n\r\n")
			return false
		},
		"part of a head": func(conn net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 500 X\r\nSecret-He")
			return false
		},
		"chunked 500": rawAnswer("500 X", "Signed: s\r\nTransfer-Encoding: chunked\r\n", chunked(text)), "chunked 500 cut off": rawAnswer("500 X", "Signed: s\r\nTransfer-Encoding: chunked\r\n", "ff\r\nsecret"),
		"500 that looks like an event": rawAnswer("500 X", "Signed: s\r\nContent-Type: text/event-stream\r\n"+sized(event), event), "500 without length": rawAnswer("500 X", "Signed: s\r\n", text),
		"refusal": rawAnswer("503 X", "Not-Run: 1\r\n"+sized(text), text), "refusal by another instance": rawAnswer("421 X", "Not-Run: 1\r\n"+sized(text), text),
		"head of a refusal": rawAnswer("503 X", "Not-Run: 1\r\nContent-Length: 100\r\n", "sec"),
		"204":               rawAnswer("204 X", "Signed: s\r\n", ""), "other success": rawAnswer("206 X", "Signed: s\r\n"+sized(event), event),
		"unsigned events": rawAnswer("200 X", "Content-Type: text/event-stream\r\n"+sized(event), event), "unsigned text": rawAnswer("200 X", sized(text), text), "unsigned nothing": rawAnswer("200 X", sized(""), ""),
		"answer of another request": func(conn net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 500 X\r\nId: other\r\nContent-Length: 6\r\n\r\nsecret")
			return false
		},
	}
	for _, status := range []int{400, 401, 404, 408, 413, 429, 500, 502, 503, 504} {
		out[fmt.Sprint(status)] = rawAnswer(fmt.Sprint(status, " X"), "Signed: s\r\n"+sized(text), text)
		out[fmt.Sprint(status, " head only")] = rawAnswer(fmt.Sprint(status, " X"), "Signed: s\r\n"+sized(""), "")
	}
	return out
}

// Guards against the error of a second engine in the middle of a stream, and against a stream that ends as if it were complete.
func TestErrorOfASecondEngineStaysOutOfTheStream(t *testing.T) {
	for name, second := range secondAnswers() {
		for _, instances := range []int{2, 3} {
			t.Run(fmt.Sprintf("%s, %d instances", name, instances), func(t *testing.T) { requireNothingOf(t, second, instances) })
		}
	}
}

// Guards against a second engine that stops within the head of its answer or before its first event, and ends the stream as if it
// were complete.
func TestSecondEngineThatStopsInItsHeadEndsNoStream(t *testing.T) {
	for name, framing := range map[string]string{"with length": "Content-Length: 15\r\n", "in chunks": "Transfer-Encoding: chunked\r\n", "without length": ""} {
		head := "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n"
		t.Run(name, func(t *testing.T) {
			for bytes := range len(head) + 1 {
				requireNothingOf(t, func(conn net.Conn, r *http.Request, _ string) bool {
					_, _ = io.WriteString(conn, strings.ReplaceAll(head, "ID", r.Header.Get("Id"))[:bytes])
					return false
				}, 2)
			}
		})
	}
}

// requireNothingOf lets a stream break off after its first event, and requires that the caller gets nothing of what the next
// instances answer and sees that the stream is not complete.
func requireNothingOf(t *testing.T, second reply, instances int) {
	t.Helper()
	var number atomic.Int32
	answer := func(conn net.Conn, r *http.Request, instance string) bool {
		if number.Add(1) == 1 {
			return events(1, 1, false)(conn, r, instance)
		}
		return second(conn, r, instance)
	}
	s := newSystem(t, answer, answer, answer)
	s.keepInstances(instances)
	response, err := s.front.Client().Do(s.request("POST", "/resume/", ""))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.Error(t, err, "the stream must not look complete")
	require.Equal(t, "id: 1\ndata: x\n\n", string(body))
	require.Equal(t, 200, response.StatusCode)
	require.Empty(t, response.Header.Get("Secret-Head"))
	require.Empty(t, response.Trailer)
	require.GreaterOrEqual(t, len(s.startedRuns()), 2)
}

// Guards against the body of a signed success that is no continuation of the stream.
func TestSecondEngineWithoutEventsStaysOutOfTheStream(t *testing.T) {
	const text = "secret text"
	sized := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
	chunked := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text) }
	for name, second := range map[string]reply{
		"signed page with an event": rawAnswer("200 X", "Signed: s\r\nContent-Type: text/html\r\n"+sized("id: 2\ndata: secret\n\n"), "id: 2\ndata: secret\n\n"),
		"signed page":               rawAnswer("200 X", "Signed: s\r\nContent-Type: text/html\r\n"+sized(text+"\n\n"), text+"\n\n"), "signed page, chunked": rawAnswer("200 X", "Signed: s\r\nContent-Type: text/html; charset=utf-8\r\nTransfer-Encoding: chunked\r\n", chunked(text)),
		"signed text without a type": rawAnswer("200 X", "Signed: s\r\n"+sized(text), text), "signed lines without a type": rawAnswer("200 X", "Signed: s\r\n"+sized(text+"\n\n"+text), text+"\n\n"+text),
		"event without an id": rawAnswer("200 X", "Signed: s\r\nContent-Type: text/event-stream\r\n"+sized("data: secret\n\n"), "data: secret\n\n"),
	} {
		t.Run(name, func(t *testing.T) { requireNothingOf(t, second, 3) })
	}
}

// Guards against a problem of this node's own in the middle of a stream: no instance is left, no connection can be opened, or
// the deadline passes.
func TestOwnProblemStaysOutOfTheStream(t *testing.T) {
	silent := func(conn net.Conn, _ *http.Request, _ string) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
	for name, c := range map[string]struct {
		second    reply
		instances int
		change    func(*system)
	}{
		"no instance is left": {closeConnection, 1, func(*system) {}},
		"deadline":            {silent, 2, func(*system) {}},
		"no connection":       {closeConnection, 2, func(s *system) { s.breakAddressesAfterTheFirst() }},
	} {
		t.Run(name, func(t *testing.T) {
			var number atomic.Int32
			var s *system
			answer := func(conn net.Conn, r *http.Request, instance string) bool {
				if number.Add(1) == 1 {
					c.change(s)
					return events(1, 1, false)(conn, r, instance)
				}
				return c.second(conn, r, instance)
			}
			s = newSystem(t, answer, answer)
			s.keepInstances(c.instances)
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /resume/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nDeadline: 1000\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			raw, err := io.ReadAll(conn)
			require.NoError(t, err, "the connection must be closed")
			_, body, found := strings.Cut(string(raw), "\r\n\r\n")
			require.True(t, found)
			require.Equal(t, "f\r\nid: 1\ndata: x\n\n\r\n", body, "one chunk, no last chunk, nothing else before the connection is closed")
		})
	}
}

// keepInstances keeps only the first instances in the list.
func (s *system) keepInstances(count int) {
	d := s.gateway.options.Directory
	d.ApplyList(d.View().Instances[:count:count], s.gateway.started)
}

// breakAddressesAfterTheFirst replaces all addresses by one that refuses connections; requests in progress are not affected.
func (s *system) breakAddressesAfterTheFirst() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	address := listener.Addr().String()
	require.NoError(s.t, listener.Close())
	d := s.gateway.options.Directory
	list := append(d.View().Instances[:0:0], d.View().Instances...)
	for i := range list {
		list[i].Address = address
	}
	d.ApplyList(list, s.gateway.started)
}
