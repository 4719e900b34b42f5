package upstreamconn

import (
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
