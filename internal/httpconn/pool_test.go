package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// rawServer answers each request on a connection with the next text; "" closes the connection.
type rawServer struct {
	address string
	mutex   sync.Mutex
	answers []string
	bodies  []string
	// skipBody: answer before the body is read.
	skipBody bool
	accepted atomic.Int64
}

func newRawServer(t *testing.T, answers ...string) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{address: listener.Addr().String(), answers: answers}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go s.serve(conn)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.skipBody {
			body, _ := io.ReadAll(request.Body)
			s.mutex.Lock()
			s.bodies = append(s.bodies, string(body))
			s.mutex.Unlock()
		}
		s.mutex.Lock()
		answer := ""
		if len(s.answers) > 0 {
			answer, s.answers = s.answers[0], s.answers[1:]
		}
		s.mutex.Unlock()
		if answer == "" {
			return
		}
		_, _ = io.WriteString(conn, answer)
		if s.skipBody {
			time.Sleep(50 * time.Millisecond)
			return
		}
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=10\r\n\r\nok"

func newRequest(body string) *http.Request {
	request := &http.Request{Method: "POST", URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{}, ContentLength: int64(len(body))}
	if body != "" {
		request.Body = io.NopCloser(strings.NewReader(body))
	}
	return request
}

func exchangeBody(t *testing.T, p *Pool, address string, body string) (string, error) {
	t.Helper()
	response, err := p.Do(context.Background(), address, Bounds{}, newRequest(body))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func TestConnectionIsUsedAgain(t *testing.T) {
	s := newRawServer(t, okAnswer, okAnswer, okAnswer)
	p := NewPool(time.Second)
	for range 3 {
		if body, err := exchangeBody(t, p, s.address, "b"); err != nil || body != "ok" {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if got := s.accepted.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

func TestConnectionIsNotUsedAgain(t *testing.T) {
	for name, answer := range map[string]string{
		"told to close":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"bytes behind an answer": okAnswer + okAnswer,
		"no length":              "HTTP/1.0 200 OK\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, answer, okAnswer)
			p := NewPool(time.Second)
			if name == "no length" {
				s.answers = s.answers[:1]
				s.answers = append(s.answers, "")
			}
			response, err := p.Do(context.Background(), s.address, Bounds{}, newRequest(""))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadFull(response.Body, make([]byte, 2))
			if name != "no length" {
				_, _ = io.ReadAll(response.Body)
			}
			_ = response.Body.Close()
			_, _ = exchangeBody(t, p, s.address, "")
			if got := s.accepted.Load(); got != 2 {
				t.Errorf("%d connections, want 2", got)
			}
		})
	}
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := newRawServer(t, okAnswer, "", okAnswer)
	p := NewPool(time.Second)
	if _, err := exchangeBody(t, p, s.address, ""); err != nil {
		t.Fatal(err)
	}
	_, err := exchangeBody(t, p, s.address, "") // the request is read, then the connection closed
	if !errors.Is(err, ErrBroken) || IsNotSent(err) {
		t.Errorf("got %v, want %v: the request may have run", err, ErrBroken)
	}
	if body, err := exchangeBody(t, p, s.address, ""); err != nil || body != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
}

func TestRequestToAClosedPortIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	_, err = exchangeBody(t, NewPool(time.Second), listener.Addr().String(), "")
	if !IsNotSent(err) || !errors.Is(err, ErrRefused) {
		t.Errorf("got %v, want %v", err, ErrRefused)
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	s := newRawServer(t, okAnswer, okAnswer)
	p := NewPool(time.Second)
	first, err := p.Do(context.Background(), s.address, Bounds{Connections: 1}, newRequest(""))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Do(context.Background(), s.address, Bounds{Connections: 1}, newRequest("")); !errors.Is(err, ErrNoConnection) || !IsNotSent(err) {
		t.Errorf("got %v, want %v", err, ErrNoConnection)
	}
	_ = first.Body.Close()
	second, err := p.Do(context.Background(), s.address, Bounds{Connections: 1}, newRequest(""))
	if err != nil {
		t.Fatal(err)
	}
	_ = second.Body.Close()
}

func TestEarlyAnswerToALongBody(t *testing.T) {
	s := newRawServer(t, okAnswer)
	s.skipBody = true
	p := NewPool(time.Second)
	body, err := exchangeBody(t, p, s.address, strings.Repeat("x", 8<<20))
	if err != nil || body != "ok" {
		t.Fatalf("got %q, %v", body, err)
	}
	if c := p.takeIdle(s.address, Bounds{}); c != nil {
		t.Error("a connection is kept although the rest of a body was not sent")
	}
}

func TestContextEndsAnExchange(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := NewPool(time.Second).Do(ctx, listener.Addr().String(), Bounds{}, newRequest("")); !errors.Is(err, ErrBroken) {
		t.Errorf("got %v, want %v", err, ErrBroken)
	}
}

func TestIdleTimeFollowsTheAnswer(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                 defaultIdleTime,
		"timeout=10":       7 * time.Second,
		"max=5, timeout=2": 1400 * time.Millisecond,
		"timeout=x":        defaultIdleTime,
	} {
		header := http.Header{}
		header.Set("Keep-Alive", value)
		if got := idleTime(&http.Response{Header: header}); got != want {
			t.Errorf("%q: got %s, want %s", value, got, want)
		}
	}
}

// TestRequestThatIsLateIsNotSent checks that a request is not sent after Bounds.SendBy.
func TestRequestThatIsLateIsNotSent(t *testing.T) {
	s := newRawServer(t, okAnswer)
	p := NewPool(time.Second)
	late := Bounds{SendBy: time.Now().Add(-time.Millisecond)}
	if _, err := p.Do(context.Background(), s.address, late, newRequest("")); !errors.Is(err, ErrSendTooLate) || !IsNotSent(err) {
		t.Errorf("got %v, want %v", err, ErrSendTooLate)
	}
	response, err := p.Do(context.Background(), s.address, Bounds{Connections: 1, SendBy: time.Now().Add(time.Minute)}, newRequest(""))
	if err != nil {
		t.Fatalf("the unused connection still counts: %v", err)
	}
	_ = response.Body.Close()
}

func TestConnectionOpenedAheadIsUsed(t *testing.T) {
	s := newRawServer(t, okAnswer)
	p := NewPool(time.Second)
	one := Bounds{Connections: 1}
	if err := p.Connect(t.Context(), s.address, one); err != nil {
		t.Fatal(err)
	}
	if err := p.Connect(t.Context(), s.address, one); !errors.Is(err, ErrNoConnection) {
		t.Errorf("another connection: got %v, want %v", err, ErrNoConnection)
	}
	if _, err := exchangeBody(t, p, s.address, ""); err != nil || p.Dials() != 1 {
		t.Errorf("%v, after %d dials", err, p.Dials())
	}
}

// TestRequestToAPeerThatIsCutOffIsDropped checks that the peer sees a reset, not a complete request
// that it would serve.
func TestRequestToAPeerThatIsCutOffIsDropped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancelCause(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := NewPool(time.Second).Do(ctx, listener.Addr().String(), Bounds{}, newRequest("body"))
		ended <- err
	}()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.ReadFull(conn, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	cancel(ErrPeerCutOff)
	if err := <-ended; !errors.Is(err, ErrBroken) || IsNotSent(err) {
		t.Errorf("got %v, want %v", err, ErrBroken)
	}
	if _, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer got %v", err)
	}
}

