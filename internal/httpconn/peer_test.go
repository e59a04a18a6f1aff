package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// namedServer is a server that tells its identity at /who, and answers all else.
type namedServer struct {
	identity string
	// closes: it closes the connection after it told its identity.
	closes         bool
	asked, answers atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *namedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/who" {
		s.answers.Add(1)
		_, _ = io.WriteString(w, "answer")
		return
	}
	s.asked.Add(1)
	if s.closes {
		w.Header().Set("Connection", "close")
	}
	if s.identity == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, s.identity)
}

// wantPeer returns a Peer with an identity at an address.
func wantPeer(t *testing.T, address, identity string) *Peer {
	t.Helper()
	question, err := http.NewRequest(http.MethodGet, "http://"+address+"/who", nil)
	if err != nil {
		t.Fatal(err)
	}
	return &Peer{Identity: identity, Question: question, Read: func(response *http.Response) string {
		if response.StatusCode != http.StatusOK {
			return ""
		}
		told, _ := io.ReadAll(response.Body) // a short read is another identity
		return string(told)
	}}
}

// exchangeWith makes one exchange with the process that must be at an address.
func exchangeWith(t *testing.T, p *Pool, address, identity string) error {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := p.Do(context.Background(), address, Bounds{Peer: wantPeer(t, address, identity)}, request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

func TestRequestReachesOnlyTheProcessItIsMeantFor(t *testing.T) {
	for name, c := range map[string]struct {
		server        *namedServer
		wanted        string
		err           error
		asked, answer int64
	}{
		"the wanted one":             {&namedServer{identity: "a"}, "a", nil, 1, 3},
		"another one":                {&namedServer{identity: "b"}, "a", ErrOtherPeer, 3, 0},
		"one that does not tell":     {&namedServer{}, "a", nil, 1, 3},
		"one that closes when asked": {&namedServer{identity: "a", closes: true}, "a", ErrResetUnused, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.server)
			defer server.Close()
			p := NewPool(time.Second)
			for range 3 {
				if err := exchangeWith(t, p, server.Listener.Addr().String(), c.wanted); !errors.Is(err, c.err) {
					t.Errorf("got %v, want %v", err, c.err)
				}
			}
			if asked, answers := c.server.asked.Load(), c.server.answers.Load(); asked != c.asked || answers != c.answer {
				t.Errorf("asked %d times for its identity and %d times for an answer, want %d and %d", asked, answers, c.asked, c.answer)
			}
		})
	}
}

// TestRestartedProcessIsNotTakenForTheFormerOne restarts a process at its address between two
// requests, the second of which is meant for the former run.
func TestRestartedProcessIsNotTakenForTheFormerOne(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	former := &http.Server{Handler: &namedServer{identity: "run 1"}, ReadHeaderTimeout: time.Minute}
	go func() { _ = former.Serve(listener) }()
	p := NewPool(time.Second)
	if err := exchangeWith(t, p, address, "run 1"); err != nil {
		t.Fatal(err)
	}
	_ = former.Close()
	if listener, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	restarted := &namedServer{identity: "run 2"}
	later := &http.Server{Handler: restarted, ReadHeaderTimeout: time.Minute}
	defer func() { _ = later.Close() }()
	go func() { _ = later.Serve(listener) }()
	if err := exchangeWith(t, p, address, "run 1"); !errors.Is(err, ErrOtherPeer) {
		t.Errorf("got %v, want %v", err, ErrOtherPeer)
	}
	if answers := restarted.answers.Load(); answers != 0 {
		t.Errorf("the restarted process got %d requests", answers)
	}
	if err := exchangeWith(t, p, address, "run 2"); err != nil {
		t.Error(err)
	}
}
