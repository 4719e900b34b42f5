package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/bytebudget"
	"github.com/wasabishunt/wasabishunt/callers"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// newSlowBodySystem returns a system behind the server of callers, whose route waits 8 s and whose set has an idle limit, and its address.
func newSlowBodySystem(t *testing.T, idle time.Duration) (*system, string) {
	t.Helper()
	s := newSystem(t, good)
	s.gateway.options.Memory = bytebudget.New(testMemory)
	set := *s.sets.Set()
	set.Limits = trafficset.Limits{BodyBytes: largeBody, IdleTimeout: idle}
	route := s.route("/once/", trafficset.NonIdempotent, 2, false)
	route.Timeout = 8 * time.Second
	set.Routes = []trafficset.Route{route}
	require.NoError(t, set.Build())
	s.sets.set.Store(&set)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &callers.Server{Handler: s.gateway, Log: zap.NewNop()}
	server.SetLimits(callers.Limits{IdleTimeout: idle})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return s, listener.Addr().String()
}

const (
	slowPiece  = 16 << 10
	slowPieces = 12
)

// sendSlowly sends a body in pieces with pauses, of known length or in chunks. It returns the status, 0 without an answer.
func (s *system) sendSlowly(address string, deadline, pause time.Duration, pieces int, chunked bool) (status int, body string) {
	conn, err := net.Dial("tcp", address)
	require.NoError(s.t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	framing := fmt.Sprintf("Content-Length: %d", slowPieces*slowPiece)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err = fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nDeadline: %d\r\n%s\r\n\r\n", deadline.Milliseconds(), framing)
	require.NoError(s.t, err)
	go func() {
		for i := range pieces {
			if i > 0 {
				time.Sleep(pause)
			}
			piece := strings.Repeat("x", slowPiece)
			if chunked {
				piece = fmt.Sprintf("%x\r\n%s\r\n", slowPiece, piece)
			}
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
		}
		if chunked && pieces == slowPieces {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	content, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return response.StatusCode, string(content)
}

func requireNothingHeld(t *testing.T, s *system) {
	t.Helper()
	require.Eventually(t, func() bool { return s.gateway.options.Memory.Used() == 0 && s.gateway.Active() == 0 }, 3*time.Second, time.Millisecond)
}

// Guards against the refusal of a body that takes longer than 5 s, although its caller and the route wait longer.
func TestSlowBodyIsServed(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run("chunked="+strconv.FormatBool(chunked), func(t *testing.T) {
			t.Parallel()
			s, address := newSlowBodySystem(t, 2*time.Second)
			status, body := s.sendSlowly(address, 8*time.Second, 500*time.Millisecond, slowPieces, chunked)
			require.Equal(t, http.StatusOK, status, body)
			require.Len(t, s.startedRuns(), 1)
			requireNothingHeld(t, s)
		})
	}
}

// Guards against a body that never ends and holds memory beyond the time of its request or the idle limit, and against an end of it that
// callers must not repeat although nothing ran.
func TestBodyThatDoesNotArriveIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		idle, deadline time.Duration
		pieces         int
		atLeast        time.Duration
	}{
		"the caller's time ends":            {10 * time.Second, 600 * time.Millisecond, slowPieces, 600 * time.Millisecond},
		"progress beyond the caller's time": {300 * time.Millisecond, 900 * time.Millisecond, slowPieces, 900 * time.Millisecond},
		"longer pause than allowed":         {300 * time.Millisecond, 7 * time.Second, 4, 450 * time.Millisecond},
		"no byte of the body":               {300 * time.Millisecond, 7 * time.Second, 0, 300 * time.Millisecond},
		"a set without an idle limit":       {0, 600 * time.Millisecond, 4, 600 * time.Millisecond},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(name+"/chunked="+strconv.FormatBool(chunked), func(t *testing.T) {
				t.Parallel()
				s, address := newSlowBodySystem(t, c.idle)
				begin := time.Now()
				status, body := s.sendSlowly(address, c.deadline, 150*time.Millisecond, c.pieces, chunked)
				require.Equal(t, http.StatusRequestTimeout, status, body)
				require.Contains(t, body, `"type":"body_timeout"`)
				require.Contains(t, body, `"execution":"not_run"`)
				require.GreaterOrEqual(t, time.Since(begin), c.atLeast)
				require.Less(t, time.Since(begin), 5*time.Second)
				requireNothingHeld(t, s)
				require.Empty(t, s.startedRuns())
			})
		}
	}
}
