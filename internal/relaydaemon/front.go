package relaydaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/relay"
	"github.com/mintpulley/mintpulley/internal/route"
)

const (
	// drainPoll separates looks for connections that rest during a drain.
	drainPoll = 20 * time.Millisecond
	// firstRequestTime is how long a new connection may take in a drain until its
	// first request arrives: callers give a connection a second to come up.
	firstRequestTime = time.Second
	// lastAccept is how long a drain goes on to accept connections that the system has
	// accepted: closing the listener resets them, and the requests that have arrived on them.
	lastAccept = 50 * time.Millisecond
)

// frontServer serves callers and can be drained. The Shutdown of http.Server is
// no drain: a request that is read whole after its begin gets no answer.
type frontServer struct {
	server   *http.Server
	listener *frontListener
	// served is closed once no connection is accepted any more.
	served chan struct{}
	// bound ends when giveUp gives up what is not ready of all requests, and cut ends the
	// contexts of all callers, with their cause.
	bound  context.Context
	giveUp context.CancelFunc
	cut    context.CancelCauseFunc
	// redirects tells whether new connections of callers are routed to other daemons.
	redirects func() bool
	draining  atomic.Bool

	mutex  sync.Mutex
	limits route.Limits
	open   map[*frontConnection]struct{}
}

// connectionKey is under which a request's context has its frontConnection.
type connectionKey struct{}

// newFrontServer starts to serve on a listener. Times that callers may take are the
// front server's: server must set none. While redirects is true, no connection is kept.
func newFrontServer(server *http.Server, listener net.Listener, redirects func() bool) *frontServer {
	bound, giveUp := context.WithCancel(context.Background())
	callers, cut := context.WithCancelCause(context.Background())
	s := &frontServer{
		bound:     bound,
		giveUp:    giveUp,
		cut:       cut,
		redirects: redirects,
		server:    server,
		listener:  &frontListener{Listener: listener},
		served:    make(chan struct{}),
		limits:    route.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		open:      map[*frontConnection]struct{}{},
	}
	server.Handler = s.serving(server.Handler)
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	server.BaseContext = func(net.Listener) context.Context { return callers }
	server.ConnState = s.noteState
	go func() {
		defer close(s.served)
		_ = server.Serve(s.listener) // ends when the listener is closed
	}()
	return s
}

// serving takes note of each request whose head was read, and has its answer tell for how
// long the connection may be used again.
func (s *frontServer) serving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := relay.WithShutdownDeadline(r.Context(), s.bound)
		defer cancel()
		r = r.WithContext(ctx)
		connection, known := r.Context().Value(connectionKey{}).(*frontConnection)
		if !known {
			handler.ServeHTTP(w, r)
			return
		}
		connection.enter(phaseServing, time.Now())
		answer := &answerWriter{ResponseWriter: w, server: s, connection: connection}
		handler.ServeHTTP(answer, r)
		answer.announceReuse() // an answer without a body may have no head yet
	})
}

// announcesClose tells whether answers say that their connection closes: in a drain, and while
// new connections of callers are routed to other daemons.
func (s *frontServer) announcesClose() bool { return s.draining.Load() || s.redirects() }

// setLimits puts the operators' limits on callers' time in force, for connections that
// are open, too. A limit of 0 sets no bound.
func (s *frontServer) setLimits(limits route.Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limits = limits
	for connection := range s.open {
		connection.setLimits(limits)
	}
}

// drain accepts no connection any more, answers every request that has begun to
// arrive, and closes connections that rest and that no caller may use again. It returns
// once none is open, or with an error when ctx ends.
func (s *frontServer) drain(ctx context.Context) error {
	s.draining.Store(true)
	s.stopAccepting()
	for s.expireResting(time.Now()) > 0 {
		clock.Sleep(ctx, drainPoll)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// stopAccepting closes the listener once no connection waits to be accepted.
func (s *frontServer) stopAccepting() {
	s.listener.finish()
	<-s.served
}

// close closes the listener and cuts all connections. Contexts end first: that of a caller
// that is cut off tells why.
func (s *frontServer) close() {
	s.giveUp()
	s.cut(relay.ErrShutdownDeadline)
	_ = s.server.Close()
}

// endRests lets connections that rest be closed although their callers may use them, and
// returns how many others are open: at the bound of a stop the process ends in any case.
func (s *frontServer) endRests() (busy int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for connection := range s.open {
		if !connection.endRest(now) {
			busy++
		}
	}
	return busy
}

// count returns how many connections are open.
func (s *frontServer) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// expireResting ends the wait for a next request on connections that rest and that no
// caller may use again, and returns how many connections are open.
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
	now := time.Now()
	switch state {
	case http.StateNew:
		s.add(c)
		c.restFor(firstRequestTime, now)
	case http.StateIdle:
		c.restAfterAnswer(now)
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	}
}

func (s *frontServer) add(c *frontConnection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c.setLimits(s.limits)
	s.open[c] = struct{}{}
}

func (s *frontServer) remove(c *frontConnection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, c)
}
