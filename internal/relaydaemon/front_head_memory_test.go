package relaydaemon

import (
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/mintpulley/mintpulley/internal/memorybudget"
)

func TestHeadsOfManyCallersShareABudget(t *testing.T) {
	const head, callers = 16 << 10, 10
	budget := memorybudget.New(3 * headMemoryFactor * head)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := newFrontListener(listener, 0, budget)
	defer func() { _ = front.Close() }()
	refused := 0
	var open []net.Conn
	for range callers {
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = caller.Close() }()
		if _, err := caller.Write([]byte(strings.Repeat("x", head))); err != nil {
			t.Fatal(err)
		}
		accepted, err := front.Accept()
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, accepted)
		if err := readBytes(accepted, head); errors.Is(err, memorybudget.ErrFull) {
			refused++
		}
	}
	if refused != callers-3 {
		t.Errorf("%d of %d heads did not fit, want %d", refused, callers, callers-3)
	}
	for _, connection := range open {
		_ = connection.Close()
		_ = connection.Close() // net/http may close twice
	}
	if held := budget.Held(); held != 0 {
		t.Errorf("%d bytes are held once all connections are closed", held)
	}
}

// readBytes reads a number of bytes.
func readBytes(connection net.Conn, count int) error {
	buffer := make([]byte, 4<<10)
	for count > 0 {
		n, err := connection.Read(buffer)
		if err != nil {
			return err
		}
		count -= n
	}
	return nil
}
