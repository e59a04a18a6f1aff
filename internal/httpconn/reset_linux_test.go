package httpconn

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestRequestOnAConnectionThatWasResetIsNotSent checks that a request counts as not sent if the
// back end reset the new connection before the first byte was written.
func TestRequestOnAConnectionThatWasResetIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	p := NewPool(time.Second)
	c, err := p.open(t.Context(), listener.Addr().String(), Bounds{})
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = accepted.(*net.TCPConn).SetLinger(0) // makes Close send a reset
	_ = accepted.Close()
	for isReusable(c.Conn) {
		time.Sleep(time.Millisecond)
	}
	e := &exchange{pool: p, address: listener.Addr().String(), conn: c, written: make(chan error, 1)}
	if _, err := e.start(newRequest("")); !errors.Is(err, ErrResetUnused) || !IsNotSent(err) {
		t.Errorf("got %v, want %v", err, ErrResetUnused)
	}
}
