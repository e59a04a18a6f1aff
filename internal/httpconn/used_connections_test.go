package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// newRepeatingServer numbers its answers, and repeats them.
func newRepeatingServer(t *testing.T) (address string) {
	t.Helper()
	var number atomic.Int64
	return listenAndRepeat(t, func(*http.Request) string { return answerOf("", fmt.Sprint(number.Add(1))) })
}

// setIdleFor makes all idle connections to an address count as idle for a time.
func (p *Pool) setIdleFor(name string, idle time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.addresses[name].idle {
		c.idleSince = time.Now().Add(-idle)
	}
}

// sendOn sends a request that was sent on some connections before, and returns the answer.
func sendOn(t *testing.T, p *Pool, address string, bounds Bounds) (string, error) {
	t.Helper()
	response, err := p.Do(t.Context(), address, bounds, newRequest("b"))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a late copy of an answer being taken for the answer to the same request's next send.
func TestRequestThatIsSentAgainGetsNoCopyOfItsEarlierAnswer(t *testing.T) {
	for name, limit := range map[string]int{"without a limit of connections": 0, "at the limit of connections": 1} {
		t.Run(name, func(t *testing.T) {
			address := newRepeatingServer(t)
			p := NewPool(time.Second)
			used := &UsedConnections{}
			for i := range 3 {
				if got, err := sendOn(t, p, address, Bounds{Connections: limit, Used: used}); err != nil || got != fmt.Sprint(i+1) {
					t.Fatalf("send %d: got answer %q, %v", i+1, got, err)
				}
				p.setIdleFor(address, minIdleReplaced)
			}
		})
	}
}

// Guards against a full back end that gets a new connection for each request that is offered to it again.
func TestConnectionIsNotReplacedSoon(t *testing.T) {
	address := newRepeatingServer(t)
	p := NewPool(time.Second)
	used := &UsedConnections{}
	if _, err := sendOn(t, p, address, Bounds{Connections: 1, Used: used}); err != nil {
		t.Fatal(err)
	}
	p.setIdleFor(address, -time.Minute) // however slowly the test runs
	if _, err := sendOn(t, p, address, Bounds{Connections: 1, Used: used}); !errors.Is(err, ErrNoConnection) {
		t.Errorf("got %v, want %v", err, ErrNoConnection)
	}
	if got, err := sendOn(t, p, address, Bounds{Connections: 1, Used: &UsedConnections{}}); err != nil {
		t.Errorf("another request on the connection: %q, %v", got, err)
	}
	if p.Dials() != 1 || p.Replaced() != 0 {
		t.Errorf("%d connections opened, %d replaced, want 1 and 0", p.Dials(), p.Replaced())
	}
}

func TestConnectionThatARequestUsedServesOthers(t *testing.T) {
	s := newRawServer(t, okAnswer, okAnswer, okAnswer, okAnswer)
	p := NewPool(time.Second)
	first, second := &UsedConnections{}, &UsedConnections{}
	for _, used := range []*UsedConnections{first, first, second, second} {
		if _, err := sendOn(t, p, s.address, Bounds{Used: used}); err != nil {
			t.Fatal(err)
		}
	}
	if dials, replaced := p.Dials(), p.Replaced(); dials != 2 || replaced != 0 {
		t.Errorf("%d connections opened, %d closed for others, want 2 and 0", dials, replaced)
	}
	if first.Latest() == second.Latest() {
		t.Errorf("both requests were last sent on connection %d", first.Latest())
	}
}

// At the limit, a connection is closed for another one only if it is idle.
func TestConnectionInUseIsNotClosedForAnother(t *testing.T) {
	s := newRawServer(t, okAnswer, okAnswer)
	p := NewPool(time.Second)
	used := &UsedConnections{}
	response, err := p.Do(t.Context(), s.address, Bounds{Connections: 1, Used: used}, newRequest(""))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := sendOn(t, p, s.address, Bounds{Connections: 1, Used: used}); !errors.Is(err, ErrNoConnection) {
		t.Errorf("got %v, want %v", err, ErrNoConnection)
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Errorf("the answer on the connection in use: %v", err)
	}
	_ = response.Body.Close()
	if p.Replaced() != 0 {
		t.Errorf("%d connections were closed for others", p.Replaced())
	}
}

// Guards against a caller's second request with the same ID being given a late copy of the answer to the first.
func TestRequestWithAnAnsweredLabelGetsNoCopyOfThatAnswer(t *testing.T) {
	for name, limit := range map[string]int{"without a limit of connections": 0, "at the limit of connections": 1} {
		t.Run(name, func(t *testing.T) {
			var number atomic.Int64
			address := listenAndRepeat(t, func(*http.Request) string { return answerOf("a", fmt.Sprint(number.Add(1))) })
			p := NewPool(time.Second)
			labels := &Labels{Request: "a", Of: func(response *http.Response) string { return response.Header.Get(labelHeader) }}
			for i := range 3 {
				bounds := Bounds{Connections: limit, Used: &UsedConnections{}, Labels: labels}
				if got, err := sendOn(t, p, address, bounds); err != nil || got != fmt.Sprint(i+1) {
					t.Fatalf("request %d: got answer %q, %v", i+1, got, err)
				}
				p.setIdleFor(address, minIdleReplaced)
			}
		})
	}
}
