package tcp

import (
	"net"
	"testing"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestCutMessagesAreNotHandled(t *testing.T) {
	receiver := &countingHandler{}
	to := listen(t, receiver)
	defer to.Close()
	line, err := peer.Encode(structs.NewDaemonID("127.0.0.1:1", 1), to.self, &membership.UpdatePush{})
	if err != nil {
		t.Fatal(err)
	}
	send := func(sent []byte, isReset bool) {
		connection, err := net.Dial("tcp", to.self.Address())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := connection.Write(sent); err != nil {
			t.Error(err)
		}
		if isReset {
			_ = connection.(*net.TCPConn).SetLinger(0) // makes Close send a reset
		}
		_ = connection.Close()
	}
	withoutEnd := len(line) - len("}\n")
	for length := 1; length <= withoutEnd; length++ {
		send(line[:length], length%2 == 0)
	}
	send([]byte("HTTP/1.1 200 OK\r\n\r\n"), false)
	send(line, false)
	receiver.await(t, 1)
}
