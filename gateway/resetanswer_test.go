package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/bytebudget"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// resetBody is more than the socket buffers hold, so that the request is still written when its answer arrives.
	resetBody  = 32 << 20
	resetTries = 150
)

// earlyUpstream answers a request before it has read the body.
type earlyUpstream func(conn *net.TCPConn, reader *bufio.Reader, r *http.Request)

// newEarlySystem returns a system with one upstream that closes its connections after an answer.
func newEarlySystem(t *testing.T, upstream earlyUpstream) *system {
	t.Helper()
	s := newSystem(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				if r, err := http.ReadRequest(reader); err == nil {
					upstream(conn.(*net.TCPConn), reader, r)
				}
			}()
		}
	}()
	instance := upstreams.Instance{ID: "early", Service: "s", Address: listener.Addr().String(), Versions: map[string]uint64{}}
	s.gateway.options.Directory.ApplyList([]upstreams.Instance{instance}, time.Now())
	s.gateway.options.Memory = bytebudget.New(1 << 30)
	set := *s.sets.Set()
	set.Limits.BodyBytes = resetBody
	require.NoError(t, set.Build())
	s.sets.set.Store(&set)
	return s
}

const earlyEvents = "id: 1\ndata: x\n\n"

func writeEarlyAnswer(conn net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Id"), earlyEvents)
}

// callMany makes calls, a few at a time, and returns how many got a complete answer with status 200.
func (s *system) callMany(path, body string, tries int) (complete int) {
	var answered atomic.Int64
	var workers sync.WaitGroup
	var number atomic.Int64
	for range 4 {
		workers.Go(func() {
			for i := number.Add(1); i <= int64(tries); i = number.Add(1) {
				status, content, err := s.call("POST", path, body, func(r *http.Request) { r.Header.Set("Id", fmt.Sprint("r", i)) })
				if err == nil && status == http.StatusOK && content == earlyEvents {
					answered.Add(1)
				}
			}
		})
	}
	workers.Wait()
	return int(answered.Load())
}

// Guards against an answer without a length that is passed on as complete although its connection was reset while the request was written: the
// write had taken the error that the read would have needed.
func TestResetWithinAnAnswerIsNoEnd(t *testing.T) {
	for _, path := range []string{"/stream/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			s := newEarlySystem(t, func(conn *net.TCPConn, _ *bufio.Reader, r *http.Request) {
				writeEarlyAnswer(conn, r)
				_ = conn.SetLinger(0)
			})
			require.Zero(t, s.callMany(path, strings.Repeat("x", resetBody), resetTries), "answers that were cut off are complete")
		})
	}
}

// Guards against a complete answer without a length that counts as cut off because the request was still written when it ended.
func TestEarlyAnswerWithoutLengthIsComplete(t *testing.T) {
	const tries = 20
	for name, upstream := range map[string]earlyUpstream{
		"orderly close": func(conn *net.TCPConn, reader *bufio.Reader, r *http.Request) {
			// Unread bytes at a close would cause a reset in place of the FIN.
			_, _ = io.CopyN(io.Discard, reader, r.ContentLength)
			writeEarlyAnswer(conn, r)
		},
		"answer before the body": func(conn *net.TCPConn, reader *bufio.Reader, r *http.Request) {
			writeEarlyAnswer(conn, r)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, reader)
		},
		"close without reading on": func(conn *net.TCPConn, _ *bufio.Reader, r *http.Request) {
			writeEarlyAnswer(conn, r)
			_ = conn.CloseWrite()
			// The reset follows the FIN, as after a close with bytes on the way.
			_ = conn.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEarlySystem(t, upstream)
			s.extendTime()
			for _, path := range []string{"/stream/", "/once/"} {
				require.Equal(t, tries, s.callMany(path, strings.Repeat("x", 4<<20), tries), path)
			}
		})
	}
}
