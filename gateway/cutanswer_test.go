package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// answerKinds are complete answers in each framing, and the routes on which they are answers.
var answerKinds = map[string]struct {
	paths        []string
	head, framed string
	body         string
}{
	"with length":        {[]string{"/once/", "/safe/"}, "Content-Length: 4\r\n", "body", "body"},
	"in chunks":          {[]string{"/once/", "/safe/"}, "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", "body"},
	"stream in chunks":   {[]string{"/stream/", "/resume/"}, "Transfer-Encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", "id: 1\ndata: a\n\n"},
	"stream with length": {[]string{"/stream/", "/resume/"}, "Content-Length: 15\r\n", "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n"},
}

// callCut calls a path while each instance breaks off its answer after a number of bytes.
func callCut(t *testing.T, path, answer string, bytes int) (int, string, error) {
	t.Helper()
	cut := func(conn net.Conn, r *http.Request, _ string) bool {
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "ID", r.Header.Get("Id"))[:bytes])
		return false
	}
	s := newSystem(t, cut, cut)
	defer s.front.Close()
	return s.call("POST", path, "x")
}

// Guards against an answer that an instance broke off, in its head or its body, and that the caller gets as a complete one, empty or
// short.
func TestAnswerCutAnywhereIsNotComplete(t *testing.T) {
	for name, kind := range answerKinds {
		for _, path := range kind.paths {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Type: text/plain\r\n%s\r\n%s", kind.head, kind.framed)
				status, body, err := callCut(t, path, answer, len(answer))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, kind.body, body)
				for bytes := range len(answer) {
					status, body, err := callCut(t, path, answer, bytes)
					complete := err == nil && status < http.StatusMultipleChoices && status > 0
					require.False(t, complete, "cut after %q: %d with body %q", answer[:bytes], status, body)
				}
			})
		}
	}
}

// Guards against an interim answer that is passed on as the final one: the caller gets a 200 without a body.
func TestInterimAnswerIsNotTheAnswer(t *testing.T) {
	for _, status := range []int{100, 101, 103, 199} {
		interim := fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\nSigned: 1\r\n\r\n", status)
		for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
			got, _, err := callCut(t, path, interim, len(interim))
			require.True(t, err != nil || got >= http.StatusInternalServerError, "%d: %d", status, got)
		}
		final := "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: 4\r\n\r\nbody"
		got, body, err := callCut(t, "/once/", interim+final, len(interim+final))
		if status == http.StatusSwitchingProtocols {
			require.True(t, err != nil || got >= http.StatusInternalServerError, "%d", got)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, got)
		require.Equal(t, "body", body)
	}
}
