package launch

import (
	"bufio"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	if ready := os.Getenv(waitVariable); ready != "" {
		waitWithoutExit(ready)
		return
	}
	goleak.VerifyTestMain(m)
}

// startEchoServer starts a server that sends back each line, and returns its address.
func startEchoServer(t *testing.T) string {
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
				for scanner := bufio.NewScanner(conn); scanner.Scan(); {
					_, _ = conn.Write(append(scanner.Bytes(), '\n'))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a cut that closes connections or loses bytes: during a network partition connections stay open.
func TestCutHoldsBytesAndHealDeliversThem(t *testing.T) {
	relay, err := NewRelay("127.0.0.1:0", startEchoServer(t))
	require.NoError(t, err)
	defer relay.Close()
	conn, err := net.Dial("tcp", relay.Address())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)

	_, err = conn.Write([]byte("one\n"))
	require.NoError(t, err)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "one\n", line)

	relay.Cut("127.0.0.1")
	_, err = conn.Write([]byte("two\n"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = reader.ReadString('\n')
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())

	relay.Heal()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	line, err = reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "two\n", line)
}

// Guards against two runs on one machine that use the same addresses.
func TestReservedNetworksDiffer(t *testing.T) {
	first, err := ReserveAddresses()
	require.NoError(t, err)
	defer first.Release()
	second, err := ReserveAddresses()
	require.NoError(t, err)
	defer second.Release()
	require.NotEqual(t, first.IP(1, 1), second.IP(1, 1))
}
