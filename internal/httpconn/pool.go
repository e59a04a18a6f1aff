// Package httpconn keeps HTTP/1.1 connections to back ends and makes one
// exchange at a time on each. Unlike net/http's Transport it never repeats a
// request by itself, tells whether any byte of it was sent, and bounds the
// connections to each address, so that the caller alone decides what may run
// twice. A connection whose other side is gone fails, also while an answer is
// waited for: the system probes it. Messages are written and parsed by net/http.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/tcpoption"
)

const (
	// defaultIdle is how long a connection is used again after an answer that
	// told no time.
	defaultIdle = 400 * time.Millisecond
	// idleShare is the part of the told idle time that is made use of.
	idleShare = 0.7
	// bufferSize is the size of read and write buffers in bytes.
	bufferSize = 4 << 10
	// inlineBody is the longest body, in bytes, that is written before the
	// answer is waited for: a back end that answers without reading must not
	// hold up a long one.
	inlineBody = 2 << 10
	// unacknowledgedTimeout is when the system gives up a connection on which
	// the other side acknowledges nothing. Two keep-alive probes fit in: one may be lost.
	unacknowledgedTimeout = 2500 * time.Millisecond
	// keepAliveInterval is after how long a connection on which nothing comes is probed, and
	// again. While an answer is waited for nothing else is sent that the other side could fail
	// to acknowledge. It is the shortest that the system knows.
	keepAliveInterval = time.Second
	// unansweredProbes end a connection that has no limit on unacknowledged bytes: as many as
	// fit into the limit where there is one.
	unansweredProbes = 2
	// longBody is the size in bytes from which a body may fill what the other side takes without
	// reading: 60 KB never did between two Linux systems, 200 KB always. The system counts what
	// waits here then as unacknowledged, though the other side answers its probes.
	longBody = 64 << 10
)

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	dialTimeout time.Duration
	mutex       sync.Mutex
	addresses   map[string]*address
	dials       uint64
}

type address struct {
	idle []*conn
	// open counts connections, those in use included.
	open int
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	expires time.Time
	// sent counts the bytes that the system took.
	sent int64
}

// Write implements net.Conn.
func (c *conn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.sent += int64(n)
	return n, err
}

// closeFor closes the connection. If the cause is ErrGivenUp, unsent data is dropped: the
// system would go on to send it, and a request that was given up would arrive after the
// cut's end.
func (c *conn) closeFor(cause error) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && errors.Is(cause, ErrGivenUp) {
		_ = tcp.SetLinger(0) // fails on a connection that is closed already
	}
	_ = c.Close() // the exchange fails by its reading
}

// limitUnacknowledged sets for how long bytes may stay unacknowledged; 0 sets no limit. It fails on
// a connection that is broken, which shows at the next use anyway.
func (c *conn) limitUnacknowledged(limit time.Duration) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcpoption.SetUserTimeout(tcp, limit)
	}
}

// NewPool returns a pool whose dials take dialTimeout at most.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{dialTimeout: dialTimeout, addresses: map[string]*address{}}
}

// Dials returns how many connections were opened so far.
func (p *Pool) Dials() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a := p.addresses[name]
	if a == nil {
		return
	}
	for _, c := range a.idle {
		_ = c.Close()
		a.open--
	}
	a.idle = nil
	if a.open == 0 {
		delete(p.addresses, name)
	}
}

// Bounds limit an exchange. The zero value sets no limit.
type Bounds struct {
	// Connections limits the open connections to the address; 0 sets no limit.
	Connections int
	// SendBy is when the request must have begun to be sent; zero sets no limit.
	SendBy time.Time
	// Fresh: a connection is opened, none that rested is used.
	Fresh bool
	// ConnectTimeout limits the opening of a connection; 0 for the pool's own limit.
	ConnectTimeout time.Duration
}

// Do sends a request to an address and reads the head of the answer. The body
// of the answer must be closed; read to its end, the connection is kept. The error
// wraps ErrNotSent or ErrBroken. When ctx ends, the connection is closed; if its cause is
// ErrGivenUp, what was not delivered is dropped.
func (p *Pool) Do(ctx context.Context, name string, bounds Bounds, request *http.Request) (*http.Response, error) {
	var c *conn
	if !bounds.Fresh {
		c = p.takeIdle(name)
	}
	if c == nil {
		var err error
		if c, err = p.open(ctx, name, bounds); err != nil {
			return nil, err
		}
	}
	if !bounds.SendBy.IsZero() && time.Now().After(bounds.SendBy) {
		_ = c.Close() // nothing was sent on it
		p.release(name)
		return nil, ErrLate
	}
	e := &exchange{pool: p, address: name, conn: c, written: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { c.closeFor(context.Cause(ctx)) })
	response, err := e.start(request)
	if err != nil {
		e.discard()
		return nil, err
	}
	return response, nil
}

// Connect opens a connection to an address and keeps it for a request. The error wraps
// ErrNotSent.
func (p *Pool) Connect(ctx context.Context, name string, bounds Bounds) error {
	c, err := p.open(ctx, name, bounds)
	if err == nil {
		p.keep(name, c, defaultIdle)
	}
	return err
}

// open opens a connection, within the bounds on connections and on connecting.
func (p *Pool) open(ctx context.Context, name string, bounds Bounds) (*conn, error) {
	if !p.reserve(name, bounds.Connections) {
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
	c := &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize)}
	c.writer = bufio.NewWriterSize(c, bufferSize)
	return c, nil
}

// dialError is the error that stands for one of connecting.
func dialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrRefused
	}
	return ErrNotSent
}

func (p *Pool) takeIdle(name string) *conn {
	now := time.Now()
	for {
		p.mutex.Lock()
		a := p.addresses[name]
		if a == nil || len(a.idle) == 0 {
			p.mutex.Unlock()
			return nil
		}
		c := a.idle[len(a.idle)-1]
		a.idle = a.idle[:len(a.idle)-1]
		p.mutex.Unlock()
		if now.Before(c.expires) && isQuiet(c.Conn) {
			return c
		}
		_ = c.Close()
		p.release(name)
	}
}

func (p *Pool) reserve(name string, limit int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a := p.addresses[name]
	if a == nil {
		a = &address{}
		p.addresses[name] = a
	}
	if limit > 0 && a.open >= limit {
		return false
	}
	a.open++
	p.dials++
	return true
}

func (p *Pool) release(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a := p.addresses[name]
	if a == nil {
		return
	}
	a.open--
	if a.open <= 0 && len(a.idle) == 0 {
		delete(p.addresses, name)
	}
}

func (p *Pool) keep(name string, c *conn, idle time.Duration) {
	c.expires = time.Now().Add(idle)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	a := p.addresses[name]
	if a == nil {
		_ = c.Close()
		return
	}
	a.idle = append(a.idle, c)
}

// idleTime tells how long a connection may rest after an answer; 0 means that
// it must be closed.
func idleTime(response *http.Response) time.Duration {
	if response.Close {
		return 0
	}
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds > 0 {
			return time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
	return defaultIdle
}

// IsNotSent tells whether no byte of the request left this machine.
func IsNotSent(err error) bool { return errors.Is(err, ErrNotSent) }
