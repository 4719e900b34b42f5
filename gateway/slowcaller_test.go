package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreamconn"
)

// Guards against an engine that waits for a caller which reads nothing and cuts the stream off, against a caller that is held longer than the
// limit of a write, and against an end that looks complete or keeps the bytes of the connection in the kernel.
func TestCallerThatReadsNothing(t *testing.T) {
	whole := make(chan time.Time, 1)
	s := newSlowSystem(t, testMemory, longStream(slowStreamEvents, true, func() { whole <- time.Now() }))
	begin := time.Now()
	conn, _ := s.open("/stream/", "r1", "k")
	select {
	case at := <-whole:
		require.Less(t, at.Sub(begin), 2*time.Second)
	case <-time.After(3 * time.Second):
		require.Fail(t, "the engine waits for the caller")
	}
	require.Equal(t, cutForTime, s.slowLine(8*time.Second))
	require.Eventually(t, func() bool { return s.gateway.options.Memory.Used() == 0 && s.gateway.Active() == 0 }, time.Second, time.Millisecond)
	require.EqualValues(t, 1, s.gateway.metrics.slowCallers.Count())
	require.Eventually(t, func() bool {
		closed := s.lines.FilterMessage("connection of a caller closed").All()
		return len(closed) == 1 && closed[0].ContextMap()["reason"] == "slow"
	}, time.Second, time.Millisecond)
	_, err := io.Copy(io.Discard, conn)
	require.True(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against lost, repeated or reordered events, and against an engine that waits, if a caller reads slowly but takes each write in time.
func TestCallerThatReadsSlowly(t *testing.T) {
	whole := make(chan time.Time, 1)
	s := newSlowSystem(t, testMemory, longStream(slowStreamEvents, true, func() { whole <- time.Now() }))
	begin := time.Now()
	_, reader := s.open("/stream/", "r1", "k")
	time.Sleep(500 * time.Millisecond)
	require.Positive(t, s.gateway.options.Memory.Used(), "the stream counts toward the memory")
	require.Less(t, (<-whole).Sub(begin), 450*time.Millisecond)
	body, err := readAll(t, reader)
	require.NoError(t, err)
	require.Equal(t, longEvents(1, slowStreamEvents), body)
	require.Eventually(t, func() bool { return s.gateway.options.Memory.Used() == 0 }, time.Second, time.Millisecond)
	require.Zero(t, s.lines.FilterMessage("slow caller cut off").Len())
}

// Guards against a caller that is behind once and whose later events go through memory for good, or are lost at the change.
func TestCallerThatCatchesUp(t *testing.T) {
	goOn, rounds := make(chan struct{}), 6
	s := newSlowSystem(t, testMemory, func(conn net.Conn, r *http.Request, instance string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n\r\n", r.Header.Get("Id"))
		for i := range rounds {
			_, _ = io.WriteString(conn, longEvents(i*slowStreamEvents+1, (i+1)*slowStreamEvents))
			<-goOn
		}
		return false
	})
	_, reader := s.open("/stream/", "r1", "k")
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	for i := range rounds {
		time.Sleep(takeoverTime)
		want := longEvents(i*slowStreamEvents+1, (i+1)*slowStreamEvents)
		got := make([]byte, len(want))
		_, err = io.ReadFull(response.Body, got)
		require.NoError(t, err)
		require.Equal(t, want, string(got))
		require.Eventually(t, func() bool { return s.gateway.options.Memory.Used() == 0 }, time.Second, time.Millisecond)
		goOn <- struct{}{}
	}
	_, err = response.Body.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Greater(t, s.gateway.metrics.readAhead.Count(), int64(1), "the relay reads the stream itself in between")
}

// Guards against slow callers that use up the memory of the process, against others whose requests are refused or cut for their sake, and
// against a slow caller of one account that displaces those of another.
func TestManySlowCallersAreBounded(t *testing.T) {
	const (
		memory = 1 << 20
		// modestEvents take less than an equal share of the memory.
		modestEvents = slowStreamEvents / 2
	)
	s := newSlowSystem(t, memory, func(conn net.Conn, r *http.Request, instance string) bool {
		if strings.HasPrefix(r.URL.Path, "/once/") {
			return good(conn, r, instance)
		}
		count := slowStreamEvents
		if r.Header.Get("Id") == "modest" {
			count = modestEvents
		}
		return longStream(count, true, func() {})(conn, r, instance)
	})
	most := s.watchMemory()
	_, modest := s.open("/stream/", "modest", "k2")
	time.Sleep(takeoverTime)
	conns := make([]net.Conn, 12)
	for i := range conns {
		conns[i], _ = s.open("/stream/", fmt.Sprint("slow", i), "k")
	}
	require.Equal(t, cutForMemory, s.slowLine(3*time.Second))
	served := 0
	for i := range 20 {
		status, body, err := s.call("POST", "/once/", strings.Repeat("x", 100<<10), func(r *http.Request) {
			r.Header.Set("Id", fmt.Sprint("large", i))
			r.Header.Set("Key", []string{"k", "k2"}[i%2])
		})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		served++
		time.Sleep(5 * time.Millisecond)
	}
	require.Equal(t, 20, served)
	body, err := readAll(t, modest)
	require.NoError(t, err, "a caller of another account keeps its stream")
	require.Equal(t, longEvents(1, modestEvents), body)
	for _, conn := range conns {
		_ = conn.Close()
	}
	require.Eventually(t, func() bool { return s.gateway.Active() == 0 }, 3*time.Second, time.Millisecond)
	require.LessOrEqual(t, most(), int64(memory))
	require.Zero(t, s.gateway.options.Memory.Used())
}

// Guards against an instance that counts as busy, and a connection to it that is held, until a slow caller has taken the end of the stream; and
// against events that are lost at the end.
func TestStreamEndsWhileTheCallerIsBehind(t *testing.T) {
	for name, complete := range map[string]bool{"complete": true, "broken": false} {
		t.Run(name, func(t *testing.T) {
			whole := make(chan struct{}, 2)
			s := newSlowSystem(t, testMemory, longStream(slowStreamEvents, complete, func() { whole <- struct{}{} }))
			_, reader := s.open("/stream/", "r1", "k")
			<-whole
			time.Sleep(takeoverTime)
			if complete {
				status, _, err := s.call("POST", "/stream/", "", func(r *http.Request) { r.Header.Set("Id", "r2"); r.Header.Set("Last", strconv.Itoa(slowStreamEvents)) })
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			}
			body, err := readAll(t, reader)
			require.Equal(t, longEvents(1, slowStreamEvents), body)
			if complete {
				require.NoError(t, err)
			} else {
				require.Error(t, err, "a broken stream must not look complete")
			}
		})
	}
}

// Guards against a stream that is read on for a caller that has disconnected.
func TestSlowCallerDisconnects(t *testing.T) {
	ended := make(chan struct{})
	s := newSlowSystem(t, testMemory, func(conn net.Conn, r *http.Request, _ string) bool {
		defer close(ended)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n\r\n", r.Header.Get("Id"))
		for i := 1; err == nil; i++ {
			_, err = io.WriteString(conn, longEvent(i))
			time.Sleep(time.Millisecond)
		}
		return false
	})
	conn, _ := s.open("/stream/", "r1", "k")
	require.Eventually(t, func() bool { return s.gateway.options.Memory.Used() > 0 }, 3*time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(time.Second):
		require.Fail(t, "the stream is still read")
	}
	require.Eventually(t, func() bool { return s.gateway.options.Memory.Used() == 0 && s.gateway.Active() == 0 }, time.Second, time.Millisecond)
	require.Zero(t, s.lines.FilterMessage("slow caller cut off").Len(), "it left")
}

// Guards against an event that is lost or sent twice if the engine of a resumable stream breaks while its caller is behind.
func TestResumedStreamOfASlowCaller(t *testing.T) {
	var sends atomic.Int32
	broken := make(chan struct{})
	answer := func(conn net.Conn, r *http.Request, instance string) bool {
		if sends.Add(1) == 1 {
			longStream(slowStreamEvents/2, false, func() {})(conn, r, instance)
			_, _ = io.WriteString(conn, "12\r\nid: 9999\ndata: pa")
			close(broken)
			return false
		}
		return longStream(slowStreamEvents, true, func() {})(conn, r, instance)
	}
	s := newSlowSystem(t, testMemory, answer, answer)
	_, reader := s.open("/resume/", "r1", "k")
	<-broken
	time.Sleep(takeoverTime)
	require.Len(t, s.startedRuns(), 1, "the stream goes on after the last event that the caller has got")
	body, err := readAll(t, reader)
	require.NoError(t, err)
	require.Equal(t, longEvents(1, slowStreamEvents), body)
	require.Len(t, s.startedRuns(), 2)
	require.EqualValues(t, 1, s.gateway.metrics.resumed.Count())
}

// Guards against a fast engine and a caller with a slower link that is cut off although it takes what it can: the engine waits for it once
// the caller's share of the memory is used up.
func TestBulkStreamOfASteadyCaller(t *testing.T) {
	const count = 4 * maxAheadBytes / longEventBytes
	s := newSlowSystem(t, testMemory, longStream(count, true, func() {}))
	most := s.watchMemory()
	_, reader := s.open("/stream/", "r1", "k")
	time.Sleep(time.Second)
	body, err := readAll(t, reader)
	require.NoError(t, err)
	require.Equal(t, longEvents(1, count), body)
	held := most()
	require.Greater(t, held, int64(maxAheadBytes/2))
	require.LessOrEqual(t, held, int64(maxAheadBytes+64<<10))
}

// Guards against a caller without progress that keeps the engine waiting for longer than an engine waits.
func TestEngineDoesNotWaitForLong(t *testing.T) {
	var longest atomic.Int64
	s := newSlowSystem(t, testMemory, func(conn net.Conn, r *http.Request, _ string) bool {
		_ = conn.(*net.TCPConn).SetWriteBuffer(smallBuffers)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n\r\n", r.Header.Get("Id"))
		for i := 1; err == nil; i++ {
			begin := time.Now()
			_, err = io.WriteString(conn, longEvent(i))
			longest.Store(max(longest.Load(), int64(time.Since(begin))))
		}
		return false
	})
	s.open("/stream/", "r1", "k")
	require.Equal(t, cutForTime, s.slowLine(4*time.Second))
	require.Eventually(t, func() bool { return s.gateway.Active() == 0 }, time.Second, time.Millisecond)
	require.Less(t, time.Duration(longest.Load()), maxUnreadTime+500*time.Millisecond)
}

// Guards against calls whose memory is taken back while they end, and whose connection then carries another request.
func TestReclaimBesideTheEndOfStreams(t *testing.T) {
	const memory = 512 << 10
	s := newSlowSystem(t, memory, longStream(slowStreamEvents/2, true, func() {}))
	// On a busy machine a connection may take longer to open than the pool waits, and the call is refused.
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{DialTimeout: s.deadline()})
	var calls sync.WaitGroup
	for i := range 16 {
		calls.Go(func() {
			_, reader := s.open("/stream/", fmt.Sprint("r", i), "k")
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			body, err := io.ReadAll(response.Body)
			want := longEvents(1, slowStreamEvents/2)
			if response.StatusCode != http.StatusOK || err == nil && string(body) != want || !strings.HasPrefix(want, string(body)) {
				t.Errorf("call %d got status %d and %d bytes that are not its stream: %.200s", i, response.StatusCode, len(body), body)
			}
		})
	}
	calls.Wait()
	require.Eventually(t, func() bool { return s.gateway.Active() == 0 }, time.Second, time.Millisecond)
	require.Zero(t, s.gateway.options.Memory.Used())
}
