package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// repeatingRefusals is a faulty engine that refuses each request id once and runs it the next time. It writes a refusal once more
// when the next request arrives on its connection, before or after it runs that request.
type repeatingRefusals struct {
	afterTheRun bool

	mu      sync.Mutex
	refused map[string]bool
	// copies holds the refusal to write once more, by connection.
	copies map[net.Conn]string
	// runs counts the runs by request id.
	runs map[string]int
}

func newRepeatingRefusals(afterTheRun bool) *repeatingRefusals {
	return &repeatingRefusals{afterTheRun: afterTheRun, refused: map[string]bool{}, copies: map[net.Conn]string{}, runs: map[string]int{}}
}

func (e *repeatingRefusals) answer(conn net.Conn, r *http.Request, instance string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get("Id")
	again := e.copies[conn]
	delete(e.copies, conn)
	if !e.refused[id] {
		e.refused[id] = true
		e.copies[conn] = fmt.Sprintf("HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		_, err := io.WriteString(conn, again+e.copies[conn])
		return err == nil
	}
	e.runs[id]++
	if !e.afterTheRun {
		_, _ = io.WriteString(conn, again)
	}
	event := "id: 1\ndata: " + id + "\n\n"
	ok := answerText(conn, r, 200, "Signed: "+instance+"\r\n", event)
	if e.afterTheRun {
		_, _ = io.WriteString(conn, again)
	}
	return ok
}

func (e *repeatingRefusals) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// shareAddress puts all instances at the address of the first one, as when an address is used again.
func (s *system) shareAddress(names ...string) {
	address := s.gateway.options.Directory.View().Instances[0].Address
	var list []upstreams.Instance
	for _, name := range names {
		list = append(list, upstreams.Instance{ID: name, Service: "s", Address: address, Versions: map[string]uint64{}})
	}
	s.gateway.options.Directory.ApplyList(list, s.gateway.started)
}

// Guards against taking an earlier refusal, written once more on a kept connection, for the answer to a request that runs: the
// caller would be told that it did not run, or it would run twice.
func TestRefusalThatIsWrittenOnceMore(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/", "/resume/", "/safe/"} {
		for _, afterTheRun := range []bool{false, true} {
			for _, instances := range [][]string{{"u0"}, {"u0", "u1"}, {"u0", "u1", "u2"}} {
				t.Run(fmt.Sprintf("%s after=%v instances=%d", path, afterTheRun, len(instances)), func(t *testing.T) {
					engine := newRepeatingRefusals(afterTheRun)
					s := newSystem(t, engine.answer)
					s.shareAddress(instances...)
					promised := map[string]bool{}
					for _, id := range []string{"r1", "r1", "r2", "r3", "r2", "r3", "r4", "r4", "r1"} {
						before := engine.runsOf(id)
						status, body, err := s.call("POST", path, "", func(r *http.Request) { r.Header.Set("Id", id) })
						require.NoError(t, err)
						ran := engine.runsOf(id) - before
						require.LessOrEqual(t, ran, 1, "%s ran twice within one request", id)
						switch status {
						case 200:
							require.Equal(t, 1, ran)
							require.Equal(t, "id: 1\ndata: "+id+"\n\n", body)
						case 429, 503:
							require.Zero(t, ran, "%s ran, but the caller was told that it did not", id)
							require.False(t, promised[id], "the engine refuses an id once only")
							promised[id] = true
						default:
							t.Fatalf("status %d for %s", status, id)
						}
					}
				})
			}
		}
	}
}

// Guards against opening a connection for each request: only an id that a connection has already carried may need another one. The clock of the
// pool stands still, because on a busy machine the connection may be idle for longer than it is kept.
func TestConnectionIsKeptForOtherIDs(t *testing.T) {
	var mu sync.Mutex
	connections := map[net.Conn]bool{}
	s := newSystem(t, func(conn net.Conn, r *http.Request, instance string) bool {
		mu.Lock()
		defer mu.Unlock()
		connections[conn] = true
		return good(conn, r, instance)
	})
	s.extendTime()
	now := time.Now()
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{DialTimeout: s.deadline(), Now: func() time.Time { return now }})
	for i := range 100 {
		status, _, err := s.call("POST", "/once/", "", func(r *http.Request) { r.Header.Set("Id", fmt.Sprint("r", i)) })
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	require.Len(t, connections, 1)
}
