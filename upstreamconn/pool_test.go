package upstreamconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
)

// upstream is a test server that counts connections and requests.
type upstream struct {
	net.Listener
	requests, connections atomic.Int32
}

func startUpstream(t *testing.T, answer func(conn net.Conn, reader *bufio.Reader, number int) (keepOpen bool)) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					number := int(u.requests.Add(1))
					if request.ContentLength < 100_000 {
						_, _ = io.Copy(io.Discard, request.Body)
					}
					if !answer(conn, reader, number) {
						return
					}
				}
			}()
		}
	}()
	return u
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func post(address, body string) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Opaque: "/x"}, Host: "h", Header: http.Header{},
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)), ProtoMajor: 1, ProtoMinor: 1,
	}
}

func exchange(t *testing.T, p *Pool, address string) (string, error) {
	t.Helper()
	conn, err := p.Get(context.Background(), nextID(), address, 0, false)
	require.NoError(t, err)
	e, err := conn.Send(context.Background(), post(address, "body"))
	if err != nil {
		return "", err
	}
	body, err := e.ReadAll(1 << 20)
	if err != nil {
		e.Abort()
		return "", err
	}
	e.Finish(0)
	return string(body), nil
}

// Guards against opening a new connection for each request.
func TestConnectionIsReusedAfterAWholeAnswer(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *bufio.Reader, _ int) bool { write(conn, okResponse); return true })
	p := NewPool(Options{})
	for range 5 {
		body, err := exchange(t, p, u.Addr().String())
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 1, u.connections.Load())
}

// Guards against treating extra bytes as the answer to the next request on the connection.
func TestConnectionWithBytesAfterTheAnswerIsNotReused(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *bufio.Reader, _ int) bool {
		write(conn, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		return true
	})
	p := NewPool(Options{})
	for range 3 {
		body, err := exchange(t, p, u.Addr().String())
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 3, u.connections.Load())
}

// Guards against treating bytes that arrive while the connection is idle as the answer to the next request.
func TestConnectionWithLateBytesIsNotReused(t *testing.T) {
	late := make(chan struct{})
	u := startUpstream(t, func(conn net.Conn, _ *bufio.Reader, number int) bool {
		write(conn, okResponse)
		if number == 1 {
			<-late
			write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
			late <- struct{}{}
		}
		return true
	})
	p := NewPool(Options{})
	_, err := exchange(t, p, u.Addr().String())
	require.NoError(t, err)
	late <- struct{}{}
	<-late
	require.Eventually(t, func() bool { return readable(p.idle[u.Addr().String()][0].raw) }, time.Second, time.Millisecond)
	body, err := exchange(t, p, u.Addr().String())
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.EqualValues(t, 2, u.connections.Load())
}

// Guards against automatically sending a request again when an idle connection turns out to be closed: the request may have
// run.
func TestRequestOnADeadKeptConnectionIsNotSentAgain(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *bufio.Reader, number int) bool {
		if number == 1 {
			write(conn, okResponse)
			return true
		}
		return false
	})
	p := NewPool(Options{})
	_, err := exchange(t, p, u.Addr().String())
	require.NoError(t, err)
	_, err = exchange(t, p, u.Addr().String())
	require.Error(t, err)
	require.Equal(t, failure.Unknown, failure.Of(err).Execution)
	require.EqualValues(t, 2, u.requests.Load())
}

// Guards against accepting a truncated answer as complete.
func TestBrokenAnswerIsAnError(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"head":    "HTTP/1.1 200 OK\r\nContent-Le",
		"garbage": "\x00\x01\x02 no HTTP\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(conn net.Conn, _ *bufio.Reader, _ int) bool { write(conn, answer); return false })
			_, err := exchange(t, NewPool(Options{}), u.Addr().String())
			require.Error(t, err)
			require.NotEqual(t, failure.NotRun, failure.Of(err).Execution)
		})
	}
}

