//go:build !linux

package httpconn

import (
	"net"
	"syscall"
)

func limitUnacknowledged(_, _ string, _ syscall.RawConn) error { return nil }

func isQuiet(net.Conn) bool { return true }
