package tcp

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/tcpoption"
)

const (
	// dialTimeout is the timeout of one connection attempt. It is shorter than the second after
	// which the kernel retransmits a lost SYN, so that another attempt restores the link sooner
	// after a network failure. A round trip between regions takes 16 ms.
	dialTimeout = 300 * time.Millisecond
	// writeTimeout is the timeout of one write to a daemon that does not read.
	writeTimeout = 2 * time.Second
	// closeTimeout is the time for writing queued messages when the transport closes.
	closeTimeout = 200 * time.Millisecond
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged until the kernel closes
	// the connection. It is shorter than the time in which package membership declares a daemon
	// dead (1.4 s), so that a broken connection is replaced first. Until then three packets in a
	// row may be lost.
	unacknowledgedTimeout = time.Second
	// firstRedialPause is the time from the first connection attempt to the next. It doubles with
	// each failure up to longestRedialPause. Messages in the meantime are dropped. It is short,
	// because daemons that start together miss each other by a few milliseconds, and a holder of
	// shards that is silent for 0.3 s counts as failed.
	firstRedialPause   = 50 * time.Millisecond
	longestRedialPause = 200 * time.Millisecond
	// linkIdleTimeout is how long a link without messages is kept. Without this limit, the address
	// of a daemon that is permanently gone would be dialled forever. Membership sends each daemon
	// that lives a message every 10 s or so.
	linkIdleTimeout = time.Minute
	// idleCheckInterval is the interval between checks whether a link is idle.
	idleCheckInterval = 10 * time.Second
)

// link is the outgoing connection to one address, with its queue.
type link struct {
	address string
	queue   *messageQueue
	// usedAt is when a message was last queued. It is guarded by the transport's mutex.
	usedAt time.Time
}

// dialFunc opens a connection to a daemon.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialTCP is a dialFunc that uses TCP.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: tcpoption.ControlUserTimeout(unacknowledgedTimeout)}
	return dialer.DialContext(ctx, "tcp", address)
}

// lineBuffers is a pool of buffers for outgoing messages.
var lineBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer is the maximum capacity, in bytes, of a buffer that is returned to the pool.
const maxPooledBuffer = 16 << 10

// recycle returns a buffer to the pool, unless it is large.
func recycle(line *bytes.Buffer) {
	if line.Cap() <= maxPooledBuffer {
		lineBuffers.Put(line)
	}
}

// isIdle reports whether nothing was sent on a link for linkIdleTimeout.
func (t *Transport) isIdle(l *link) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return l.isIdle()
}

func (l *link) isIdle() bool { return l.queue.isEmpty() && time.Since(l.usedAt) >= linkIdleTimeout }

// removeIfIdle removes a link if it is idle, and reports whether it did. The next message creates
// another.
func (t *Transport) removeIfIdle(l *link) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !l.isIdle() {
		return false
	}
	delete(t.links, l.address)
	return true
}

// runLink connects and writes messages until the transport closes or the link is idle.
func (t *Transport) runLink(l *link) {
	defer t.workers.Done()
	pause := firstRedialPause
	for t.context.Err() == nil && !t.removeIfIdle(l) {
		started := time.Now()
		conn, err := t.connect(l)
		if err != nil {
			t.discardFor(l, pause-time.Since(started))
			pause = min(2*pause, longestRedialPause)
			continue
		}
		pause = firstRedialPause
		t.writeTo(l, conn)
		_ = conn.Close() // the connection has failed or is no longer needed
	}
}

// connect makes one connection attempt.
func (t *Transport) connect(l *link) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(t.context, dialTimeout)
	defer cancel()
	return t.dial(ctx, l.address)
}

// discardFor discards messages for a while. An unreachable daemon would not get them now, and they
// would be outdated later.
func (t *Transport) discardFor(l *link, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-t.context.Done():
			return
		case <-timer.C:
			return
		case <-l.queue.added:
			l.queue.discard()
		}
	}
}

// writeTo writes messages to a connection until it ends, the link is idle, or the transport closes.
func (t *Transport) writeTo(l *link, conn net.Conn) {
	closed := make(chan struct{})
	go watchClosed(conn, closed)
	writer := bufio.NewWriterSize(conn, bufferSize)
	check := time.NewTicker(idleCheckInterval)
	defer check.Stop()
	if !writeQueue(l.queue, conn, writer) { // what an earlier connection left
		return
	}
	for {
		select {
		case <-t.context.Done():
			flushQueue(l, conn, writer)
			return
		case <-check.C:
			if t.isIdle(l) {
				return
			}
		case <-closed:
			return
		case <-l.queue.added:
			if !writeQueue(l.queue, conn, writer) {
				return
			}
		}
	}
}

// writeQueue writes and flushes the queued messages; false if the connection has failed.
func writeQueue(queue *messageQueue, conn net.Conn, writer *bufio.Writer) bool {
	for line, found := queue.pop(); found; line, found = queue.pop() {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // if that fails, so does the write
		_, err := writer.Write(line.Bytes())
		recycle(line)
		if err != nil {
			return false
		}
	}
	return writer.Flush() == nil
}

// flushQueue writes the messages that were queued before the transport closed, such as the
// announcement that this daemon has left.
func flushQueue(l *link, conn net.Conn, writer *bufio.Writer) {
	_ = conn.SetWriteDeadline(time.Now().Add(closeTimeout)) // if that fails, so does the write
	for line, found := l.queue.pop(); found; line, found = l.queue.pop() {
		if _, err := writer.Write(line.Bytes()); err != nil {
			return
		}
	}
	_ = writer.Flush() // the process ends either way
}

// watchClosed detects that the peer closed the connection. Nothing is ever received on an outgoing
// connection.
func watchClosed(conn net.Conn, gone chan<- struct{}) {
	defer close(gone)
	var one [1]byte
	_, _ = conn.Read(one[:]) // whatever it returns, the connection has ended
}
