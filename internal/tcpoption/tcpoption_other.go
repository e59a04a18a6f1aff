//go:build !linux

// Package tcpoption sets options of TCP connections that the standard library does not
// support.
package tcpoption

import (
	"syscall"
	"time"
)

// ControlUserTimeout does nothing on this system.
func ControlUserTimeout(time.Duration) func(network, address string, connection syscall.RawConn) error {
	return nil
}

// SetUserTimeout does nothing on this system.
func SetUserTimeout(syscall.Conn, time.Duration) error { return nil }
