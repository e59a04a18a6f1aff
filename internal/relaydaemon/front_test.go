package relaydaemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener accepts the far ends of pipes.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// caller is one connection of a caller.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (l *pipeListener) dial(t *testing.T) *caller {
	near, far := net.Pipe()
	l.accepted <- far
	t.Cleanup(func() { _ = near.Close() })
	return &caller{t: t, Conn: near, reader: bufio.NewReader(near)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Errorf("%q was not written: %v", text, err)
	}
}

// expectAnswer reads one complete answer.
func (c *caller) expectAnswer(want string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != want {
		c.t.Errorf("got %q, %v, want %q", body, err, want)
	}
}

func (c *caller) expectClosed() {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); err != io.EOF {
		c.t.Errorf("the connection gave %v, want its end", err)
	}
}

// drainTest is a front server whose connections are pipes, for use in a synctest bubble.
type drainTest struct {
	*pipeListener
	server *frontServer
	// release lets requests for /slow be answered.
	release chan struct{}
	drained chan error
	// redirects: the platform routes new connections to other daemons.
	redirects bool
}

// neverRedirects is the redirects function of servers whose callers are never redirected.
func neverRedirects() bool { return false }

func newDrainTest(t *testing.T) *drainTest {
	d := &drainTest{pipeListener: newPipeListener(), release: make(chan struct{}), drained: make(chan error, 1)}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-d.release
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	}
	d.server = newFrontServer(&http.Server{Handler: http.HandlerFunc(handler)}, newFrontListener(d.pipeListener, 0, nil), func() bool { return d.redirects })
	t.Cleanup(d.server.close)
	return d
}

func (d *drainTest) drain(ctx context.Context) {
	go func() { d.drained <- d.server.drain(ctx) }()
	synctest.Wait()
}

const drainTestTime = time.Minute

func TestRequestThatIsHalfReadWhenTheDrainBeginsIsAnswered(t *testing.T) {
	for name, parts := range map[string][2]string{
		"in its head, on a new connection": {"GET /a HTTP/1.1\r\nHo", "st: h\r\n\r\n"},
		"in its body":                      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo", "dy"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDrainTest(t)
				c := d.dial(t)
				c.send(parts[0])
				d.drain(t.Context())
				time.Sleep(2 * firstRequestTime)
				go c.send(parts[1])
				want := "/a "
				if parts[1] == "dy" {
					want = "/a body"
				}
				c.expectAnswer(want)
				c.expectClosed()
				if err := <-d.drained; err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func TestRequestOnANewConnectionIsAnsweredInADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t)
		c := d.dial(t)
		d.drain(t.Context())
		time.Sleep(firstRequestTime / 2)
		c.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		c.expectAnswer("/a ")
		c.expectClosed()
		if err := <-d.drained; err != nil {
			t.Error(err)
		}
	})
}

func TestDrainClosesIdleConnectionsAndWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t)
		idle, silent, slow := d.dial(t), d.dial(t), d.dial(t)
		idle.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		idle.expectAnswer("/a ")
		slow.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		d.drain(t.Context())
		idle.expectClosed()
		silent.expectClosed()
		time.Sleep(drainTestTime)
		select {
		case err := <-d.drained:
			t.Fatalf("the drain ended with an unfinished request: %v", err)
		default:
		}
		close(d.release)
		slow.expectAnswer("/slow ")
		slow.expectClosed()
		if err := <-d.drained; err != nil {
			t.Error(err)
		}
	})
}

func TestDrainEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t)
		c := d.dial(t)
		c.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		ctx, cancel := context.WithTimeout(t.Context(), drainTestTime)
		defer cancel()
		d.drain(ctx)
		if err := <-d.drained; err == nil {
			t.Error("a drain with an unfinished request returned no error")
		}
		d.server.close()
		c.expectClosed()
		close(d.release)
	})
}

// TestNoRequestThatWasTakenIsCutByADrain sends requests on kept connections while the server
// drains: each request that reached the handler must be answered completely.
func TestNoRequestThatWasTakenIsCutByADrain(t *testing.T) {
	const callers = 40
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var taken, answered atomic.Int64
	begun := make(chan struct{}, callers)
	server := newFrontServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		taken.Add(1)
		_, _ = io.Copy(w, r.Body)
	})}, newFrontListener(listener, 0, nil), neverRedirects)
	defer server.close()
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			connection, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				return
			}
			defer func() { _ = connection.Close() }()
			reader := bufio.NewReader(connection)
			for first := true; ; first = false {
				_, _ = io.WriteString(connection, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
				if !readsWhole(reader, "body") {
					return
				}
				answered.Add(1)
				if first {
					begun <- struct{}{}
				}
			}
		})
	}
	for range callers {
		<-begun
	}
	if err := server.drain(t.Context()); err != nil {
		t.Error(err)
	}
	running.Wait()
	if taken.Load() != answered.Load() {
		t.Errorf("%d requests reached the handler, %d were answered completely", taken.Load(), answered.Load())
	}
}

func readsWhole(reader *bufio.Reader, want string) bool {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && string(body) == want
}
