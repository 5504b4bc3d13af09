package roster

import (
	"net"
	"syscall"
)

// hasUnread reports whether a connection has unread bytes or has been closed by the peer. It is false if the connection doesn't support the
// system call.
func hasUnread(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var unread bool
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil
	}); err != nil {
		return false
	}
	return unread
}