// Guards against sending other bytes in place of the rest of a long body after an early answer.
func TestEarlyAnswerToALongBody(t *testing.T) {
	const size = 8 << 20
	rest := make(chan int64, 1)
	u := startUpstream(t, func(conn net.Conn, reader *bufio.Reader, number int) bool {
		write(conn, okResponse)
		if number == 1 {
			body, _ := io.Copy(io.Discard, io.LimitReader(reader, size))
			rest <- body
		}
		return true
	})
	p := NewPool(Options{})
	conn, err := p.Get(context.Background(), nextID(), u.Addr().String(), 0, false)
	require.NoError(t, err)
	e, err := conn.Send(context.Background(), post(u.Addr().String(), strings.Repeat("b", size)))
	require.NoError(t, err)
	body, err := e.ReadAll(100)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	e.Finish(0)
	require.EqualValues(t, size, <-rest, "the upstream must get the whole body")
	_, err = exchange(t, p, u.Addr().String())
	require.NoError(t, err)
}

// Guards against an upstream that continues to work for a caller that has disconnected.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	u := startUpstream(t, func(_ net.Conn, reader *bufio.Reader, _ int) bool {
		_, _ = reader.ReadByte()
		close(closed)
		return false
	})
	conn, err := NewPool(Options{}).Get(context.Background(), nextID(), u.Addr().String(), 0, false)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	sent := make(chan error, 1)
	go func() { _, err := conn.Send(ctx, post(u.Addr().String(), "x")); sent <- err }()
	require.Eventually(t, func() bool { return u.requests.Load() == 1 }, time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-sent, context.Canceled)
	<-closed
}

// Guards against more connections to an upstream than this node may open.
func TestConnectionLimit(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *bufio.Reader, _ int) bool { write(conn, okResponse); return true })
	p := NewPool(Options{})
	var open []*Conn
	for range 3 {
		conn, err := p.Get(context.Background(), nextID(), u.Addr().String(), 3, false)
		require.NoError(t, err)
		open = append(open, conn)
	}
	_, err := p.Get(context.Background(), nextID(), u.Addr().String(), 3, false)
	require.True(t, failure.Is(err, failure.Overloaded), "%v", err)
	require.Equal(t, failure.NotRun, failure.Of(err).Execution)
	open[0].Close()
	open[0].Close()
	_, err = p.Get(context.Background(), nextID(), u.Addr().String(), 3, false)
	require.NoError(t, err)
}

// Guards against using an idle connection longer than the upstream promised to keep it.
func TestIdleConnectionExpires(t *testing.T) {
	now := time.Now()
	u := startUpstream(t, func(conn net.Conn, _ *bufio.Reader, _ int) bool { write(conn, okResponse); return true })
	p := NewPool(Options{Now: func() time.Time { return now }, IdleLimit: time.Minute})
	conn, err := p.Get(context.Background(), nextID(), u.Addr().String(), 0, false)
	require.NoError(t, err)
	e, err := conn.Send(context.Background(), post(u.Addr().String(), "x"))
	require.NoError(t, err)
	_, err = e.ReadAll(100)
	require.NoError(t, err)
	e.Finish(3 * time.Second)
	now = now.Add(2100 * time.Millisecond)
	_, err = exchange(t, p, u.Addr().String())
	require.NoError(t, err)
	require.EqualValues(t, 2, u.connections.Load())
}

// Guards against an unknown outcome for a request whose connection could not be opened, and against confusing a refused
// connection with a timeout.
func TestRefusedConnectionDidNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = NewPool(Options{}).Get(context.Background(), nextID(), address, 0, false)
	require.Equal(t, failure.NotRun, failure.Of(err).Execution)
	require.False(t, IsTimeout(err))
	unresponsive := NewPool(Options{DialTimeout: 10 * time.Millisecond, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}})
	_, err = unresponsive.Get(context.Background(), nextID(), address, 0, false)
	require.True(t, IsTimeout(err), "%v", fmt.Sprint(err))
}

