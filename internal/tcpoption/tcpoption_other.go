//go:build !linux

// Package tcpoption sets options of TCP connections that the standard library
// has no names for.
package tcpoption

import (
	"syscall"
	"time"
)

// LimitUnacknowledged does nothing on this system.
func LimitUnacknowledged(time.Duration) func(network, address string, connection syscall.RawConn) error {
	return nil
}

// SetUnacknowledgedLimit does nothing on this system.
func SetUnacknowledgedLimit(syscall.Conn, time.Duration) error { return nil }
