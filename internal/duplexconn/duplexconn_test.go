package duplexconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/internal/duplexconn/earlyreset"
)

// halfConn is a connection whose write ends with an error once release is closed, and whose input has ended.
type halfConn struct {
	net.Conn
	err     error
	started chan struct{}
	release chan struct{}
}

func (c *halfConn) Write([]byte) (int, error) {
	close(c.started)
	<-c.release
	return 0, c.err
}

func (c *halfConn) Read([]byte) (int, error) { return 0, io.EOF }

// Guards against input that looks complete although the write of the connection met a reset or has not ended, and against complete input that
// counts as cut off.
func TestEndOfInputWaitsForTheWrite(t *testing.T) {
	reset := &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
	closed := &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.EPIPE)}
	for name, c := range map[string]struct {
		writeErr error
		// after is when the write ends, later than the input.
		after time.Duration
		want  error
	}{
		"written":                 {nil, 0, io.EOF},
		"reset":                   {reset, 0, syscall.ECONNRESET},
		"reset later":             {reset, WriteWait / 5, syscall.ECONNRESET},
		"reset after the FIN":     {closed, WriteWait / 5, io.EOF},
		"written later":           {nil, WriteWait / 5, io.EOF},
		"other error":             {os.ErrDeadlineExceeded, 0, os.ErrDeadlineExceeded},
		"write that does not end": {nil, 20 * WriteWait, ErrStillWriting},
	} {
		t.Run(name, func(t *testing.T) {
			raw := &halfConn{err: c.writeErr, started: make(chan struct{}), release: make(chan struct{})}
			conn := New(raw)
			written := make(chan struct{})
			go func() { defer close(written); _, _ = conn.Write([]byte("x")) }()
			<-raw.started
			time.AfterFunc(c.after, func() { close(raw.release) })
			if c.after == 0 {
				<-written
			}
			_, err := conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, c.want)
			if c.want != io.EOF {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				require.False(t, errors.Is(err, io.EOF))
			}
			<-written
		})
	}
}

// Guards against the assumption that a reset after the FIN is reported as EPIPE, and one without FIN as ECONNRESET, if a later version of the
// kernel does otherwise. The fault needs a write that meets the reset first.
func TestKernelTellsResetsApart(t *testing.T) {
	for _, finFirst := range []bool{false, true} {
		t.Run(fmt.Sprint("FIN first ", finFirst), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				// The dial must have ended before the reset.
				_, _ = conn.Read(make([]byte, 1))
				if finFirst {
					_ = conn.(*net.TCPConn).CloseWrite()
					// The FIN must be on its way before the reset.
					time.Sleep(20 * time.Millisecond)
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			for err == nil {
				_, err = conn.Write(make([]byte, 64<<10))
			}
			if finFirst {
				require.ErrorIs(t, err, syscall.EPIPE)
			} else {
				require.ErrorIs(t, err, syscall.ECONNRESET)
			}
			_, err = conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// Guards against net/http clients that take an answer without a length for complete although its connection was reset within it.
func TestTransportSeesResets(t *testing.T) {
	address := earlyreset.Serve(t, "HTTP/1.1 200 OK\r\n\r\n{}")
	client := &http.Client{Transport: &http.Transport{DialContext: Dial((&net.Dialer{}).DialContext)}}
	const tries = 100
	for range tries {
		response, err := client.Post("http://"+address, "", io.LimitReader(zeros{}, earlyreset.BodyBytes))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		require.Error(t, err, "%q was taken for a complete answer", body)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
