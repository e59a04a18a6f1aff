package tcp

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// countingHandler counts the messages that arrive.
type countingHandler struct{ received atomic.Int64 }

func (c *countingHandler) Receive(structs.DaemonID, peer.Message) { c.received.Add(1) }

func (c *countingHandler) await(t *testing.T, want int64) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for c.received.Load() < want && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if got := c.received.Load(); got != want {
		t.Errorf("%d messages arrived, want %d", got, want)
	}
}

func listen(t *testing.T, handler peer.Handler) *Transport {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	transport, err := Listen(structs.NewDaemonID(address, 1), handler, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return transport
}

func TestQueuedMessagesAreWrittenOnClose(t *testing.T) {
	receiver := &countingHandler{}
	to := listen(t, receiver)
	defer to.Close()
	from := listen(t, &countingHandler{})
	from.Send(to.self, &membership.UpdatePush{})
	receiver.await(t, 1)
	const messages = 500
	for range messages {
		from.Send(to.self, &membership.UpdatePush{})
	}
	from.Close()
	receiver.await(t, 1+messages)
}

// TestImmediateMessageToSelfIsHandledAtOnce sends an immediate message to this daemon, and to an
// earlier incarnation at its address, which must get nothing.
func TestImmediateMessageToSelfIsHandledAtOnce(t *testing.T) {
	receiver := &countingHandler{}
	transport := listen(t, receiver)
	defer transport.Close()
	transport.Send(transport.self, &dispatch.Answer{})
	if got := receiver.received.Load(); got != 1 {
		t.Errorf("%d answers had arrived when Send returned, want 1", got)
	}
	former := structs.NewDaemonID(transport.self.Address(), 0xdead)
	transport.Send(former, &dispatch.Answer{})
	transport.Send(transport.self, &membership.UpdatePush{})
	receiver.await(t, 2)
}

// failingListener fails to accept once, as with too many open files.
type failingListener struct {
	net.Listener
	failed bool
}

var errTooManyFiles = errors.New("too many open files")

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, errTooManyFiles
	}
	return l.Listener.Accept()
}

func TestConnectionsAreAcceptedAfterAnError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	receiver := &countingHandler{}
	self := structs.NewDaemonID(listener.Addr().String(), 1)
	to := serve(&failingListener{Listener: listener}, dialTCP, self, receiver, nil, zerolog.Nop())
	defer to.Close()
	from := listen(t, &countingHandler{})
	defer from.Close()
	from.Send(to.self, &membership.UpdatePush{})
	receiver.await(t, 1)
}
