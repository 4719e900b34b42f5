package callers

import (
	"context"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// expiredListener reports an expired deadline once, as after a pause of the process, although a connection waits.
type expiredListener struct {
	net.Listener
	pause   time.Duration
	expired bool
}

func (l *expiredListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

func (l *expiredListener) Accept() (net.Conn, error) {
	if !l.expired {
		l.expired = true
		time.Sleep(l.pause)
		return nil, os.ErrDeadlineExceeded
	}
	return l.Listener.Accept()
}

// Guards against resetting connections that wait to be accepted because the process got no processor until the time of a stop for
// them was over.
func TestStopAcceptsWhatWaitedDuringAPause(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &expiredListener{Listener: inner, pause: maxFinalAccept + 100*time.Millisecond}
	conn, reader := connect(t, inner)
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }), Log: zap.NewNop()}
	s.SetLimits(Limits{})
	go func() { _ = s.Serve(listener) }()
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.acceptDone != nil }, time.Second, time.Millisecond)
	require.NoError(t, s.StopAccepting(listener))
	require.Equal(t, 204, sendRequest(t, conn, reader, ""))
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	s.Shutdown(ctx)
}
