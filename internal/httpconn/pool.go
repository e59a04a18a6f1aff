// Package httpconn keeps HTTP/1.1 connections to back ends and makes one exchange at a time on
// each. Unlike net/http's Transport, it never repeats a request, reports whether any byte of it was
// sent, and limits the connections to each address, so that the caller alone decides what may run
// twice. TCP keep-alive probes detect a dead peer, also while a response is awaited. Messages are
// written and parsed by net/http.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/tcpoption"
)

const (
	// defaultIdleTime is how long a connection may be reused after a response without a Keep-Alive
	// timeout.
	defaultIdleTime = 400 * time.Millisecond
	// idleShare is the share of the announced Keep-Alive timeout that is used.
	idleShare = 0.7
	// minIdleReplaced is how long a connection must have been idle to be closed for another one. It
	// bounds the connections that a back end gets while many requests are sent to it again.
	minIdleReplaced = 250 * time.Millisecond
	// bufferSize is the size of read and write buffers in bytes.
	bufferSize = 4 << 10
	// maxInlineBody is the maximum size, in bytes, of a body that is written before the response is
	// read. A longer one is written in parallel, as a back end may respond without reading it.
	maxInlineBody = 2 << 10
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged until the kernel closes
	// the connection. It covers two keep-alive probes, one of which may be lost.
	unacknowledgedTimeout = 2500 * time.Millisecond
	// keepAliveInterval is the idle time before the first keep-alive probe and the time between
	// probes. Probes are needed because nothing else is sent while a response is awaited. It is the
	// shortest interval that the kernel supports.
	keepAliveInterval = time.Second
	// unansweredProbes is the number of unanswered probes that end a connection without a limit on
	// unacknowledged bytes. It is the number that fit into unacknowledgedTimeout.
	unansweredProbes = 2
	// minLongBody is the size in bytes from which a body may exceed what the peer's kernel buffers
	// while its process does not read. Bytes that wait for a zero window to open count as
	// unacknowledged, so such a request must have no limit on them. Between two Linux systems
	// 60 KB never filled the buffers, and 200 KB always did.
	minLongBody = 64 << 10
)

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	dialTimeout time.Duration
	mutex       sync.Mutex
	addresses   map[string]*address
	// limit is the maximum number of connections to all addresses together, 0 for no limit, and opened the
	// number of those that are open.
	limit, opened int
	counts        counts
}

type address struct {
	idle []*conn
	// open is the number of connections, including those in use.
	open int
}

// NewPool returns a pool that dials with a timeout.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{dialTimeout: dialTimeout, addresses: map[string]*address{}}
}

// Bounds limit an exchange. The zero value sets no limits.
type Bounds struct {
	// Connections is the maximum number of open connections to the address; 0 for no limit.
	Connections int
	// SendBy is the latest time to start sending the request; zero for no limit.
	SendBy time.Time
	// Fresh makes the exchange open a new connection instead of reusing an idle one.
	Fresh bool
	// ConnectTimeout is the timeout of dialling; 0 for that of the pool.
	ConnectTimeout time.Duration
	// Peer, if not nil, is the process that must be at the other end.
	Peer *Peer
	// Used, if not nil, lists the connections on which the same request was sent before: none of them
	// is used. The pool adds the one that it sends the request on.
	Used *UsedConnections
	// Labels, if not nil, tells the answers on a connection apart, so that a late second answer to an
	// earlier request is skipped.
	Labels *Labels
}

// exclude reports whether a request must not be sent on a connection: it was sent there before, by its
// sender or by another one that gave it the same label.
func (b Bounds) exclude(c *conn) bool {
	return b.Used.contains(c) || b.Labels != nil && c.hasAnswered(b.Labels.Request)
}

// Do sends a request to an address and reads the response header. The response body must be closed;
// if it was read to its end, the connection is kept. The error wraps ErrNotSent or ErrBroken. When
// ctx ends, the connection is closed; if the cause is ErrPeerCutOff, undelivered data is dropped.
func (p *Pool) Do(ctx context.Context, name string, bounds Bounds, request *http.Request) (*http.Response, error) {
	c, err := p.take(ctx, name, bounds)
	if err != nil {
		return nil, err
	}
	if !bounds.SendBy.IsZero() && time.Now().After(bounds.SendBy) {
		p.drop(name, c)
		return nil, ErrSendTooLate
	}
	e := &exchange{pool: p, address: name, conn: c, written: make(chan error, 1), labels: bounds.Labels}
	e.stop = context.AfterFunc(ctx, func() { c.closeWithCause(context.Cause(ctx)) })
	bounds.Used.add(c)
	response, err := e.start(request)
	if err != nil {
		e.discard()
		return nil, err
	}
	return response, nil
}

