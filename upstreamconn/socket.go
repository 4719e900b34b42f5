package upstreamconn

import (
	"errors"
	"net"
	"syscall"

	"github.com/wasabishunt/wasabishunt/socketinput"
)

// readable reports whether a read would return immediately, with data, end of file or an error.
func readable(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	found := true
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, found = socketinput.Peek(fd, probe[:])
		return true
	})
	return err != nil || found
}

// userTimeoutMs is how long sent bytes may stay unacknowledged before the kernel closes the connection, for upstreams that
// are disconnected or have lost power. It allows for one retransmission of a lost packet.
const userTimeoutMs = 600

// tcpUserTimeoutOption is TCP_USER_TIMEOUT, which package syscall does not define on all platforms.
const tcpUserTimeoutOption = 18

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, userTimeoutMs)
	})
	return errors.Join(err, optionErr)
}

// IsTimeout reports whether the peer did not respond at all, as opposed to refusing or resetting the connection.
func IsTimeout(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}
