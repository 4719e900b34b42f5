package upstreamconn

import (
	"errors"
	"net"
	"syscall"
)

// readable reports whether a read would return at once: with data, an end or an error.
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
		n, _, peekErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = n >= 0 && peekErr == nil || peekErr != syscall.EAGAIN && peekErr != syscall.EINTR
		return true
	})
	return err != nil || found
}

// unacknowledgedLimit is how long sent bytes may stay unacknowledged: an upstream that is cut off or has lost power is
// noticed then. It is above the resend of one lost packet.
const unacknowledgedLimit = 600 // ms

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name on all platforms.
const tcpUserTimeout = 18

func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unacknowledgedLimit)
	})
	return errors.Join(err, optionErr)
}
