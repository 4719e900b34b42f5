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
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/bytebudget"
	"github.com/wasabishunt/wasabishunt/callers"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// smallBuffers is the size of the socket buffers on the way to slow callers, so that a write soon waits for the caller.
const smallBuffers = 32 << 10

// smallBufferListener accepts connections with a small send buffer.
type smallBufferListener struct{ net.Listener }

// Accept implements net.Listener.
func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(smallBuffers)
	}
	return conn, err
}

// takeoverTime is more than the time from the begin of a write until the stream is read ahead.
const takeoverTime = slowCheckInterval + 2*slowWriteDelay

// slowSystem is a system behind the server of callers, on connections with small buffers. A budget of memory bounds what it holds.
type slowSystem struct {
	*system
	address string
	lines   *observer.ObservedLogs
}

func newSlowSystem(t *testing.T, memory int64, replies ...reply) *slowSystem {
	t.Helper()
	s := newSystem(t, replies...)
	core, lines := observer.New(zap.InfoLevel)
	s.gateway.options.Log = zap.New(core)
	s.gateway.options.Memory = bytebudget.New(memory)
	set := *s.sets.Set()
	set.Accounts = append([]trafficset.Account{{Name: "other", Keys: []string{"k2"}}}, set.Accounts...)
	set.Routes = nil
	for _, route := range []trafficset.Route{s.route("/stream/", trafficset.Stream, 1, false), s.route("/resume/", trafficset.Stream, 2, true), s.route("/once/", trafficset.NonIdempotent, 2, false)} {
		route.Timeout = 30 * time.Second
		set.Routes = append(set.Routes, route)
	}
	set.Limits.BodyBytes = memory
	require.NoError(t, set.Build())
	s.sets.set.Store(&set)
	s.deadlineMs = 30_000
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &callers.Server{Handler: s.gateway, Log: zap.New(core)}
	server.SetLimits(callers.Limits{IdleTimeout: 10 * time.Second})
	go func() { _ = server.Serve(smallBufferListener{listener}) }()
	t.Cleanup(func() { _ = listener.Close() })
	return &slowSystem{system: s, address: listener.Addr().String(), lines: lines}
}

// open sends a request on a connection with a small receive buffer, and returns the connection and what reads from it.
func (s *slowSystem) open(path, id, key string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.(*net.TCPConn).SetReadBuffer(smallBuffers))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: %s\r\nDeadline: %d\r\nContent-Length: 0\r\n\r\n", path, id, key, s.deadlineMs)
	require.NoError(s.t, err)
	return conn, bufio.NewReaderSize(conn, smallBuffers)
}

// readAll reads the body of an answer.
func readAll(t *testing.T, reader *bufio.Reader) (string, error) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

const longEventBytes = 1000

func longEvent(number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("x", longEventBytes))
}

func longEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(longEvent(i))
	}
	return b.String()
}

// longStream sends events after the last one that the request names, calls written after the last event of those, and ends the answer in
// order or by closing the connection.
func longStream(count int, complete bool, written func()) reply {
	return func(conn net.Conn, r *http.Request, instance string) bool {
		from := 1
		if last, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
			from = last + 1
		}
		_ = conn.(*net.TCPConn).SetWriteBuffer(smallBuffers)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), instance)
		for i := from; i <= count && err == nil; i++ {
			event := longEvent(i)
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if err == nil {
			written()
		}
		if !complete || err != nil {
			return false
		}
		_, err = io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// slowLine waits for the log line on a slow caller and returns what was used up.
func (s *slowSystem) slowLine(within time.Duration) string {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.lines.FilterMessage("slow caller cut off").Len() > 0 }, within, 5*time.Millisecond)
	return s.lines.FilterMessage("slow caller cut off").All()[0].ContextMap()["out_of"].(string)
}

// slowStreamEvents is the number of events of a stream that is longer than all socket buffers between an engine and its caller.
const slowStreamEvents = 400
