package service_test

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/upstream/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server reads one request on each connection, calls seen, and closes the connection without an answer.
func server(t *testing.T, seen func(*http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				seen(request)
			}
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String()
}

// TestNoTransportRetry guards against the transport repeating a call when the service closes the connection after reading
// it, and against sending headers that permit that.
func TestNoTransportRetry(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		var executions atomic.Int64
		address := server(t, func(r *http.Request) {
			executions.Add(1)
			assert.True(t, r.Close, "the connection must not be kept")
			assert.Empty(t, r.Header.Get("Idempotency-Key"))
			assert.Empty(t, r.Header.Get("X-Idempotency-Key"))
			assert.Empty(t, r.Header.Get("Authorization"))
			assert.Equal(t, "b1", r.Header.Get(service.BookingIDHeader))
		})
		connection, err := service.New(address, service.Options{}).Open(t.Context())
		require.NoError(t, err)
		request := service.Request{Method: method, Path: "/bookings", Body: []byte("{}"), Headers: map[string]string{
			"idempotency-key": "k", "X-Idempotency-Key": "k", "Authorization": "Bearer x", service.BookingIDHeader: "b1",
		}}
		_, err = connection.Call(t.Context(), request)
		require.Error(t, err)
		assert.Equal(t, failure.Unknown, failure.Of(err).Execution)
		_, err = connection.Call(t.Context(), request)
		assert.True(t, failure.Is(err, failure.Internal), "a connection must be used for one call only")
		connection.Close()
		assert.Equal(t, int64(1), executions.Load(), method)
	}
}

// TestUnreachable guards against reporting an unknown outcome for a call that was not sent.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = service.New(address, service.Options{}).Open(t.Context())
	require.Error(t, err)
	assert.Equal(t, failure.NotRun, failure.Of(err).Execution)
}
