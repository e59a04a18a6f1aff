package relaydaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
)

const (
	// drainPoll separates looks for connections that rest during a drain.
	drainPoll = 20 * time.Millisecond
	// firstRequestTime is how long a new connection may take in a drain until its
	// first request arrives: callers give a connection a second to come up.
	firstRequestTime = time.Second
)

// frontServer serves callers and can be drained. The Shutdown of http.Server is
// no drain: a request that is read whole after its begin gets no answer.
type frontServer struct {
	server   *http.Server
	listener net.Listener
	// served is closed once no connection is accepted any more.
	served chan struct{}
	// giveUp ends the contexts of all requests, with their cause.
	giveUp context.CancelCauseFunc

	mutex sync.Mutex
	open  map[*frontConnection]struct{}
}

// newFrontServer starts to serve on a listener.
func newFrontServer(server *http.Server, listener net.Listener) *frontServer {
	base, giveUp := context.WithCancelCause(context.Background())
	s := &frontServer{
		giveUp:   giveUp,
		server:   server,
		listener: listener,
		served:   make(chan struct{}),
		open:     map[*frontConnection]struct{}{},
	}
	server.BaseContext = func(net.Listener) context.Context { return base }
	server.ConnState = s.noteState
	go func() {
		defer close(s.served)
		_ = server.Serve(frontListener{listener}) // ends when the listener is closed
	}()
	return s
}

// drain accepts no connection any more, answers every request that has begun to
// arrive, and closes connections that rest. It returns once none is open, or
// with an error when ctx ends.
func (s *frontServer) drain(ctx context.Context) error {
	_ = s.listener.Close()
	<-s.served
	for s.expireResting(time.Now()) > 0 {
		clock.Sleep(ctx, drainPoll)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// close closes the listener and cuts all connections.
func (s *frontServer) close() {
	s.giveUp(nil)
	_ = s.server.Close()
}

// count returns how many connections are open.
func (s *frontServer) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// expireResting ends the wait for a next request on connections that rest, and
// returns how many connections are open.
func (s *frontServer) expireResting(now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.open {
		connection.expire(now)
	}
	return len(s.open)
}

// noteState implements http.Server.ConnState.
func (s *frontServer) noteState(connection net.Conn, state http.ConnState) {
	c, known := connection.(*frontConnection)
	if !known {
		return
	}
	switch state {
	case http.StateNew:
		c.rest(time.Now().Add(firstRequestTime))
		s.add(c)
	case http.StateIdle:
		c.rest(time.Now())
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	}
}

func (s *frontServer) add(c *frontConnection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open[c] = struct{}{}
}

func (s *frontServer) remove(c *frontConnection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, c)
}

// frontListener hands out connections that know whether they rest.
type frontListener struct{ net.Listener }

// Accept implements net.Listener.
func (l frontListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &frontConnection{Conn: connection}, nil
}

// frontConnection is a caller's connection. It rests from its last answer until
// the first byte of the next request was read.
type frontConnection struct {
	net.Conn

	mutex sync.Mutex
	// restsFrom is when it rests from; zero while a request is under way.
	restsFrom time.Time
	// expired: the wait for the next request was ended.
	expired bool
}

// Read implements net.Conn.
func (c *frontConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.noteArrived()
	}
	return n, err
}

// CloseWrite lets the server tell the caller that nothing follows while it still
// reads: net/http does so where closing at once would reset the connection.
func (c *frontConnection) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

func (c *frontConnection) rest(from time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.restsFrom = from
}

// noteArrived notes that a request is under way. Where its first bytes crossed
// the end of the wait for them, the rest gets its time.
func (c *frontConnection) noteArrived() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.restsFrom = time.Time{}
	if c.expired {
		c.expired = false
		_ = c.SetReadDeadline(time.Now().Add(headerTimeout)) // fails on a connection that is closed
	}
}

// expire makes the server close the connection if it rests. The server closes it
// itself when its reading fails: it then has no byte of a request.
func (c *frontConnection) expire(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.restsFrom.IsZero() || now.Before(c.restsFrom) {
		return
	}
	c.expired = true
	_ = c.SetReadDeadline(now) // the same
}
