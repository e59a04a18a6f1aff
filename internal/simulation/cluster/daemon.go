package cluster

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/node"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/submit"
)

// Daemon is a machine that runs at most one daemon process at a time.
type Daemon struct {
	cluster *Cluster
	Address string
	Zone    structs.ZoneName
	// Offset is the error of the machine's wall clock.
	Offset time.Duration
	// Process, Node and ID belong to the current or latest run.
	Process *network.Process
	Node    *node.Node
	ID      structs.DaemonID
	// StartedAt is the virtual time at which the current run began.
	StartedAt time.Time
	// Stopping is set during a graceful shutdown, Removed once the machine is
	// permanently gone.
	Stopping bool
	Removed  bool
	endpoint *network.Endpoint
	// connections holds the open connections of callers, openConnections the
	// same in order of arrival.
	connections     map[*connection]struct{}
	openConnections []*connection
}

// Running reports whether a process runs here, paused or not.
func (d *Daemon) Running() bool { return d.Process != nil && !d.Process.Dead() }

// Place returns where the daemon runs.
func (d *Daemon) Place() network.Place {
	return network.Place{Address: d.Address, Zone: d.Zone, Region: region}
}

// Start starts a new run.
func (d *Daemon) Start() {
	c := d.cluster
	c.AddMachine(d.machine())
	d.Process = network.NewProcess(c.Clock, d.Offset)
	d.StartedAt = c.Clock.Now()
	d.Stopping = false
	d.connections = map[*connection]struct{}{}
	d.openConnections = nil
	d.ID = structs.NewDaemonID(d.Address, uint64(d.Process.Now().UnixNano()))
	self := structs.Daemon{ID: d.ID, Zone: d.Zone, Region: region, HTTPAddress: d.Address}
	d.endpoint = c.Network.Attach(self, d.Process)
	d.Node = node.New(node.Options{
		Self:      self,
		Clock:     d.Process,
		Random:    c.Random(string(d.ID)),
		Transport: d.endpoint,
		Drivers:   c.driversFor(network.Client{Network: c.Network, Process: d.Process, Place: d.Place()}),
		Settings:  c.Options.Node,
		Guards:    c.Options.Guards,
		Logger:    c.Options.Logger.With().Str("daemon", d.Address).Logger(),
	})
	d.endpoint.Handle(d.Node)
	if c.OnStart != nil {
		c.OnStart(d)
	}
	d.Node.Start()
}

// Crash kills the run: its memory is lost, and its callers' connections are
// reset.
func (d *Daemon) Crash() {
	if !d.Running() {
		return
	}
	d.Process.Kill()
	d.cluster.Network.Detach(d.endpoint)
	d.resetConnections()
	d.cluster.After(unlistDelay, func() {
		if !d.Running() {
			d.cluster.RemoveMachine(d.Address)
		}
	})
}

// unlistDelay is the time after a crash at which the platform removes the
// machine from its true list; the published list lags further behind.
const unlistDelay = 3 * time.Second

func (d *Daemon) machine() structs.Machine {
	return structs.Machine{Kind: structs.MachineDaemon, Address: d.Address, Zone: d.Zone, Region: region, State: structs.MachineLive}
}

func (d *Daemon) resetConnections() {
	open := d.openConnections
	d.openConnections, d.connections = nil, map[*connection]struct{}{}
	for _, conn := range open {
		conn.reset()
	}
}

// Stop shuts the daemon down gracefully, in the order of daemon.Daemon.Stop: it
// refuses new connections, hands its shards over, lets callers receive their
// answers, and ends the process.
func (d *Daemon) Stop(stopped func()) {
	if !d.Running() || d.Stopping {
		return
	}
	d.Stopping = true
	run := d.Process
	run.Run(func() {
		d.Node.Leave(func() {
			if run.Dead() {
				return
			}
			d.Node.Stop()
			d.reportCutRequests()
			d.Crash()
			stopped()
		})
	})
}

