// Package tcp carries messages between daemons over TCP. One connection per
// direction and pair keeps the order; a broken one loses what was queued, and
// the parts above ask again.
package tcp

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// queueLength bounds the messages that wait for one daemon.
	queueLength = 8192
	// bufferSize is the size of read and write buffers in bytes at first; a
	// longer line makes a read buffer grow. Each daemon has one of them for each
	// other one and direction, so 64 KB took 8 MB of machines that have 112.
	bufferSize = 8 << 10
)

// Counter is told of every message that was sent.
type Counter func(to structs.DaemonID, kind peer.Kind, bytes int)

// Transport implements peer.Transport.
type Transport struct {
	self    structs.DaemonID
	handler peer.Handler
	counter Counter
	logger  zerolog.Logger

	listener net.Listener
	dial     dial
	context  context.Context
	cancel   context.CancelFunc
	workers  sync.WaitGroup

	mutex  sync.Mutex
	links  map[string]*link
	accept map[net.Conn]struct{}
	closed bool
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
	return serve(listener, dialTCP, self, handler, counter, logger), nil
}

// serve starts a transport that accepts connections from a listener and opens them
// with dial.
func serve(listener net.Listener, dial dial, self structs.DaemonID, handler peer.Handler, counter Counter, logger zerolog.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		self:     self,
		handler:  handler,
		counter:  counter,
		logger:   logger,
		listener: listener,
		dial:     dial,
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
		t.counter(to, message.MessageKind(), line.Len())
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
	l.usedAt = time.Now()
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
