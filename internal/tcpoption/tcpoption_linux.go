// Package tcpoption sets options of TCP connections that the standard library does not
// support.
package tcpoption

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ControlUserTimeout returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT:
// the kernel closes the connection if sent data stays unacknowledged for the limit. By
// default it retransmits at growing intervals, and takes up to a minute to notice that a
// partition has healed.
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

// SetUserTimeout sets TCP_USER_TIMEOUT of an open connection; 0 restores the kernel's
// default.
func SetUserTimeout(connection syscall.Conn, limit time.Duration) error {
	raw, err := connection.SyscallConn()
	if err != nil {
		return err
	}
	return ControlUserTimeout(limit)("", "", raw)
}
