package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a status that is no answer and that reaches a caller as one, in whatever part of a stream, and against a caller that waits for
// its deadline because of it.
func TestStatusThatIsNoAnswerStaysAtTheNode(t *testing.T) {
	const rest = "Signed: s\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n"
	const event = "id: 1\ndata: a\n\n"
	odd := map[string]reply{}
	for _, status := range []string{"000", "001", "020", "099", "0200", "2000", "20", "2", "", "-20", "+20", "2x0", "20O", "10000", "٢٠٠"} {
		odd[status] = rawAnswer(status+" X", rest, event)
		odd[status+" without reason"] = rawAnswer(status, rest, event)
		odd[status+" after an interim answer"] = func(conn net.Conn, r *http.Request, instance string) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 103 X\r\n\r\n")
			return rawAnswer(status+" X", rest, event)(conn, r, instance)
		}
	}
	for _, status := range []string{"100", "101", "102", "103", "150", "199"} {
		odd[status+" alone"] = rawAnswer(status+" X", rest, event)
		odd[status+" without end"] = func(conn net.Conn, r *http.Request, _ string) bool {
			interim := fmt.Sprintf("HTTP/1.1 %s X\r\nId: %s\r\nSigned: s\r\n\r\n", status, r.Header.Get("Id"))
			block := strings.Repeat(interim, 100)
			var err error
			for err == nil {
				_, err = io.WriteString(conn, block)
			}
			return false
		}
	}
	for name, answer := range odd {
		for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				s := newSystem(t, answer, answer)
				begin := time.Now()
				status, body, err := s.call("POST", path, "x")
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, status, body)
				require.Contains(t, body, "upstream_failed")
				require.NotContains(t, body, "data: a")
				require.Less(t, time.Since(begin), time.Duration(s.deadlineMs)*time.Millisecond)
			})
		}
		t.Run(name+" in a resumed stream", func(t *testing.T) {
			t.Parallel()
			requireNothingOf(t, answer, 2)
		})
	}
}
