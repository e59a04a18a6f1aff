package proxy

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/standin/control"
)

// dialTimeout limits connecting to a target.
const dialTimeout = 5 * time.Second

// Side is an end of a route.
type Side string

// Sides.
const (
	SideClient Side = "client"
	SideTarget Side = "target"
)

// Route forwards the connections to one listening address.
type Route struct {
	// Faults may be set at any time; they apply to open connections too.
	Faults control.Faults[Faults]

	name     string
	target   string
	listener net.Listener
	accepted atomic.Int64

	mutex       sync.Mutex
	random      *rand.Rand
	connections map[*connection]struct{}
	closed      bool
	done        chan struct{}
	group       sync.WaitGroup
}

// connection is one connection through a route.
type connection struct {
	route          *Route
	client, target net.Conn
	pipes          [2]*pipe
	once           sync.Once
}

// newRoute listens on an address, "IP:PORT", and forwards to a target.
func newRoute(name, listen, target string, seed uint64) (*Route, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "route %s: %v", name, err)
	}
	r := &Route{
		name:        name,
		target:      target,
		listener:    listener,
		random:      rand.New(rand.NewPCG(seed, seed)),
		connections: map[*connection]struct{}{},
		done:        make(chan struct{}),
	}
	r.group.Go(r.accept)
	return r, nil
}

// Address returns the listening address.
func (r *Route) Address() string { return r.listener.Addr().String() }

// Connections returns the number of open connections.
func (r *Route) Connections() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.connections)
}

func (r *Route) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.accepted.Add(1)
		if r.Faults.Get().Refuse {
			reset(client)
			continue
		}
		r.group.Go(func() { r.connect(client) })
	}
}

func (r *Route) connect(client net.Conn) {
	pending, ok := r.waitToDial(client)
	if !ok {
		reset(client)
		return
	}
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	c := r.newConnection(client, target, pending)
	if !r.add(c) {
		c.cut()
		return
	}
	var directions sync.WaitGroup
	directions.Go(c.pipes[0].run)
	directions.Go(c.pipes[1].run)
	directions.Wait()
	c.end(func(conn net.Conn) { _ = conn.Close() })
}

// waitToDial waits until bytes may go to the target and returns those that the
// client has sent meanwhile. It returns false if the client has disconnected:
// over a network partition its connection would never have been established.
func (r *Route) waitToDial(client net.Conn) ([]byte, bool) {
	blocked := func() bool {
		faults := r.Faults.Get().ToTarget
		return faults.Hold || faults.Drop
	}
	if !blocked() {
		return nil, true
	}
	for blocked() {
		if !sleepUntil(time.Now().Add(pollInterval), r.done) {
			return nil, false
		}
	}
	return readReady(client)
}

// readReady reads the bytes already received on a connection; false if it is
// closed.
func readReady(conn net.Conn) ([]byte, bool) {
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	var ready []byte
	buffer := make([]byte, chunkBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(pollInterval))
		count, err := conn.Read(buffer)
		ready = append(ready, buffer[:count]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return ready, true
		}
		if err != nil {
			return nil, false
		}
	}
}

func (r *Route) newConnection(client, target net.Conn, pending []byte) *connection {
	toTarget := func() DirectionFaults { return r.Faults.Get().ToTarget }
	toClient := func() DirectionFaults { return r.Faults.Get().ToClient }
	c := &connection{route: r, client: client, target: target}
	c.pipes[0] = &pipe{source: client, destination: target, pending: pending, faults: toTarget, opposite: toClient}
	c.pipes[1] = &pipe{source: target, destination: client, faults: toClient, opposite: toTarget}
	for _, p := range c.pipes {
		p.randomDuration = r.randomDuration
		p.queue = make(chan chunk, queuedChunks)
		p.closed = make(chan struct{})
		p.cut = c.cut
	}
	return c
}

func (r *Route) add(c *connection) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return false
	}
	r.connections[c] = struct{}{}
	return true
}

// randomDuration returns a random duration from 0 to limit.
func (r *Route) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(r.random.Int64N(int64(limit) + 1))
}

// cut resets both sides of the connection.
func (c *connection) cut() { c.end(reset) }

func (c *connection) end(finish func(net.Conn)) {
	c.once.Do(func() {
		for _, p := range c.pipes {
			p.stop()
		}
		finish(c.client)
		finish(c.target)
		c.route.mutex.Lock()
		delete(c.route.connections, c)
		c.route.mutex.Unlock()
	})
}

// reset closes a connection so that its peer sees a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (r *Route) open() []*connection {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	connections := make([]*connection, 0, len(r.connections))
	for c := range r.connections {
		connections = append(connections, c)
	}
	return connections
}

// Cut resets all open connections and returns how many there were.
func (r *Route) Cut() int {
	connections := r.open()
	for _, c := range connections {
		c.cut()
	}
	return len(connections)
}

// HalfClose closes the sending direction towards one side of each open
// connection; the other side is not told.
func (r *Route) HalfClose(side Side) int {
	connections := r.open()
	for _, c := range connections {
		end := c.client
		if side == SideTarget {
			end = c.target
		}
		closeWrite(end)
	}
	return len(connections)
}

// close closes the route and waits for its goroutines.
func (r *Route) close() {
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	close(r.done)
	_ = r.listener.Close()
	r.Cut()
	r.group.Wait()
}
