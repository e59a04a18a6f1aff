package httpdriver_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/loopback/loopbacktest"
	"github.com/mintpulley/mintpulley/internal/plugins/httpdriver"
)

func TestRefusedConnectionIsRejected(t *testing.T) {
	if end := endOfPost(t, loopbacktest.FreeAddress(t)); end.Kind != framework.EndRejected {
		t.Errorf("without a listener, the end is %s: %s", end.Kind, end.Message)
	}
}

func TestBrokenConnectionIsLost(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			_ = connection.Close()
		}
	}()
	if end := endOfPost(t, listener.Addr().String()); end.Kind != framework.EndLost {
		t.Errorf("after a broken connection, the end is %s: %s", end.Kind, end.Message)
	}
}

func endOfPost(t *testing.T, address string) framework.AttemptEnd {
	t.Helper()
	response, err := http.Post("http://"+address, "text/plain", nil)
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("the request was answered")
	}
	return httpdriver.EndForSendError(err)
}
