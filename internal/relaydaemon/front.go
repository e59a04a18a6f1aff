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
	// drainPollInterval is the interval at which a drain checks for idle connections.
	drainPollInterval = 20 * time.Millisecond
	// firstRequestTime is how long a new connection may take to send its first request during a
	// drain. Callers allow a connection a second to be established.
	firstRequestTime = time.Second
	// finalAcceptTime is how long a drain continues to accept connections that the kernel has
	// already established: closing the listener resets them, and with them the requests that have
	// arrived.
	finalAcceptTime = 50 * time.Millisecond
)

// frontServer serves callers and can be drained. http.Server.Shutdown does not suffice: it may
// close a connection on which a request has begun to arrive.
type frontServer struct {
	server   *http.Server
	listener *frontListener
	// acceptEnded is closed once no more connections are accepted.
	acceptEnded chan struct{}
	// shutdownDeadline is a context that reachShutdownDeadline ends at the shutdown deadline:
	// requests without a complete answer are then refused or aborted. cancelAll cancels the
	// contexts of all requests, with a cause.
	shutdownDeadline      context.Context
	reachShutdownDeadline context.CancelFunc
	cancelAll             context.CancelCauseFunc
	// redirects reports whether the platform routes new connections to other daemons.
	redirects func() bool
	draining  atomic.Bool

	mutex  sync.Mutex
	limits route.Limits
	open   map[*frontConnection]struct{}
}

// connectionKey is the context key of a request's frontConnection.
type connectionKey struct{}

// newFrontServer starts to serve on a listener. server must not set timeouts: the front server
// enforces the operators' limits itself. No connection is kept while redirects returns true.
func newFrontServer(server *http.Server, listener *frontListener, redirects func() bool) *frontServer {
	shutdownDeadline, reachShutdownDeadline := context.WithCancel(context.Background())
	callers, cancelAll := context.WithCancelCause(context.Background())
	s := &frontServer{
		shutdownDeadline:      shutdownDeadline,
		reachShutdownDeadline: reachShutdownDeadline,
		cancelAll:             cancelAll,
		redirects:             redirects,
		server:                server,
		listener:              listener,
		acceptEnded:           make(chan struct{}),
		limits:                route.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		open:                  map[*frontConnection]struct{}{},
	}
	server.Handler = s.wrap(server.Handler)
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	server.BaseContext = func(net.Listener) context.Context { return callers }
	server.ConnState = s.onConnState
	go func() {
		defer close(s.acceptEnded)
		_ = server.Serve(s.listener) // ends when the listener is closed
	}()
	return s
}

// wrap wraps the handler: it records that a request's header was read, and adds the headers that
// tell the caller how long it may reuse the connection.
func (s *frontServer) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := relay.WithShutdownDeadline(r.Context(), s.shutdownDeadline)
		defer cancel()
		r = r.WithContext(ctx)
		connection, known := r.Context().Value(connectionKey{}).(*frontConnection)
		if !known {
			handler.ServeHTTP(w, r)
			return
		}
		connection.enter(phaseServing, time.Now())
		answer := &reuseAnnouncer{ResponseWriter: w, server: s, connection: connection}
		mayEndWithConnection := !r.ProtoAtLeast(1, 1) // such an answer has no chunks, and maybe no length
		if mayEndWithConnection {
			connection.resetOnClose(true)
		}
		handler.ServeHTTP(answer, r)
		answer.announceReuse() // an answer without a body may not have written its header yet
		if mayEndWithConnection {
			_ = http.NewResponseController(answer).Flush() // fails if the caller has left
			connection.resetOnClose(false)
		}
	})
}

// announcesClose reports whether answers carry "Connection: close": during a drain, and while the
// platform routes new connections to other daemons.
func (s *frontServer) announcesClose() bool { return s.draining.Load() || s.redirects() }

// setLimits applies the operators' timeouts for callers, also to open connections. A limit of 0
// means none.
func (s *frontServer) setLimits(limits route.Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limits = limits
	for connection := range s.open {
		connection.setLimits(limits)
	}
}

// drain stops accepting connections, answers every request that has begun to arrive, and closes
// each idle connection once its caller may no longer reuse it. It returns when no connection is
// open, or with an error when ctx ends.
func (s *frontServer) drain(ctx context.Context) error {
	s.draining.Store(true)
	s.stopAccepting()
	for s.expireIdle(time.Now()) > 0 {
		clock.Sleep(ctx, drainPollInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// stopAccepting closes the listener once no established connection waits to be accepted.
func (s *frontServer) stopAccepting() {
	s.listener.acceptRemaining()
	<-s.acceptEnded
}

// close closes the listener and all connections. The contexts are canceled first, so that requests
// which are cut off end with ErrShutdownDeadline as their cause.
func (s *frontServer) close() {
	s.reachShutdownDeadline()
	s.cancelAll(relay.ErrShutdownDeadline)
	_ = s.server.Close()
}

// forceExpireIdle closes idle connections even if their callers may still reuse them, and returns
// the number of others. It is called at the shutdown deadline: the connections would not outlast
// the process, which exits before the kill.
func (s *frontServer) forceExpireIdle() (busy int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for connection := range s.open {
		if !connection.forceExpire(now) {
			busy++
		}
	}
	return busy
}

// count returns the number of open connections.
func (s *frontServer) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// expireIdle closes idle connections that their callers may no longer reuse, and returns the
// number of open connections.
func (s *frontServer) expireIdle(now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.open {
		connection.expire(now)
	}
	return len(s.open)
}

// onConnState implements http.Server.ConnState.
func (s *frontServer) onConnState(connection net.Conn, state http.ConnState) {
	c, known := connection.(*frontConnection)
	if !known {
		return
	}
	now := time.Now()
	switch state {
	case http.StateNew:
		s.add(c)
		c.idleFor(firstRequestTime, now)
	case http.StateIdle:
		c.idleAfterAnswer(now)
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
