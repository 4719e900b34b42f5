package callers

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/socketinput"
)

// serverLimitVariable makes the test binary run a Server with this idle limit instead of tests.
const serverLimitVariable = "GATEWAY_TEST_SERVER_IDLE_LIMIT"

func TestMain(m *testing.M) {
	if limit := os.Getenv(serverLimitVariable); limit != "" {
		serveInChild(limit)
		return
	}
	os.Exit(m.Run())
}

// serveInChild writes its address to standard output and serves until standard input ends. Another goroutine is always busy, as
// while a set is decoded: an idle process would see the sockets before the timers.
func serveInChild(limit string) {
	idle, err := time.ParseDuration(limit)
	if err != nil {
		panic(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }), Log: zap.NewNop()}
	s.SetLimits(Limits{IdleTimeout: idle})
	go func() { _ = s.Serve(listener) }()
	fmt.Println(listener.Addr())
	go func() {
		for {
			json.Valid([]byte(`{"routes":[{"name":"r","timeout":1000}]}`))
		}
	}()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// Guards against closing a connection at its idle limit although a request arrived before: a process that gets no processor for
// a moment finds both the expired limit and the request, and its caller got a reset instead of an answer.
func TestIdleLimitSparesRequestsThatArrivedInAPause(t *testing.T) {
	const limit = time.Second
	const callers, rounds, maxAttempts = 200, 4, 40
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), serverLimitVariable+"="+limit.String(), "GOMAXPROCS=1")
	stdin, err := child.StdinPipe()
	require.NoError(t, err)
	stdout, err := child.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, child.Start())
	defer func() {
		_ = child.Process.Signal(syscall.SIGCONT)
		_ = stdin.Close()
		_ = child.Wait()
	}()
	var address string
	_, err = fmt.Fscanln(stdout, &address)
	require.NoError(t, err)

	lost, valid := 0, 0
	for attempt := 0; valid < rounds && attempt < maxAttempts; attempt++ {
		if roundLost, inTime := askInPause(t, child.Process, address, callers, limit); inTime {
			lost += roundLost
			valid++
		}
	}
	require.Equal(t, rounds, valid, "rounds in which the process was stopped in time")
	require.Zero(t, lost, "requests without an answer, of %d", rounds*callers)
}

// askInPause opens connections to a server, stops its process while they are idle, sends a request on each within the limit, and
// lets the process go on after it. It returns the number of requests without an answer, and false if the first connection had been
// idle for the limit before the process was stopped: on a busy machine the server may then close it rightly.
func askInPause(t *testing.T, server *os.Process, address string, callers int, limit time.Duration) (lost int, inTime bool) {
	t.Helper()
	conns := make([]net.Conn, callers)
	readers := make([]*bufio.Reader, callers)
	for i := range callers {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		conns[i], readers[i] = conn, bufio.NewReader(conn)
	}
	began := time.Now()
	var group sync.WaitGroup
	for i, conn := range conns {
		group.Go(func() {
			_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			if err == nil {
				_, err = http.ReadResponse(readers[i], nil)
			}
			if err != nil {
				t.Errorf("first request of caller %d: %v", i, err)
			}
		})
	}
	group.Wait()
	require.NoError(t, server.Signal(syscall.SIGSTOP))
	var status syscall.WaitStatus
	_, err := syscall.Wait4(server.Pid, &status, syscall.WUNTRACED, nil)
	require.NoError(t, err)
	require.True(t, status.Stopped())
	if time.Since(began) >= limit {
		require.NoError(t, server.Signal(syscall.SIGCONT))
		return 0, false
	}
	for _, conn := range conns {
		_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
	}
	time.Sleep(limit + 100*time.Millisecond)
	require.NoError(t, server.Signal(syscall.SIGCONT))
	for i := range conns {
		if response, err := http.ReadResponse(readers[i], nil); err != nil || response.StatusCode != 204 {
			lost++
		}
	}
	return lost, true
}

// Guards against ignoring bytes that arrived before a header timeout or an idle limit: net reports an expired deadline without
// looking at the socket.
func TestReadReturnsWhatArrivedBeforeTheDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	s := &Server{Log: zap.NewNop()}
	conn := newCallerConn(accepted, s, &limitedServer{closed: make(chan struct{})})
	defer conn.Close()
	_, err = caller.Write([]byte("GET "))
	require.NoError(t, err)
	raw := rawConn(accepted)
	require.Eventually(t, func() bool {
		unread := 0
		require.NoError(t, raw.Control(func(fd uintptr) { unread, _ = socketinput.Peek(fd, make([]byte, 8)) }))
		return unread == 4
	}, 5*time.Second, time.Millisecond)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(-time.Second)))
	buffer := make([]byte, 8)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "GET ", string(buffer[:n]))
	_, err = conn.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against closing a connection at the idle limit of an earlier set: callers reuse connections for as long as the
