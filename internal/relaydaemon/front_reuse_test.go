package relaydaemon

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/route"
)

// These tests guard against requests that are lost in a planned shutdown: a daemon that closes idle
// connections without having announced how long they may be reused may close one while the next
// request is in flight. It shows only if the link has a delay.

// linkDelay is the one-way delay between callers and the daemon.
const linkDelay = 3 * time.Millisecond

// reuseBound is how long the answer lets its caller reuse the connection: the announced time, or
// else four fifths of the operators' limit; 0 if the answer announces that the connection closes.
func reuseBound(t *testing.T, answer *http.Response, idleTime time.Duration) time.Duration {
	t.Helper()
	if answer.Close {
		return 0
	}
	_, told, isTold := strings.Cut(answer.Header.Get("Keep-Alive"), "timeout=")
	if !isTold {
		return idleTime * 4 / 5
	}
	seconds, err := strconv.Atoi(told)
	if err != nil {
		t.Fatalf("Keep-Alive: %v", err)
	}
	return time.Duration(seconds) * time.Second
}

// exchangeAnswer sends a request and reads the whole answer.
func (c *caller) exchangeAnswer(text string) (*http.Response, error) {
	if _, err := io.WriteString(c.Conn, text); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// TestCallerThatMayStillUseItsConnectionIsAnsweredInAStop begins a drain, or lowers the operators'
// limit, while a request is in flight on a connection that has been idle for a while.
func TestCallerThatMayStillUseItsConnectionIsAnsweredInAStop(t *testing.T) {
	const step = 97 * time.Millisecond
	for name, begin := range map[string]func(t *testing.T, d *drainTest){
		"drain": func(t *testing.T, d *drainTest) { d.drain(t.Context()) },
		"lower limit": func(_ *testing.T, d *drainTest) {
			d.server.setLimits(route.Limits{HeaderTimeout: testHeadTime, IdleTimeout: time.Second})
		},
	} {
		t.Run(name, func(t *testing.T) {
			for idle := step; idle < testIdleTime; idle += step {
				limitsTest(t, func(t *testing.T, d *drainTest) {
					c := d.dial(t)
					answer, err := c.exchangeAnswer("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
					if err != nil {
						t.Fatal(err)
					}
					if reuseBound(t, answer, testIdleTime) < idle {
						return // the caller opens a new connection
					}
					time.Sleep(idle) // the caller then sends the next request, which takes linkDelay to arrive
					time.Sleep(linkDelay / 2)
					begin(t, d)
					time.Sleep(linkDelay / 2)
					if _, err := c.exchangeAnswer("GET /b HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						t.Errorf("after %s idle: no answer: %v", idle, err)
					}
				})
			}
		})
	}
}

// TestConnectionsAreKeptBetweenRequests checks that the announced time is long enough for callers
// to reuse their connections.
func TestConnectionsAreKeptBetweenRequests(t *testing.T) {
	limitsTest(t, func(t *testing.T, d *drainTest) {
		answer, err := d.dial(t).exchangeAnswer("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		if bound := reuseBound(t, answer, testIdleTime); bound < time.Second {
			t.Errorf("the connection may be reused for %s only", bound)
		}
	})
}

// TestAnswersAnnounceTheCloseWhileCallersAreRedirected checks that no connection is kept while a
// daemon is shutting down or isolated.
func TestAnswersAnnounceTheCloseWhileCallersAreRedirected(t *testing.T) {
	for redirects, want := range map[bool]string{true: "", false: "timeout=2"} {
		limitsTest(t, func(t *testing.T, d *drainTest) {
			d.redirects = redirects
			answer, err := d.dial(t).exchangeAnswer("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
			if err != nil {
				t.Fatal(err)
			}
			if got := answer.Header.Get("Keep-Alive"); got != want || answer.Close != redirects {
				t.Errorf("redirects %v: close %v, Keep-Alive %q", redirects, answer.Close, got)
			}
		})
	}
}

// TestIdleConnectionIsNotAnUnfinishedRequest checks that an idle connection that may still be
// reused is closed at the shutdown deadline and does not count as an unfinished request.
func TestIdleConnectionIsNotAnUnfinishedRequest(t *testing.T) {
	limitsTest(t, func(t *testing.T, d *drainTest) {
		c := d.dial(t)
		if _, err := c.exchangeAnswer("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), reuseTime/2)
		defer cancel()
		d.drain(ctx)
		if err := <-d.drained; err == nil {
			t.Fatal("the drain ended before the connection's time was over")
		}
		if busy := d.server.forceExpireIdle(); busy != 0 {
			t.Errorf("%d connections have a request", busy)
		}
		c.expectClosed()
	})
}

// TestConnectionThatTheSystemAcceptedIsServedInADrain checks that a drain serves connections which
// the kernel has established and the daemon has not accepted yet.
func TestConnectionThatTheSystemAcceptedIsServedInADrain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := &gatedListener{Listener: listener, opened: make(chan struct{})}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	server := newFrontServer(&http.Server{Handler: handler}, newFrontListener(gate, 0, nil), neverRedirects)
	defer server.close()
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.WriteString(connection, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	drained := make(chan error, 1)
	go func() { drained <- server.drain(context.Background()) }()
	if !readsWhole(bufio.NewReader(connection), "whole") {
		t.Error("no answer")
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// gatedListener accepts nothing until it is closed or a while after its deadline, like a process
// that is not scheduled.
type gatedListener struct {
	net.Listener
	open   sync.Once
	opened chan struct{}
}

func (l *gatedListener) openGate() { l.open.Do(func() { close(l.opened) }) }

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.opened
	return l.Listener.Accept()
}

func (l *gatedListener) Close() error {
	defer l.openGate()
	return l.Listener.Close()
}

// SetDeadline implements deadlineListener.
func (l *gatedListener) SetDeadline(at time.Time) error {
	defer time.AfterFunc(2*finalAcceptTime, l.openGate)
	limited, ok := l.Listener.(interface{ SetDeadline(at time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return limited.SetDeadline(at)
}
