package relaydaemon

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/memorybudget"
)

// deadlineListener is a listener whose Accept supports a deadline, such as *net.TCPListener.
type deadlineListener interface {
	SetDeadline(at time.Time) error
}

// frontListener accepts connections until acceptRemaining is called. With a limit, further connections
// wait in the kernel's queue.
type frontListener struct {
	net.Listener
	// memory bounds the heads that callers send, nil for no bound.
	memory *memorybudget.Budget
	// slots holds an item for each open connection, nil for no limit.
	slots chan struct{}
	// ending is closed by acceptRemaining.
	ending  chan struct{}
	endOnce sync.Once
	// isFinalDeadline: the deadline has passed once, and Accept is called with a second one.
	isFinalDeadline bool
}

// newFrontListener returns a listener that has up to limit connections open; 0 for no limit. memory bounds
// the heads that callers send, nil for no bound.
func newFrontListener(listener net.Listener, limit int, memory *memorybudget.Budget) *frontListener {
	l := &frontListener{Listener: listener, memory: memory, ending: make(chan struct{})}
	if limit > 0 {
		l.slots = make(chan struct{}, limit)
	}
	return l
}

// takeSlot waits until another connection may be open, and returns the function that its end calls. After
// acceptRemaining, connections need no slot.
func (l *frontListener) takeSlot() (release func()) {
	if l.slots == nil {
		return func() {}
	}
	select {
	case l.slots <- struct{}{}:
		return sync.OnceFunc(func() { <-l.slots })
	case <-l.ending:
		return func() {}
	}
}

// acceptRemaining makes Accept return the connections that are already established, and then close
// the listener. A listener without deadlines is closed at once.
func (l *frontListener) acceptRemaining() {
	l.endOnce.Do(func() { close(l.ending) })
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
	release := l.takeSlot()
	for {
		connection, err := l.Listener.Accept()
		if err == nil {
			return &frontConnection{Conn: connection, release: release, head: l.memory.Begin()}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			release()
			return nil, err
		}
		if l.isFinalDeadline || !l.setDeadline() {
			release()
			_ = l.Close()             // Accept already failed
			return nil, net.ErrClosed // the server would retry after a timeout error
		}
		l.isFinalDeadline = true
	}
}
