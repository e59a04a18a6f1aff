package gateway_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/gateway"
)

// TestSlowHeadersAreShedAndDoNotDelayOthers opens connections to a real daemon that
// never finish their headers. They must be closed, and calls meanwhile served.
func TestSlowHeadersAreShedAndDoNotDelayOthers(t *testing.T) {
	address := cluster(t).HTTPAddresses[0]
	t.Parallel()
	var slow []net.Conn
	for range 50 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthor"); err != nil {
			t.Fatal(err)
		}
		slow = append(slow, conn)
	}
	if _, err := client(t, 0, gateway.HeaderProgram, uniqueName(t, "p")).Chat.Completions.New(testContext(t), completionParams("How many loaves?")); err != nil {
		t.Errorf("another caller: %v", err)
	}
	for _, conn := range slow {
		_ = conn.SetReadDeadline(time.Now().Add(testWait))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		var timeout net.Error
		switch {
		case errors.As(err, &timeout) && timeout.Timeout():
			t.Fatal("the daemon keeps a connection whose headers are never completed")
		case err == nil && response.StatusCode < http.StatusBadRequest:
			t.Errorf("an incomplete header was answered with status %d", response.StatusCode)
		}
	}
}
