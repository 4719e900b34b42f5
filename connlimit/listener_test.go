package connlimit_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/wasabishunt/wasabishunt/connlimit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestLimit guards against connections above the limit that stay open, and slots that are not released.
func TestLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var refused atomic.Int64
	listener := connlimit.ListenNotify(inner, 1, 0, func(net.Conn) { refused.Add(1) })
	accepted := make(chan net.Conn, 4)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	dial()
	first := <-accepted
	_, err = dial().Read(make([]byte, 1))
	require.Error(t, err)
	assert.NotErrorIs(t, err, net.ErrClosed)
	assert.Empty(t, accepted)
	assert.EqualValues(t, 1, refused.Load())
	require.NoError(t, first.Close())
	require.Error(t, first.Close())
	dial()
	second := <-accepted
	_, err = dial().Read(make([]byte, 1))
	require.Error(t, err, "a second close releases no second slot")
	assert.Empty(t, accepted)
	_ = second.Close()
	require.NoError(t, listener.Close())
	<-done
}
