package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/mintpulley/mintpulley/internal/standin/control"
)

const loopback = "127.0.0.1:0"

// echo starts a server that echoes all bytes and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func newRouteForTest(t *testing.T) (*Proxy, *Route) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	p := New(1)
	t.Cleanup(p.Close)
	route, err := p.Add("r", loopback, echo(t))
	if err != nil {
		t.Fatal(err)
	}
	return p, route
}

func dial(t *testing.T, route *Route) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", route.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a line and returns the line read within a time limit.
func exchange(conn net.Conn, line string, within time.Duration) (string, error) {
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	return readWithin(conn, within)
}

func readWithin(conn net.Conn, within time.Duration) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer), err
}

func set(t *testing.T, route *Route, faults Faults) {
	t.Helper()
	if err := route.Faults.Set(faults); err != nil {
		t.Fatal(err)
	}
}

const (
	longTimeout  = 5 * time.Second
	shortTimeout = 60 * time.Millisecond
)

func TestDelayBothWays(t *testing.T) {
	_, route := newRouteForTest(t)
	delay := DirectionFaults{Delay: control.Duration(30 * time.Millisecond)}
	set(t, route, Faults{ToTarget: delay, ToClient: delay})
	conn := dial(t, route)
	began := time.Now()
	answer, err := exchange(conn, "hello", longTimeout)
	if err != nil || answer != "hello" {
		t.Fatalf("got %q, %v", answer, err)
	}
	if took := time.Since(began); took < 60*time.Millisecond {
		t.Errorf("took %v, want at least 60ms", took)
	}
}

func TestRefuseClosesNewConnections(t *testing.T) {
	_, route := newRouteForTest(t)
	set(t, route, Faults{Refuse: true})
	conn, err := net.Dial("tcp", route.Address())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if answer, err := exchange(conn, "hello", longTimeout); err == nil || isTimeout(err) {
		t.Errorf("got %q, %v", answer, err)
	}
}

func TestCutBreaksOpenConnections(t *testing.T) {
	_, route := newRouteForTest(t)
	conn := dial(t, route)
	if _, err := exchange(conn, "hello", longTimeout); err != nil {
		t.Fatal(err)
	}
	if count := route.Cut(); count != 1 {
		t.Errorf("cut %d connections, want 1", count)
	}
	if _, err := readWithin(conn, longTimeout); err == nil || isTimeout(err) {
		t.Errorf("the connection was not reset: %v", err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func TestHeldBytesArriveWhenLifted(t *testing.T) {
	_, route := newRouteForTest(t)
	conn := dial(t, route)
	if _, err := exchange(conn, "first", longTimeout); err != nil {
		t.Fatal(err)
	}
	set(t, route, Faults{ToClient: DirectionFaults{Hold: true}})
	if answer, err := exchange(conn, "second", shortTimeout); !isTimeout(err) {
		t.Fatalf("got %q, %v while held", answer, err)
	}
	set(t, route, Faults{})
	if answer, err := readWithin(conn, longTimeout); err != nil || answer != "second" {
		t.Errorf("got %q, %v", answer, err)
	}
}

func TestDropResetsConnectionOnceLifted(t *testing.T) {
	_, route := newRouteForTest(t)
	conn := dial(t, route)
	if _, err := exchange(conn, "first", longTimeout); err != nil {
		t.Fatal(err)
	}
	set(t, route, Faults{ToTarget: DirectionFaults{Drop: true}})
	if answer, err := exchange(conn, "second", shortTimeout); !isTimeout(err) {
		t.Fatalf("got %q, %v while dropped", answer, err)
	}
	set(t, route, Faults{})
	if answer, err := readWithin(conn, longTimeout); err == nil || isTimeout(err) {
		t.Errorf("the connection survived the loss of bytes: %q, %v", answer, err)
	}
}

func TestHalfCloseAffectsOneSideOnly(t *testing.T) {
	_, route := newRouteForTest(t)
	conn := dial(t, route)
	if _, err := exchange(conn, "first", longTimeout); err != nil {
		t.Fatal(err)
	}
	route.HalfClose(SideClient)
	if _, err := readWithin(conn, longTimeout); !errors.Is(err, io.EOF) {
		t.Errorf("read %v, want the end", err)
	}
	if _, err := io.WriteString(conn, "still open\n"); err != nil {
		t.Errorf("write: %v", err)
	}
}

func TestClientGoneDuringPartitionNeverConnects(t *testing.T) {
	p, _ := newRouteForTest(t)
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	route, err := p.Add("late", loopback, listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	set(t, route, Faults{ToTarget: DirectionFaults{Hold: true}})
	conn := dial(t, route)
	if _, err := exchange(conn, "hello", shortTimeout); !isTimeout(err) {
		t.Fatalf("read %v", err)
	}
	_ = conn.Close()
	set(t, route, Faults{})
	_ = listener.(*net.TCPListener).SetDeadline(time.Now().Add(shortTimeout))
	if arrived, err := listener.Accept(); err == nil {
		_ = arrived.Close()
		t.Error("the target was connected for a client that had disconnected")
	}
}

func TestControlOverHTTP(t *testing.T) {
	p, route := newRouteForTest(t)
	server := httptest.NewServer(p)
	defer server.Close()
	put := func(body string) int {
		request, _ := http.NewRequest(http.MethodPut, server.URL+"/routes/r/faults", strings.NewReader(body))
		response, err := server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	if status := put(`{"to_target":{"delay":"40ms"}}`); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if got := time.Duration(route.Faults.Get().ToTarget.Delay); got != 40*time.Millisecond {
		t.Errorf("delay %v", got)
	}
	for _, bad := range []string{`{"to_target":{"delay":"-1s"}}`, `{"unknown":1}`, `{"to_client":{"bytes_per_second":-1}}`} {
		if status := put(bad); status != http.StatusBadRequest {
			t.Errorf("%s: status %d", bad, status)
		}
	}
}