// take returns a connection to an address: an idle one, or a new one. An idle one may have been
// closed meanwhile, so it is not the last word.
func (p *Pool) take(ctx context.Context, name string, bounds Bounds) (*conn, error) {
	if !bounds.Fresh {
		if c := p.takeIdle(name, bounds); c != nil {
			if p.identify(ctx, c, bounds) == nil {
				return c, nil
			}
			p.drop(name, c)
		}
	}
	c, err := p.open(ctx, name, bounds)
	if errors.Is(err, ErrNoConnection) && p.closeExcluded(name, bounds) {
		c, err = p.open(ctx, name, bounds)
	}
	if err != nil {
		return nil, err
	}
	if err := p.identify(ctx, c, bounds); err != nil {
		p.drop(name, c)
		return nil, eris.Wrap(err, name)
	}
	return c, nil
}

// drop closes a connection on which no request was sent.
func (p *Pool) drop(name string, c *conn) {
	_ = c.Close() // nothing waits to be sent
	p.release(name)
}

// Connect opens a connection to an address and keeps it for a later request. The error wraps
// ErrNotSent.
func (p *Pool) Connect(ctx context.Context, name string, bounds Bounds) error {
	c, err := p.open(ctx, name, bounds)
	if err == nil {
		p.putIdle(name, c, defaultIdleTime)
	}
	return err
}

// ConnectAndHold is Connect without a limit of connections, for a peer that may be ending: it returns
// ErrResetUnused if the peer closes the connection within a time.
func (p *Pool) ConnectAndHold(ctx context.Context, name string, hold time.Duration) error {
	c, err := p.open(ctx, name, Bounds{})
	if err != nil {
		return err
	}
	clock.Sleep(ctx, hold)
	if !isReusable(c.Conn) {
		p.drop(name, c)
		return ErrResetUnused
	}
	p.putIdle(name, c, defaultIdleTime)
	return nil
}

// Hold keeps a connection to an address open until ctx ends, an idle one if there is one. It returns
// ErrResetUnused if the peer closes it before. A connection that is still open is kept for a later request.
func (p *Pool) Hold(ctx context.Context, name string) error {
	c := p.takeIdle(name, Bounds{})
	if c == nil {
		opened, err := p.open(ctx, name, Bounds{})
		if err != nil {
			return err
		}
		c = opened
		c.expires = time.Now().Add(defaultIdleTime)
	}
	c.awaitInput(ctx)
	if !isReusable(c.Conn) {
		p.drop(name, c)
		return ErrResetUnused
	}
	p.putIdle(name, c, time.Until(c.expires))
	return nil
}

// open opens a connection within the limits on connections and connect time.
func (p *Pool) open(ctx context.Context, name string, bounds Bounds) (*conn, error) {
	number, reserved := p.reserve(name, bounds.Connections)
	if !reserved {
		return nil, ErrNoConnection
	}
	timeout := p.dialTimeout
	if bounds.ConnectTimeout > 0 {
		timeout = bounds.ConnectTimeout
	}
	dialer := net.Dialer{
		Timeout:         timeout,
		Control:         tcpoption.ControlUserTimeout(unacknowledgedTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: unansweredProbes},
	}
	raw, err := dialer.DialContext(ctx, "tcp", name)
	if err != nil {
		p.release(name)
		return nil, eris.Wrapf(dialError(err), "dial %s: %v", name, err)
	}
	c := &conn{Conn: raw, number: number, heads: &headReader{source: raw}}
	c.reader = bufio.NewReaderSize(c.heads, bufferSize)
	c.writer = bufio.NewWriterSize(c, bufferSize)
	return c, nil
}

// dialError maps an error of connecting.
func dialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrRefused
	}
	return ErrNotSent
}

// reserve counts a new connection to an address and returns its number, unless the address has as many
// connections as the limit; 0 for no limit.
func (p *Pool) reserve(name string, limit int) (number uint64, reserved bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a := p.addresses[name]
	if limit > 0 && a != nil && a.open >= limit || !p.hasRoom() {
		return 0, false
	}
	if a = p.addresses[name]; a == nil {
		a = &address{}
		p.addresses[name] = a
	}
	a.open++
	p.opened++
	p.counts.dials++
	return p.counts.dials, true
}

func (p *Pool) release(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a := p.addresses[name]
	if a == nil {
		return
	}
	p.countClosed(a)
	if a.open <= 0 && len(a.idle) == 0 {
		delete(p.addresses, name)
	}
}

// IsNotSent reports whether no byte of the request left this machine.
func IsNotSent(err error) bool { return errors.Is(err, ErrNotSent) }
