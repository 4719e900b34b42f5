// Package socketinput tells what waits unread in a socket.
package socketinput

import "syscall"

// Peek returns how many bytes wait unread in a non-blocking socket, at most len(buffer), and whether a read would return
// immediately, with data, end of file or an error.
func Peek(fd uintptr, buffer []byte) (unread int, readable bool) {
	for {
		n, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			return max(0, n), true
		case syscall.EINTR:
		case syscall.EAGAIN:
			return 0, false
		default:
			return 0, true
		}
	}
}