func TestPeerThatIsEndingIsNotTakenForAlive(t *testing.T) {
	const hold = 50 * time.Millisecond
	living := newRawServer(t, "")
	pool := NewPool(time.Second)
	if err := pool.ConnectAndHold(t.Context(), living.address, hold); err != nil {
		t.Errorf("a peer that keeps the connection: %v", err)
	}
	ending, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if conn, err := ending.Accept(); err == nil {
			_ = conn.Close()
		}
	}()
	if err := pool.ConnectAndHold(t.Context(), ending.Addr().String(), time.Second); !errors.Is(err, ErrResetUnused) {
		t.Errorf("a peer that closes the connection: %v", err)
	}
	_ = ending.Close()
	if err := pool.ConnectAndHold(t.Context(), ending.Addr().String(), hold); !errors.Is(err, ErrRefused) {
		t.Errorf("a peer that has ended: %v", err)
	}
}

func TestHeldConnectionIsUsedLater(t *testing.T) {
	server := newRawServer(t, "")
	pool := NewPool(time.Minute)
	if err := pool.Connect(t.Context(), server.address, Bounds{}); err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range 2 {
		if err := pool.Hold(ended, server.address); err != nil {
			t.Errorf("a peer that keeps the connection: %v", err)
		}
	}
	if dials := pool.Dials(); dials != 1 {
		t.Errorf("%d connections were opened, want 1", dials)
	}
	c := pool.takeIdle(server.address, Bounds{})
	if c == nil {
		t.Fatal("the connection is not kept")
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is not usable: %v", err)
	}
}

func TestHoldEndsWhenThePeerCloses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if conn, err := listener.Accept(); err == nil {
			time.Sleep(20 * time.Millisecond)
			_ = conn.Close()
		}
	}()
	pool := NewPool(time.Second)
	if err := pool.Hold(t.Context(), listener.Addr().String()); !errors.Is(err, ErrResetUnused) {
		t.Errorf("a peer that closes the connection: %v", err)
	}
	_ = listener.Close()
	if err := pool.Hold(t.Context(), listener.Addr().String()); !errors.Is(err, ErrRefused) {
		t.Errorf("a peer that has ended: %v", err)
	}
	if open := len(pool.addresses); open != 0 {
		t.Errorf("%d addresses are left", open)
	}
}

func TestConnectionsToAllAddressesHaveALimit(t *testing.T) {
	pool := NewPool(time.Second)
	pool.LimitConnections(2)
	var addresses []string
	for range 3 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Keep-Alive", "timeout=9") }))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	first, err := pool.Do(t.Context(), addresses[0], Bounds{}, endlessRequest())
	if err != nil {
		t.Fatal(err)
	}
	second, err := pool.Do(t.Context(), addresses[1], Bounds{}, endlessRequest())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := pool.Do(t.Context(), addresses[2], Bounds{}, endlessRequest()); !errors.Is(err, ErrNoConnection) {
		t.Errorf("a third connection: got %v, want ErrNoConnection", err)
	}
	readToEnd(t, second)
	third, err := pool.Do(t.Context(), addresses[2], Bounds{}, endlessRequest())
	if err != nil {
		t.Errorf("beside an idle connection: %v", err)
	} else {
		readToEnd(t, third)
	}
	readToEnd(t, first)
	if pool.opened != 2 {
		t.Errorf("%d connections are counted, want 2", pool.opened)
	}
}

func readToEnd(t *testing.T, response *http.Response) {
	t.Helper()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Error(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
}