// reportCutRequests reports the requests that are cut off at the end of a
// graceful shutdown, even if their callers cannot be reached.
func (d *Daemon) reportCutRequests() {
	for _, conn := range d.openConnections {
		if !conn.closed && d.cluster.OnRequestCut != nil {
			d.cluster.OnRequestCut(d, conn.call)
		}
	}
}

// Pause suspends the process, like SIGSTOP.
func (d *Daemon) Pause() {
	if d.Running() {
		d.Process.Pause()
	}
}

// Resume continues a paused process.
func (d *Daemon) Resume() {
	if d.Running() {
		d.Process.Resume()
	}
}

// Caller receives the answer to one request to a daemon.
type Caller interface {
	submit.Caller
	// ConnectionLost is called when the connection breaks before the outcome.
	ConnectionLost()
	// ConnectionRefused is called when no connection was made.
	ConnectionRefused()
}

// connection is a caller's connection to one run of a daemon, for one request.
type connection struct {
	daemon     *Daemon
	run        structs.DaemonID
	call       structs.Call
	place      network.Place
	caller     Caller
	submission *submit.Submission
	closed     bool
	// sent and received count messages to the caller. A gap between them breaks
	// the whole connection.
	sent, received int
}

// Request sends a call to the run that is at the daemon's address on arrival.
// The returned function closes the caller's end; the daemon learns of it when
// that message arrives.
func (d *Daemon) Request(place network.Place, call structs.Call, caller Caller) (closeConnection func()) {
	conn := &connection{daemon: d, call: call, place: place, caller: caller}
	network := d.cluster.Network
	network.Deliver(place, d.Place(), func() { d.accept(conn) })
	return func() {
		conn.closed = true
		network.Deliver(place, d.Place(), func() {
			if conn.run == d.ID {
				d.Process.Run(conn.detach)
			}
		})
	}
}

func (d *Daemon) accept(conn *connection) {
	if !d.Running() || d.Stopping {
		conn.sendToCaller(func() {
			conn.closed = true
			conn.caller.ConnectionRefused()
		})
		return
	}
	conn.run = d.ID
	d.connections[conn] = struct{}{}
	d.openConnections = append(d.openConnections, conn)
	d.Process.Run(func() {
		if !conn.closed {
			conn.submission = d.Node.Submit(conn.call, conn)
		}
	})
}

func (c *connection) detach() {
	c.unregister()
	if c.submission != nil {
		c.submission.Detach()
	}
}

// unregister removes the connection from the daemon's open connections.
func (c *connection) unregister() {
	if _, open := c.daemon.connections[c]; !open {
		return
	}
	delete(c.daemon.connections, c)
	for i, other := range c.daemon.openConnections {
		if other == c {
			c.daemon.openConnections = append(c.daemon.openConnections[:i:i], c.daemon.openConnections[i+1:]...)
			return
		}
	}
}

// sendToCaller delivers one message to the caller's end, in order.
func (c *connection) sendToCaller(f func()) {
	number := c.sent
	c.sent++
	c.daemon.cluster.Network.Deliver(c.daemon.Place(), c.place, func() {
		switch {
		case c.closed || number < c.received:
		case number > c.received:
			c.closed = true
			c.caller.ConnectionLost()
		default:
			c.received++
			f()
		}
	})
}

func (c *connection) reset() {
	c.sendToCaller(func() {
		c.closed = true
		c.caller.ConnectionLost()
	})
}

// Chunks implements submit.Caller for the daemon's end.
func (c *connection) Chunks(chunks []structs.Chunk) {
	copied := append([]structs.Chunk{}, chunks...)
	c.sendToCaller(func() { c.caller.Chunks(copied) })
}

// Outcome implements submit.Caller for the daemon's end.
func (c *connection) Outcome(outcome structs.Outcome) {
	c.unregister()
	c.sendToCaller(func() {
		c.closed = true
		c.caller.Outcome(outcome)
	})
}

// OpenRequests returns the number of callers' requests that the current run
// holds.
func (d *Daemon) OpenRequests() int { return len(d.openConnections) }
