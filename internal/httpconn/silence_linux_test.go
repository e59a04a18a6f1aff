package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// patience is how long callers of these tests wait.
const patience = 10 * time.Second

// serveOnce passes the first connection on, with the head of its request read.
func serveOnce(t *testing.T, serve func(conn *net.TCPConn, request *http.Request)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			serve(conn.(*net.TCPConn), request)
		}
	}()
	return listener.Addr().String()
}

// goDark lets the system drop whatever comes on a connection, and so acknowledge nothing.
func goDark(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]})
	})
	return errors.Join(err, failure)
}

// TestAnswerOfADeadMachineFails: a stream stood still until its caller left. The machine that sent
// it had lost power, or its connection had gone silent while new ones worked; nothing was sent to
// it any more that it could have failed to acknowledge.
func TestAnswerOfADeadMachineFails(t *testing.T) {
	for name, length := range map[string]int{"short request": 10, "long request": 1 << 20} {
		t.Run(name, func(t *testing.T) { t.Parallel(); testDeadMachine(t, strings.Repeat("x", length)) })
	}
}

func testDeadMachine(t *testing.T, request string) {
	address := serveOnce(t, func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
		if err := goDark(conn); err != nil {
			t.Error(err)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	response, err := NewPool(time.Second).Do(ctx, address, Bounds{}, get(request))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); !errors.Is(err, syscall.ETIMEDOUT) || string(body) != "part" {
		t.Errorf("got %q, %v, want %v", body, err, syscall.ETIMEDOUT)
	}
}

// TestRequestToASlowReaderLasts: a call with a long body that must not run twice ended with 502. Its
// back end had been busy and read only the head at first; it acknowledged all that it had room for,
// and the rest waited here. The system counted that as unacknowledged.
func TestRequestToASlowReaderLasts(t *testing.T) {
	t.Parallel()
	address := serveOnce(t, func(conn *net.TCPConn, request *http.Request) {
		time.Sleep(2 * unacknowledgedTimeout)
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, okAnswer)
	})
	if body, err := exchangeBody(t, NewPool(time.Second), address, strings.Repeat("x", 1<<20)); err != nil || body != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
}

// TestAnswerOfASlowMachineLasts: its process says nothing, and the machine acknowledges all it gets.
func TestAnswerOfASlowMachineLasts(t *testing.T) {
	t.Parallel()
	address := serveOnce(t, func(conn *net.TCPConn, _ *http.Request) {
		time.Sleep(2 * unacknowledgedTimeout)
		_, _ = io.WriteString(conn, okAnswer)
	})
	if body, err := exchangeBody(t, NewPool(time.Second), address, ""); err != nil || body != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
}
