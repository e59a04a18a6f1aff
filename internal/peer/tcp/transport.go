// Package tcp carries messages between daemons over TCP. Each pair of daemons has one connection
// per direction, which keeps the order of messages. A broken connection loses the queued messages,
// and the components above repeat their requests.
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

// bufferSize is the initial size of read and write buffers in bytes; a read buffer grows with longer
// lines. It is small, because a daemon has one buffer per direction for every other daemon.
const bufferSize = 8 << 10

// Counter is called for every message that was sent to another daemon.
type Counter func(to structs.DaemonID, kind peer.Kind, bytes int)

// Transport implements peer.Transport.
type Transport struct {
	self    structs.DaemonID
	handler peer.Handler
	counter Counter
	logger  zerolog.Logger

	listener net.Listener
	dial     dialFunc
	context  context.Context
	cancel   context.CancelFunc
	workers  sync.WaitGroup

	mutex    sync.Mutex
	links    map[string]*link
	accepted map[net.Conn]struct{}
	closed   bool
}

// Serve starts a transport on a listener. handler gets all messages for this process of the daemon.
func Serve(listener net.Listener, self structs.DaemonID, handler peer.Handler, counter Counter, logger zerolog.Logger) *Transport {
	return serve(listener, dialTCP, self, handler, counter, logger)
}

// Listen starts a transport at the address of self. handler gets all messages for this process of
// the daemon.
func Listen(self structs.DaemonID, handler peer.Handler, counter Counter, logger zerolog.Logger) (*Transport, error) {
	return ListenOn(self.Address(), self, handler, counter, logger)
}

// ListenOn is like Listen, at another address than the one that other daemons dial, which must be
// forwarded to it.
func ListenOn(address string, self structs.DaemonID, handler peer.Handler, counter Counter, logger zerolog.Logger) (*Transport, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "peer: listen")
	}
	return serve(listener, dialTCP, self, handler, counter, logger), nil
}

// serve starts a transport with a listener and a dialFunc.
func serve(listener net.Listener, dial dialFunc, self structs.DaemonID, handler peer.Handler, counter Counter, logger zerolog.Logger) *Transport {
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
		accepted: map[net.Conn]struct{}{},
	}
	t.workers.Add(1)
	go t.acceptConnections()
	return t
}

// Close closes all connections and waits for the goroutines.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.closed = true
	for conn := range t.accepted {
		_ = conn.Close()
	}
	t.mutex.Unlock()
	t.cancel()
	_ = t.listener.Close()
	t.workers.Wait()
}

// Send implements peer.Transport. A message to this daemon itself is encoded and decoded, but does
// not use the network. If it is a peer.Immediate, it goes directly to the handler.
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
	if !l.queue.push(line) {
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
		l = &link{address: address, queue: newMessageQueue()}
		t.links[address] = l
		t.workers.Add(1)
		if address == t.self.Address() {
			go t.loopBack(l)
		} else {
			go t.runLink(l)
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
		case <-l.queue.added:
			for line, found := l.queue.pop(); found && t.context.Err() == nil; line, found = l.queue.pop() {
				t.receive(&decoder, line.Bytes())
				recycle(line)
			}
		}
	}
}
