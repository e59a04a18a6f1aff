package cluster

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/node"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/submit"
)

// Daemon is a machine that runs one daemon at a time.
type Daemon struct {
	cluster *Cluster
	Address string
	Zone    structs.ZoneName
	// Offset is by how much the machine's wall clock is wrong.
	Offset time.Duration
	// Process, Node and ID belong to the present or latest run.
	Process *network.Process
	Node    *node.Node
	ID      structs.DaemonID
	// StartedAt is when the present run began, in virtual time.
	StartedAt time.Time
	// Stopping is set during a planned stop, Removed once the machine is gone
	// for good.
	Stopping bool
	Removed  bool
	endpoint *network.Endpoint
	// connections are the callers' requests under way.
	connections map[*connection]struct{}
	order       []*connection
}

// Running tells whether a process runs here, paused or not.
func (d *Daemon) Running() bool { return d.Process != nil && !d.Process.Dead() }

// Place returns where the daemon runs.
func (d *Daemon) Place() network.Place {
	return network.Place{Address: d.Address, Zone: d.Zone, Region: region}
}

// Start starts a fresh run.
func (d *Daemon) Start() {
	c := d.cluster
	c.AddMachine(d.machine())
	d.Process = network.NewProcess(c.Clock, d.Offset)
	d.StartedAt = c.Clock.Now()
	d.Stopping = false
	d.connections = map[*connection]struct{}{}
	d.order = nil
	d.ID = structs.NewDaemonID(d.Address, uint64(d.Process.Now().UnixNano()))
	self := structs.Daemon{ID: d.ID, Zone: d.Zone, Region: region, HTTPAddress: d.Address}
	d.endpoint = c.Network.Attach(self, d.Process)
	d.Node = node.New(node.Options{
		Self:      self,
		Clock:     d.Process,
		Random:    c.Random(string(d.ID)),
		Transport: d.endpoint,
		Drivers:   c.drivers(network.Client{Network: c.Network, Process: d.Process, Place: d.Place()}),
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

// Crash kills the run: everything it held in memory is lost. Callers whose
// connections it held hear a reset.
func (d *Daemon) Crash() {
	if !d.Running() {
		return
	}
	d.Process.Kill()
	d.cluster.Network.Detach(d.endpoint)
	d.resetConnections()
	d.cluster.After(unlistAfter, func() {
		if !d.Running() {
			d.cluster.RemoveMachine(d.Address)
		}
	})
}

// unlistAfter is when the platform takes a machine on which nothing runs off
// its true list; what it publishes lags behind that.
const unlistAfter = 3 * time.Second

func (d *Daemon) machine() structs.Machine {
	return structs.Machine{Kind: structs.MachineDaemon, Address: d.Address, Zone: d.Zone, Region: region, State: structs.MachineLive}
}

func (d *Daemon) resetConnections() {
	open := d.order
	d.order, d.connections = nil, map[*connection]struct{}{}
	for _, line := range open {
		line.reset()
	}
}

// Stop is a planned stop, in the order of daemon.Daemon.Stop: no connection is
// taken any more, shards pass on, callers get their answers, the process ends.
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
			d.tellCut()
			d.Crash()
			stopped()
		})
	})
}

// tellCut reports the requests that the end of a planned stop cuts off, whether
// or not their callers will hear of it.
func (d *Daemon) tellCut() {
	for _, line := range d.order {
		if !line.closed && d.cluster.OnRequestCut != nil {
			d.cluster.OnRequestCut(d, line.call)
		}
	}
}

// Pause stops the process, as SIGSTOP does.
func (d *Daemon) Pause() {
	if d.Running() {
		d.Process.Pause()
	}
}

// Resume lets a paused process go on.
func (d *Daemon) Resume() {
	if d.Running() {
		d.Process.Resume()
	}
}

// Caller hears the answer to one request to a daemon.
type Caller interface {
	submit.Caller
	// ConnectionLost tells that the connection broke before the outcome came.
	ConnectionLost()
	// ConnectionRefused tells that no connection was made.
	ConnectionRefused()
}

// connection is a caller's request to one run of a daemon.
type connection struct {
	daemon     *Daemon
	run        structs.DaemonID
	call       structs.Call
	place      network.Place
	caller     Caller
	submission *submit.Submission
	closed     bool
	// sent and received count what the daemon sent; a connection over which
	// something is missing is broken as a whole.
	sent, received int
}

// Request sends a call to whatever runs at the daemon's address. The result
// closes the caller's end: the daemon then finds the connection gone.
func (d *Daemon) Request(place network.Place, call structs.Call, caller Caller) (closeConnection func()) {
	line := &connection{daemon: d, call: call, place: place, caller: caller}
	network := d.cluster.Network
	network.Deliver(place, d.Place(), func() { d.accept(line) })
	return func() {
		line.closed = true
		network.Deliver(place, d.Place(), func() {
			if line.run == d.ID {
				d.Process.Run(line.detach)
			}
		})
	}
}

func (d *Daemon) accept(line *connection) {
	if !d.Running() || d.Stopping {
		line.toCaller(func() {
			line.closed = true
			line.caller.ConnectionRefused()
		})
		return
	}
	line.run = d.ID
	d.connections[line] = struct{}{}
	d.order = append(d.order, line)
	d.Process.Run(func() {
		if !line.closed {
			line.submission = d.Node.Submit(line.call, line)
		}
	})
}

func (l *connection) detach() {
	l.done()
	if l.submission != nil {
		l.submission.Detach()
	}
}

// done takes the connection off the daemon's list.
func (l *connection) done() {
	if _, open := l.daemon.connections[l]; !open {
		return
	}
	delete(l.daemon.connections, l)
	for i, other := range l.daemon.order {
		if other == l {
			l.daemon.order = append(l.daemon.order[:i:i], l.daemon.order[i+1:]...)
			return
		}
	}
}

// toCaller carries one piece to the caller's end.
func (l *connection) toCaller(f func()) {
	number := l.sent
	l.sent++
	l.daemon.cluster.Network.Deliver(l.daemon.Place(), l.place, func() {
		switch {
		case l.closed || number < l.received:
		case number > l.received:
			l.closed = true
			l.caller.ConnectionLost()
		default:
			l.received++
			f()
		}
	})
}

func (l *connection) reset() {
	l.toCaller(func() {
		l.closed = true
		l.caller.ConnectionLost()
	})
}

// Chunks implements submit.Caller at the daemon.
func (l *connection) Chunks(chunks []structs.Chunk) {
	copied := append([]structs.Chunk{}, chunks...)
	l.toCaller(func() { l.caller.Chunks(copied) })
}

// Outcome implements submit.Caller at the daemon.
func (l *connection) Outcome(outcome structs.Outcome) {
	l.done()
	l.toCaller(func() {
		l.closed = true
		l.caller.Outcome(outcome)
	})
}

// OpenRequests returns how many callers' requests the present run holds.
func (d *Daemon) OpenRequests() int { return len(d.order) }
