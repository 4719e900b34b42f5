package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// framing is how the end of a test upstream's answer is marked.
type framing struct {
	name, header string
	// length is set if the header needs the length of the body.
	length bool
	chunks bool
}

var framings = []framing{
	{name: "chunks", header: "Transfer-Encoding: chunked\r\n", chunks: true},
	{name: "length", header: "Content-Length: %d\r\n", length: true},
	{name: "neither"},
}

// end is how a test upstream ends its connection after the body.
type end int

const (
	closed end = iota
	// cut closes the connection before the end that the framing states.
	cut
	reset
)

// streamOf sends a body with a framing and ends the connection.
func streamOf(f framing, body string, end end) reply {
	return func(conn net.Conn, r *http.Request, instance string) bool {
		header := f.header
		if f.length {
			length := len(body)
			if end != closed {
				length++
			}
			header = fmt.Sprintf(header, length)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\nContent-Type: text/event-stream\r\n%s\r\n", r.Header.Get("Id"), instance, header)
		content := body
		if f.chunks && body != "" {
			content = strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n"
		}
		_, _ = io.WriteString(conn, content)
		if f.chunks && end == closed {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
		if end == reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

const (
	twoEvents = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	lastEvent = "id: 3\ndata: x\n\n"
)

// Guards against a stream that its upstream broke off inside an event and that looks complete to the caller, with a part of an
// event at its end.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	for _, f := range framings {
		for name, c := range map[string]struct {
			rest     string
			end      end
			complete bool
		}{
			"at an event boundary": {"", closed, true},
			"blank line after it":  {"\r\n", closed, true},
			"inside an event":      {"id: 3\ndata: pa", closed, false},
			"after a line":         {"id: 3\ndata: x\n", closed, false},
			"cut inside an event":  {"id: 3\ndata: pa", cut, false},
			"reset":                {"", reset, false},
		} {
			t.Run(f.name+", "+name, func(t *testing.T) {
				broken := streamOf(f, twoEvents+c.rest, c.end)
				s := newSystem(t, broken)
				status, body, err := s.call("POST", "/stream/", "")
				if c.complete {
					require.NoError(t, err)
					require.Equal(t, 200, status)
					require.Equal(t, twoEvents+c.rest, body)
					return
				}
				if c.end == reset && status != 200 {
					require.Equal(t, 502, status, "the reset may overtake the events")
					return
				}
				require.Error(t, err, "the caller's connection is cut")
				require.Contains(t, twoEvents, body, "no part of an event is forwarded")

				var number atomic.Int32
				answer := func(conn net.Conn, r *http.Request, instance string) bool {
					if number.Add(1) == 1 {
						return broken(conn, r, instance)
					}
					return events(1, 3, true)(conn, r, instance)
				}
				s = newSystem(t, answer, answer)
				status, body, err = s.call("POST", "/resume/", "")
				require.NoError(t, err)
				require.Equal(t, 200, status)
				require.Equal(t, twoEvents+lastEvent, body)
				require.Len(t, s.startedRuns(), 2)
			})
		}
	}
}

// Guards against an upstream that ends its connection after the head and makes a caller take an empty stream for a complete
// answer. A stream that is resumed after its last event has nothing left to send.
func TestStreamWithoutLengthAndEvents(t *testing.T) {
	empty := streamOf(framings[2], "", closed)
	s := newSystem(t, empty)
	status, _, err := s.call("POST", "/stream/", "")
	require.NoError(t, err)
	require.Equal(t, 502, status)
	status, body, err := s.call("POST", "/resume/", "", func(r *http.Request) { r.Header.Set("Last", "3") })
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Empty(t, body)
}
