package relaydaemon

import (
	"errors"
	"net"
	"os"
	"time"
)

// deadlineListener is a listener whose Accept can be bounded, as that of TCP.
type deadlineListener interface {
	SetDeadline(at time.Time) error
}

// frontListener accepts connections as frontConnections, until it is finished.
type frontListener struct {
	net.Listener
	// isLastLook: Accept has begun to look for connections since the deadline was over.
	isLastLook bool
}

// finish lets Accept go on to accept connections that wait, and then close the listener. A
// listener without a deadline is closed at once.
func (l *frontListener) finish() {
	if !l.limit() {
		_ = l.Close() // fails if it is closed
	}
}

// limit bounds the next Accept by lastAccept; false if that is not possible.
func (l *frontListener) limit() bool {
	limited, ok := l.Listener.(deadlineListener)
	return ok && limited.SetDeadline(time.Now().Add(lastAccept)) == nil
}

// Accept implements net.Listener. A deadline that was over when it was called says nothing of
// connections that wait: a process that did not get the processor meanwhile has not looked for
// any. So the deadline is set once more, and what is accepted until then is the last, however
// many go on to come.
func (l *frontListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err == nil {
			return &frontConnection{Conn: connection}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if l.isLastLook || !l.limit() {
			_ = l.Close()             // the error of its deadline is the reason already
			return nil, net.ErrClosed // the server would try a deadline's error again
		}
		l.isLastLook = true
	}
}
