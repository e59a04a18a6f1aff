package httpconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnacknowledged makes the system close a connection whose data stays
// unacknowledged for unacknowledgedTimeout.
func limitUnacknowledged(_, _ string, connection syscall.RawConn) error {
	var failure error
	err := connection.Control(func(descriptor uintptr) {
		milliseconds := int(unacknowledgedTimeout.Milliseconds())
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if err != nil {
		return err
	}
	return failure
}

// isQuiet tells whether an idle connection is still open and has no bytes to
// read: such bytes belong to no request that is under way.
func isQuiet(c net.Conn) bool {
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
