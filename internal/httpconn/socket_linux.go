package httpconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isReusable reports whether an idle connection is open and has no bytes to read. Such bytes would
// belong to no request.
func isReusable(c net.Conn) bool {
	system, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failure := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failure == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
