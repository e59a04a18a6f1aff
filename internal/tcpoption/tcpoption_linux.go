// Package tcpoption sets options of TCP connections that the standard library
// has no names for.
package tcpoption

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LimitUnacknowledged returns a function for net.Dialer.Control that makes the
// system close a connection whose data stays unacknowledged for a time. Left
// alone it would send again at ever longer pauses, and a healed cut would go
// unnoticed for a minute.
func ControlUserTimeout(limit time.Duration) func(network, address string, connection syscall.RawConn) error {
	return func(_, _ string, connection syscall.RawConn) error {
		var failure error
		err := connection.Control(func(descriptor uintptr) {
			milliseconds := int(limit.Milliseconds())
			failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
		})
		if err != nil {
			return err
		}
		return failure
	}
}

// SetUnacknowledgedLimit changes the limit of an open connection; 0 is the system's own.
func SetUserTimeout(connection syscall.Conn, limit time.Duration) error {
	raw, err := connection.SyscallConn()
	if err != nil {
		return err
	}
	return ControlUserTimeout(limit)("", "", raw)
}
