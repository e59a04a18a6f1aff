package httpconn

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// longUpload is the size in bytes of a request body that fills the buffers of both kernels.
const longUpload = 16 << 20

// partServer answers its first connection with a part of a body without length, before it reads the request, and
// then ends the connection by a function.
func partServer(t *testing.T, end func(connection *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
		end(connection.(*net.TCPConn))
	}()
	return listener.Addr().String()
}

func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0) // makes Close send a reset
	_ = connection.Close()
}

func TestAnswerWithoutLengthThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	release := make(chan struct{})
	address := partServer(t, func(connection *net.TCPConn) {
		<-release
		reset(connection)
	})
	response, err := NewPool(time.Second).Do(t.Context(), address, Bounds{}, newRequest(strings.Repeat("u", longUpload)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	exchange := response.Body.(*body).exchange
	close(release)
	written := <-exchange.written // the writer learns of the reset before the reader asks
	exchange.written <- written
	if written == nil {
		t.Fatal("the upload was written whole")
	}
	got, err := io.ReadAll(response.Body)
	if !errors.Is(err, ErrBroken) {
		t.Errorf("got %q with the error %v, want ErrBroken; the writer got %v", got, err, written)
	}
}

func TestAnswerWithoutLengthDuringTheUploadIsCompleteOnlyIfItEndsInOrder(t *testing.T) {
	for name, test := range map[string]struct {
		end        func(*net.TCPConn)
		isComplete bool
	}{
		"ends its side and reads on":     {func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, true},
		"ends its side, reads no more":   {func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(10 * uploadEndTime) }, true},
		"ends its side, then is reset":   {func(c *net.TCPConn) { _ = c.CloseWrite(); reset(c) }, false},
		"is reset while it reads":        {func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, longUpload/2); reset(c) }, false},
		"is closed with unread input":    {func(*net.TCPConn) {}, false},
		"is reset after it was all read": {func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, longUpload); reset(c) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := exchangeBody(t, NewPool(time.Second), partServer(t, test.end), strings.Repeat("u", longUpload))
			if isComplete := err == nil; isComplete != test.isComplete {
				t.Errorf("got %q with the error %v, want complete: %v", body, err, test.isComplete)
			}
			if test.isComplete && body != "part" {
				t.Errorf("got %q", body)
			}
		})
	}
}
