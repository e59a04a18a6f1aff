// Package tcp carries messages between daemons over TCP. One connection per
// direction and pair keeps the order; a broken one loses what was queued, and
// the parts above ask again.
package tcp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/tcpoption"
)

const (
	// queueLength bounds the messages that wait for one daemon.
	queueLength = 8192
	// dialTimeout bounds one try to connect.
	dialTimeout = time.Second
	// writeTimeout bounds one write to a daemon that does not read.
	writeTimeout = 2 * time.Second
	// closeTimeout bounds the writing of what is queued when the transport
	// closes.
	closeTimeout = 200 * time.Millisecond
	// unacknowledgedTimeout is when the system gives up a connection on which
	// the other side acknowledges nothing.
	unacknowledgedTimeout = 3 * time.Second
	// firstRedialPause follows a failed try, and doubles up to longestRedialPause;
	// messages meanwhile are dropped. The first is short against the time after
	// which a daemon that says nothing counts as failed, 0.3 s for holders of
	// shards: daemons that start together miss each other by some milliseconds.
	firstRedialPause   = 50 * time.Millisecond
	longestRedialPause = 200 * time.Millisecond
	// acceptPause is the pause after a connection could not be accepted.
	acceptPause = 50 * time.Millisecond
	// bufferSize is the size of read and write buffers in bytes at first; a
	// longer line makes a read buffer grow. Each daemon has one of them for each
	// other one and direction, so 64 KB took 8 MB of machines that have 112.
	bufferSize = 8 << 10
	// lineLimit bounds one message in bytes.
	lineLimit = 64 << 20
)

// Counter is told of every message that was sent, by class.
type Counter func(class peer.Class, bytes int)

// Transport implements peer.Transport.
type Transport struct {
	self    structs.DaemonID
	handler peer.Handler
	counter Counter
	logger  zerolog.Logger

	listener net.Listener
	context  context.Context
	cancel   context.CancelFunc
	workers  sync.WaitGroup

	mutex  sync.Mutex
	links  map[string]*link
	accept map[net.Conn]struct{}
	closed bool
}

// link is the outgoing side towards one address.
type link struct {
	address string
	lines   chan *bytes.Buffer
}

// lineBuffers are used again for the messages that go out.
var lineBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// keptBuffer is the largest buffer that is kept for later messages, in bytes.
const keptBuffer = 16 << 10

func recycle(line *bytes.Buffer) {
	if line.Cap() <= keptBuffer {
		lineBuffers.Put(line)
	}
}

// Listen starts a transport at the address of self. handler gets every message
// that is meant for this run of the daemon.
func Listen(self structs.DaemonID, handler peer.Handler, counter Counter, logger zerolog.Logger) (*Transport, error) {
	return ListenOn(self.Address(), self, handler, counter, logger)
}

// ListenOn is Listen at another address than the one that others dial, which
// then must lead here.
func ListenOn(address string, self structs.DaemonID, handler peer.Handler, counter Counter, logger zerolog.Logger) (*Transport, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "peer: listen")
	}
	return serve(listener, self, handler, counter, logger), nil
}

// serve starts a transport that accepts connections from a listener.
func serve(listener net.Listener, self structs.DaemonID, handler peer.Handler, counter Counter, logger zerolog.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		self:     self,
		handler:  handler,
		counter:  counter,
		logger:   logger,
		listener: listener,
		context:  ctx,
		cancel:   cancel,
		links:    map[string]*link{},
		accept:   map[net.Conn]struct{}{},
	}
	t.workers.Add(1)
	go t.acceptConnections()
	return t
}

// Close ends all connections and waits for the goroutines.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.closed = true
	for conn := range t.accept {
		_ = conn.Close()
	}
	t.mutex.Unlock()
	t.cancel()
	_ = t.listener.Close()
	t.workers.Wait()
}

// Send implements peer.Transport. A message to this daemon itself takes the
// same way through the codec, without the network; one that is immediate goes
// to the handler at once.
func (t *Transport) Send(to structs.DaemonID, message peer.Message) {
	if _, immediate := message.(peer.Immediate); immediate && to == t.self {
		t.handler.Receive(t.self, message)
		return
	}
	line, err := encode(t.self, to, message)
	if err != nil {
		t.logger.Error().Err(err).Msg("Message not encoded.")
		return
	}
	l := t.link(to.Address())
	if l == nil {
		return
	}
	if to.Address() != t.self.Address() && t.counter != nil {
		t.counter(peer.ClassOf(message.MessageKind()), line.Len())
	}
	select {
	case l.lines <- line:
	default:
		t.logger.Warn().Str("to", to.Address()).Msg("Message dropped. The queue is full.")
	}
}

