package relaydaemon

import (
	"errors"
	"net"
	"os"
	"time"
)

// deadlineListener is a listener whose Accept supports a deadline, such as *net.TCPListener.
type deadlineListener interface {
	SetDeadline(at time.Time) error
}

// frontListener accepts connections until acceptRemaining is called.
type frontListener struct {
	net.Listener
	// isFinalDeadline: the deadline has passed once, and Accept is called with a second one.
	isFinalDeadline bool
}

// acceptRemaining makes Accept return the connections that are already established, and then close
// the listener. A listener without deadlines is closed at once.
func (l *frontListener) acceptRemaining() {
	if !l.setDeadline() {
		_ = l.Close() // fails if it is already closed
	}
}

// setDeadline sets the deadline of Accept to finalAcceptTime from now; false if that is not
// supported.
func (l *frontListener) setDeadline() bool {
	limited, ok := l.Listener.(deadlineListener)
	return ok && limited.SetDeadline(time.Now().Add(finalAcceptTime)) == nil
}

// Accept implements net.Listener. After the deadline it accepts once more with a new deadline: a
// process that was not scheduled in the meantime may have established connections it has not seen.
// That second deadline is final, even if connections keep arriving.
func (l *frontListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err == nil {
			return &frontConnection{Conn: connection}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if l.isFinalDeadline || !l.setDeadline() {
			_ = l.Close()             // Accept already failed
			return nil, net.ErrClosed // the server would retry after a timeout error
		}
		l.isFinalDeadline = true
	}
}
