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

// requestTimeout is the timeout of requests in these tests.
const requestTimeout = 10 * time.Second

// serveOnce calls serve with the first connection, after reading the header of its request.
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

// dropIncoming makes the kernel drop all packets that arrive on a connection, so that it
// acknowledges nothing.
func dropIncoming(conn *net.TCPConn) error {
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

// TestAnswerOfADeadMachineFails guards against a response that stalls until its caller leaves,
// because the machine that sends it died or its connection went silent, and no bytes are in flight
// whose missing acknowledgement would show it.
func TestAnswerOfADeadMachineFails(t *testing.T) {
	for name, length := range map[string]int{"short request": 10, "long request": 1 << 20} {
		t.Run(name, func(t *testing.T) { t.Parallel(); testDeadMachine(t, strings.Repeat("x", length)) })
	}
}

func testDeadMachine(t *testing.T, request string) {
	address := serveOnce(t, func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
		if err := dropIncoming(conn); err != nil {
			t.Error(err)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	defer cancel()
	response, err := NewPool(time.Second).Do(ctx, address, Bounds{}, newRequest(request))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); !errors.Is(err, syscall.ETIMEDOUT) || string(body) != "part" {
		t.Errorf("got %q, %v, want %v", body, err, syscall.ETIMEDOUT)
	}
}

// TestRequestToASlowReaderLasts guards against the failure of a long request whose back end is slow
// to read it: the bytes that do not fit into its receive buffer count as unacknowledged.
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

// TestAnswerOfASlowMachineLasts checks that a slow back end whose kernel acknowledges everything is
// not considered dead.
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