func encode(from, to structs.DaemonID, message peer.Message) (*bytes.Buffer, error) {
	line := lineBuffers.Get().(*bytes.Buffer)
	line.Reset()
	encoded, err := peer.Append(line.AvailableBuffer(), from, to, message)
	if err != nil {
		return nil, err
	}
	line.Write(encoded)
	return line, nil
}

func (t *Transport) link(address string) *link {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil
	}
	l := t.links[address]
	if l == nil {
		l = &link{address: address, lines: make(chan *bytes.Buffer, queueLength)}
		t.links[address] = l
		t.workers.Add(1)
		if address == t.self.Address() {
			go t.loopBack(l)
		} else {
			go t.writeLink(l)
		}
	}
	return l
}

func (t *Transport) loopBack(l *link) {
	defer t.workers.Done()
	var decoder peer.Decoder
	for {
		select {
		case <-t.context.Done():
			return
		case line := <-l.lines:
			t.receive(&decoder, line.Bytes())
			recycle(line)
		}
	}
}

// writeLink connects and writes until the transport closes.
func (t *Transport) writeLink(l *link) {
	defer t.workers.Done()
	pause := firstRedialPause
	for t.context.Err() == nil {
		conn, err := (&net.Dialer{Timeout: dialTimeout, Control: tcpoption.LimitUnacknowledged(unacknowledgedTimeout)}).DialContext(t.context, "tcp", l.address)
		if err != nil {
			t.dropFor(l, pause)
			pause = min(2*pause, longestRedialPause)
			continue
		}
		pause = firstRedialPause
		t.writeTo(l, conn)
		_ = conn.Close()
	}
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

func (t *Transport) writeTo(l *link, conn net.Conn) {
	gone := make(chan struct{})
	go watchClosed(conn, gone)
	writer := bufio.NewWriterSize(conn, bufferSize)
	for {
		select {
		case <-t.context.Done():
			writeRest(l, conn, writer)
			return
		case <-gone:
			return
		case line := <-l.lines:
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
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
	_ = conn.SetWriteDeadline(time.Now().Add(closeTimeout))
	for len(l.lines) > 0 {
		if _, err := writer.Write((<-l.lines).Bytes()); err != nil {
			return
		}
	}
	_ = writer.Flush()
}

// watchClosed notices that the other side closed: nothing is ever read on an
// outgoing connection.
func watchClosed(conn net.Conn, gone chan<- struct{}) {
	defer close(gone)
	var one [1]byte
	_, _ = conn.Read(one[:])
}

// acceptConnections accepts until the transport closes. After an error, as when
// the process has too many files open, it tries again.
func (t *Transport) acceptConnections() {
	defer t.workers.Done()
	for {
		conn, err := t.listener.Accept()
		if err != nil && t.context.Err() != nil {
			return
		}
		if err != nil {
			t.logger.Warn().Err(err).Msg("Connection not accepted.")
			t.sleep(acceptPause)
			continue
		}
		t.mutex.Lock()
		if t.closed {
			t.mutex.Unlock()
			_ = conn.Close()
			return
		}
		t.accept[conn] = struct{}{}
		t.workers.Add(1)
		t.mutex.Unlock()
		go t.readFrom(conn)
	}
}

// sleep pauses for d, or until the transport closes.
func (t *Transport) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-t.context.Done():
	case <-timer.C:
	}
}

func (t *Transport) readFrom(conn net.Conn) {
	defer t.workers.Done()
	defer func() {
		t.mutex.Lock()
		delete(t.accept, conn)
		t.mutex.Unlock()
		_ = conn.Close()
	}()
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 0, bufferSize), lineLimit)
	var decoder peer.Decoder
	for scanner.Scan() {
		if !t.receive(&decoder, scanner.Bytes()) {
			return
		}
	}
	// Other errors are those of connections that end.
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		t.logger.Warn().Str("from", conn.RemoteAddr().String()).Int("limit", lineLimit).Msg("Message refused. It is too long.")
	}
}

// receive handles one line. It returns false when the sender cannot be
// understood; its connection is closed then.
func (t *Transport) receive(decoder *peer.Decoder, line []byte) bool {
	from, to, message, err := decoder.Decode(line)
	if err != nil {
		t.logger.Warn().Err(err).Msg("Message refused.")
		return false
	}
	anyRun := to.Incarnation() == structs.AnyIncarnation
	if !anyRun && to != t.self {
		return true
	}
	t.handler.Receive(from, message)
	return true
}
