package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/mintpulley/mintpulley/internal/tcpoption"
)

// conn is a connection to a back end, with what is known of it.
type conn struct {
	net.Conn
	// number tells the pool's connections apart.
	number uint64
	// heads reads from the connection and bounds the heads of answers; reader buffers what it reads.
	heads   *headReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	expires time.Time
	// idleSince is when the connection last became idle.
	idleSince time.Time
	// sent is the number of bytes that the kernel accepted.
	sent int64
	// writeError is the first error of writing to the connection. net/http may hide it in the error of the request.
	writeError error
	// peer is the identity of the process at the other end, "" before it was asked.
	peer string
	// answered are the labels of the latest requests that were answered, oldest first.
	answered []string
}

// Write implements net.Conn.
func (c *conn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.sent += int64(n)
	if err != nil && c.writeError == nil {
		c.writeError = err
	}
	return n, err
}

// closeWithCause closes the connection. If the cause is ErrPeerCutOff, unsent data is dropped:
// otherwise the kernel would keep sending it, and an abandoned request could arrive once the peer
// is reachable again.
func (c *conn) closeWithCause(cause error) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && errors.Is(cause, ErrPeerCutOff) {
		_ = tcp.SetLinger(0) // fails if the connection is already closed
	}
	_ = c.Close() // the exchange gets a read error
}

// limitUnacknowledged sets how long bytes may stay unacknowledged; 0 means no limit. It fails on a
// broken connection, which the next use detects anyway.
func (c *conn) limitUnacknowledged(limit time.Duration) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcpoption.SetUserTimeout(tcp, limit)
	}
}

// awaitInput waits until the peer sends something or closes the connection, or ctx ends.
func (c *conn) awaitInput(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Now()) }) // fails if it is closed
	_, _ = c.reader.Peek(1)                                                      // what ended it, isReusable tells
	if !stop() {
		_ = c.SetReadDeadline(time.Time{}) // fails if it is closed
	}
}
