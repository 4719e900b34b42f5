package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/trafficset"
)

// Guards against a request target that reaches the upstream in another form: with two slashes in front it became the absolute
// form of another host.
func TestTargetIsPassedOnAsItCame(t *testing.T) {
	s := newSystem(t, func(conn net.Conn, r *http.Request, _ string) bool {
		return answerText(conn, r, 200, "Signed: s\r\n", r.Host+" "+r.RequestURI)
	})
	set := *s.sets.Set()
	set.Routes = []trafficset.Route{s.route("/", trafficset.Idempotent, 2, false)}
	require.NoError(t, set.Build())
	s.sets.set.Store(&set)
	for _, target := range []string{
		"//a/b", "//a/b?q=//c", "//a?", "//", "///a", "//a%2fb/%2e/../c", "//a//b/", "//a:80/b@c", "//a%7cb", "//a;b=c,d",
		"/a//b", "/a|b", "/a?", "/a%2fb?c=%2f", "/", "http://h/a", "http://h//a",
	} {
		conn, err := net.Dial("tcp", s.front.Listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nDeadline: 1500\r\nConnection: close\r\n\r\n", target)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, target)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		require.Equal(t, "h "+target, string(body))
	}
}
