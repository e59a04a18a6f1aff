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
	// dialTimeout bounds one try to connect. A round trip between regions takes 16 ms. If
	// the first packet of a connection is lost, the system sends it again only after a
	// second; another try before that has the link back within 0.3 s of a cut's end.
	dialTimeout = 300 * time.Millisecond
	// writeTimeout bounds one write to a daemon that does not read.
	writeTimeout = 2 * time.Second
	// closeTimeout bounds the writing of what is queued when the transport
	// closes.
	closeTimeout = 200 * time.Millisecond
	// unacknowledgedTimeout is after how long the system gives up a connection on which
	// the other side acknowledges nothing. A connection that fell silent is replaced
	// before its daemon would be taken for dead (1.4 s, see package membership), and
	// three packets in a row may be lost until then.
	unacknowledgedTimeout = time.Second
	// firstRedialPause separates a failed try from the next, and doubles up to
	// longestRedialPause; the time that the try took counts. Messages meanwhile are
	// dropped. The first is short against the 0.3 s after which a silent holder of shards
	// counts as failed: daemons that start together miss each other by some milliseconds.
	firstRedialPause   = 50 * time.Millisecond
	longestRedialPause = 200 * time.Millisecond
	// linkLife is how long a link is kept that nothing is sent on: several rounds of
	// membership, which speaks to each daemon that lives every 10 s or so. Without it a daemon
	// that is replaced at another address costs five tries to connect a second for good.
	linkLife = time.Minute
	// idleLook separates looks at that on a connection.
	idleLook = 10 * time.Second
)

// link is the outgoing side towards one address.
type link struct {
	address string
	lines   chan *bytes.Buffer
	// usedAt is when something was last to be sent. The transport's mutex guards it.
	usedAt time.Time
}

// dial opens a connection to a daemon.
type dial func(ctx context.Context, address string) (net.Conn, error)

// dialTCP is dial over the network.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: tcpoption.ControlUserTimeout(unacknowledgedTimeout)}
	return dialer.DialContext(ctx, "tcp", address)
}

// lineBuffers are used again for the messages that go out.
var lineBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// keptBuffer is the largest buffer that is kept for later messages, in bytes.
const keptBuffer = 16 << 10

// recycle keeps a message's buffer for another, unless it is large.
func recycle(line *bytes.Buffer) {
	if line.Cap() <= keptBuffer {
		lineBuffers.Put(line)
	}
}

// isIdle tells whether nothing was sent on a link for linkLife.
func (t *Transport) isIdle(l *link) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return l.isIdle()
}

func (l *link) isIdle() bool { return len(l.lines) == 0 && time.Since(l.usedAt) >= linkLife }

// endIdle ends a link that is idle, and tells whether it did. The next message makes another.
func (t *Transport) endIdle(l *link) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !l.isIdle() {
		return false
	}
	delete(t.links, l.address)
	return true
}

// writeLink connects and writes until the transport closes, or nothing is sent for long.
func (t *Transport) writeLink(l *link) {
	defer t.workers.Done()
	pause := firstRedialPause
	for t.context.Err() == nil && !t.endIdle(l) {
		started := time.Now()
		conn, err := t.connect(l)
		if err != nil {
			t.dropFor(l, pause-time.Since(started))
			pause = min(2*pause, longestRedialPause)
			continue
		}
		pause = firstRedialPause
		t.writeTo(l, conn)
		_ = conn.Close() // it is given up
	}
}

// connect makes one try to connect.
func (t *Transport) connect(l *link) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(t.context, dialTimeout)
	defer cancel()
	return t.dial(ctx, l.address)
}

// dropFor discards messages for a while: a daemon that is not there would not
// have got them, and old ones are of no use to it later.
func (t *Transport) dropFor(l *link, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-t.context.Done():
			return
		case <-timer.C:
			return
		case <-l.lines:
		}
	}
}

// writeTo writes messages to a connection until it ends, nothing is sent for long or the transport
// closes.
func (t *Transport) writeTo(l *link, conn net.Conn) {
	gone := make(chan struct{})
	go watchClosed(conn, gone)
	writer := bufio.NewWriterSize(conn, bufferSize)
	look := time.NewTicker(idleLook)
	defer look.Stop()
	for {
		select {
		case <-t.context.Done():
			writeRest(l, conn, writer)
			return
		case <-look.C:
			if t.isIdle(l) {
				return
			}
		case <-gone:
			return
		case line := <-l.lines:
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // if that fails, so does the write
			_, err := writer.Write(line.Bytes())
			recycle(line)
			if err != nil {
				return
			}
			if len(l.lines) > 0 {
				continue
			}
			if err := writer.Flush(); err != nil {
				return
			}
		}
	}
}

// writeRest writes what was queued before the transport was closed, such as
// this daemon's word that it has left.
func writeRest(l *link, conn net.Conn, writer *bufio.Writer) {
	_ = conn.SetWriteDeadline(time.Now().Add(closeTimeout)) // if that fails, so does the write
	for len(l.lines) > 0 {
		if _, err := writer.Write((<-l.lines).Bytes()); err != nil {
			return
		}
	}
	_ = writer.Flush() // the process ends either way
}

// watchClosed notices that the other side closed: nothing is ever read on an
// outgoing connection.
func watchClosed(conn net.Conn, gone chan<- struct{}) {
	defer close(gone)
	var one [1]byte
	_, _ = conn.Read(one[:]) // whatever it returns, the connection has ended
}