// Guards against sending a non-repeatable request on a connection that the upstream may have dropped, and against opening a
// new connection for each request to an upstream that promised to keep the last one.
func TestOldConnectionsAreForRepeatableRequests(t *testing.T) {
	u := startUpstream(t, func(net.Conn, *bufio.Reader, int) bool { return true })
	now := time.Unix(1_000_000, 0)
	p := NewPool(Options{Now: func() time.Time { return now }})
	get := func(repeatable bool) *Conn {
		conn, err := p.Get(context.Background(), nextID(), u.Addr().String(), 2, repeatable)
		require.NoError(t, err)
		return conn
	}
	old := get(true)
	old.Release(10 * time.Second)
	now = now.Add(defaultIdleLimit + time.Second)
	fresh := get(false)
	require.NotSame(t, old, fresh)
	fresh.Release(10 * time.Second)
	require.Same(t, old, get(true), "the oldest one that is still kept")
	old.Release(10 * time.Second)
	require.NotNil(t, get(false))
	now = now.Add(defaultIdleLimit + time.Second)
	renewed := get(false)
	require.NotSame(t, old, renewed, "at the limit, an old connection is closed for a new one")
	renewed.Release(time.Second)
	now = now.Add(time.Second)
	require.Nil(t, p.takeIdle(u.Addr().String(), true, func(*Conn) bool { return true }), "the upstream promised one second")
}

// countingConn counts the bytes read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a body without end in chunks of one byte, or with long extensions: the limit of the body would be reached only
// after many times as many bytes.
func TestFramingOfABodyIsBounded(t *testing.T) {
	const limit = 1 << 20
	for name, chunk := range map[string]string{"chunks of a byte": "1\r\nx\r\n", "extensions": "1;a=bcdefghijklmnopqrstuvwxyz\r\nx\r\n"} {
		t.Run(name, func(t *testing.T) {
			block := strings.Repeat(chunk, 1000)
			u := startUpstream(t, func(conn net.Conn, _ *bufio.Reader, _ int) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for err == nil {
					_, err = io.WriteString(conn, block)
				}
				return false
			})
			var read atomic.Int64
			pool := NewPool(Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				return countingConn{conn, &read}, err
			}})
			conn, err := pool.Get(t.Context(), nextID(), u.Addr().String(), 0, false)
			require.NoError(t, err)
			request, err := http.NewRequest(http.MethodGet, "http://"+u.Addr().String(), nil)
			require.NoError(t, err)
			exchange, err := conn.Send(t.Context(), request)
			require.NoError(t, err)
			_, err = exchange.ReadAll(limit)
			require.Error(t, err)
			exchange.Abort()
			require.LessOrEqual(t, read.Load(), int64(limit+framingShare*limit+framingSlack+bufferBytes))
		})
	}
}

// Guards against a request that must not be sent twice on a connection that was idle for long: it had been taken for another
// request and was returned without use, and the upstream may close it at any moment.
func TestUnusedConnectionStaysAsOldAsItWas(t *testing.T) {
	now := time.Now()
	u := startUpstream(t, func(conn net.Conn, _ *bufio.Reader, _ int) bool { write(conn, okResponse); return true })
	p := NewPool(Options{Now: func() time.Time { return now }})
	get := func(repeatable bool) *Conn {
		conn, err := p.Get(context.Background(), nextID(), u.Addr().String(), 0, repeatable)
		require.NoError(t, err)
		return conn
	}
	get(false).Release(12 * time.Second)
	now = now.Add(defaultIdleLimit + time.Second)
	conn := get(true)
	conn.PutBack()
	require.NotSame(t, conn, get(false), "idle for longer than the limit")
	require.Same(t, conn, get(true))
	conn.PutBack()
	now = now.Add(defaultLongIdleLimit - defaultIdleLimit)
	require.NotSame(t, conn, get(true), "idle for longer than the upstream promised")
	opened := get(false)
	opened.PutBack()
	require.Same(t, opened, get(false))
}