// limit in force allows, so after a longer limit was published their requests met a closed connection.
func TestLongerIdleLimitHoldsForOpenConnections(t *testing.T) {
	const short, long = 500 * time.Millisecond, 30 * time.Second
	s, listener := startServer(t, Limits{IdleTimeout: short})
	conn, reader := connect(t, listener)
	idle, idleReader := connect(t, listener)
	require.Equal(t, 204, sendRequest(t, conn, reader, ""))
	require.Equal(t, 204, sendRequest(t, idle, idleReader, ""))
	awaitIdle(t, s, 2)
	s.SetLimits(Limits{IdleTimeout: long})
	require.Equal(t, 204, sendRequest(t, conn, reader, ""))
	time.Sleep(2 * short)
	require.Equal(t, 204, sendRequest(t, idle, idleReader, ""), "idle since before the change")
	require.Equal(t, 204, sendRequest(t, conn, reader, ""), "idle since after the change")
}

// Guards against a shorter limit that ends idle periods which callers began under a longer one, and against a limit that
// never reaches connections which were open before.
func TestShorterIdleLimitHoldsFromTheNextRequest(t *testing.T) {
	const short, long = 200 * time.Millisecond, 30 * time.Second
	s, listener := startServer(t, Limits{IdleTimeout: long})
	conn, reader := connect(t, listener)
	require.Equal(t, 204, sendRequest(t, conn, reader, ""))
	awaitIdle(t, s, 1)
	s.SetLimits(Limits{IdleTimeout: short})
	time.Sleep(2 * short)
	require.Equal(t, 204, sendRequest(t, conn, reader, ""))
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// awaitIdle waits until the server has so many idle connections.
func awaitIdle(t *testing.T, s *Server, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		idle := 0
		for c := range s.current.open {
			c.mu.Lock()
			if c.phase == phaseIdle {
				idle++
			}
			c.mu.Unlock()
		}
		return idle == count
	}, 5*time.Second, time.Millisecond)
}

func serverCount(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.servers)
}

// Guards against one more http.Server for each change of the limits, for as long as the process runs.
func TestServersOfEarlierLimitsEnd(t *testing.T) {
	s, listener := startServer(t, Limits{HeaderBytes: 10_000})
	conn, reader := connect(t, listener)
	require.Equal(t, 204, sendRequest(t, conn, reader, ""))
	for i := range 1000 {
		s.SetLimits(Limits{HeaderBytes: 20_000 + int64(i), IdleTimeout: time.Duration(i+1) * time.Second})
	}
	require.Equal(t, 2, serverCount(s), "the current one and that of the open connection")
	require.Equal(t, 204, sendRequest(t, conn, reader, ""))
	s.SetLimits(Limits{HeaderBytes: 10_000, IdleTimeout: time.Minute})
	require.Equal(t, 1, serverCount(s))
	second, secondReader := connect(t, listener)
	require.Equal(t, 204, sendRequest(t, second, secondReader, ""))
	s.SetLimits(Limits{HeaderBytes: 30_000})
	require.NoError(t, conn.Close())
	require.NoError(t, second.Close())
	require.Eventually(t, func() bool { return serverCount(s) == 1 }, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	s.Shutdown(ctx)
}

// Guards against refusing a request whose body arrived before its time limit, while this process got no processor.
func TestBodyThatArrivedBeforeTheDeadlineIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	reading, arrived := make(chan struct{}), make(chan struct{})
	s := &Server{Log: zap.NewNop(), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(reading)
		<-arrived
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(-time.Millisecond))
		body, err := io.ReadAll(r.Body)
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		_, _ = fmt.Fprintf(w, "%s %v", body, err)
	})}
	go func() { _ = s.Serve(listener) }()
	conn, reader := connect(t, listener)
	_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
	require.NoError(t, err)
	<-reading
	_, err = fmt.Fprint(conn, "hello")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.openConns()[0].unread() == 5 }, 5*time.Second, time.Millisecond)
	close(arrived)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "hello <nil>", string(answer))
}
