package relaydaemon

import (
	"errors"
	"net"
	"os"
)

// frontListener accepts connections as frontConnections. At its deadline it closes.
type frontListener struct{ net.Listener }

// Accept implements net.Listener.
func (l frontListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.Close()             // the error of its deadline is the reason already
		return nil, net.ErrClosed // the server would try a deadline's error again
	}
	if err != nil {
		return nil, err
	}
	return &frontConnection{Conn: connection}, nil
}
