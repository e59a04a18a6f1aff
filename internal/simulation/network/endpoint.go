package network

import (
	"fmt"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Endpoint is one run of a daemon on the network. It implements
// peer.Transport. Messages pass through the codec, so that two daemons never
// share memory and a fault of an encoding shows.
type Endpoint struct {
	network *Network
	self    structs.DaemonID
	place   Place
	process *Process
	handler peer.Handler
}

// Attach puts a run of a daemon on the network in place of the former run at
// its address. Handle must be called before messages arrive.
func (n *Network) Attach(daemon structs.Daemon, process *Process) *Endpoint {
	endpoint := &Endpoint{
		network: n,
		self:    daemon.ID,
		place:   Place{Address: daemon.ID.Address(), Zone: daemon.Zone, Region: daemon.Region},
		process: process,
	}
	n.endpoints[endpoint.place.Address] = endpoint
	return endpoint
}

// Detach takes a run off the network, if it still stands there.
func (n *Network) Detach(endpoint *Endpoint) {
	if n.endpoints[endpoint.place.Address] == endpoint {
		delete(n.endpoints, endpoint.place.Address)
	}
}

// Handle sets who gets the messages.
func (e *Endpoint) Handle(handler peer.Handler) { e.handler = handler }

// Place returns where the daemon runs.
func (e *Endpoint) Place() Place { return e.place }

// Send implements peer.Transport. It panics on a message that cannot be
// encoded, which is always a fault of the program.
func (e *Endpoint) Send(to structs.DaemonID, message peer.Message) {
	line, err := peer.Encode(e.self, to, message)
	if err != nil {
		panic(fmt.Sprintf("network: %v", err))
	}
	if e.network.OnSend != nil && to.Address() != e.place.Address {
		e.network.OnSend(e.self, to, peer.ClassOf(message.MessageKind()), message.MessageKind(), len(line))
	}
	e.process.Run(func() { e.leave(to, line) })
}

// leave puts a line on its way. A process that died or was paused in the
// middle of a step sends nothing more, or sends it late.
func (e *Endpoint) leave(to structs.DaemonID, line []byte) {
	target := e.network.endpoints[to.Address()]
	if target == nil {
		return
	}
	e.network.deliver(e.place, target.place, e.network.Settings.DuplicateChance, func() { e.network.arrive(to, line) })
}

// arrive hands a line to whichever run stands at the address by now.
func (n *Network) arrive(to structs.DaemonID, line []byte) {
	target := n.endpoints[to.Address()]
	if target == nil || target.handler == nil {
		return
	}
	if to.Incarnation() != structs.AnyIncarnation && to != target.self {
		return
	}
	target.process.Run(func() {
		from, _, message, err := peer.Decode(line)
		if err != nil {
			panic(fmt.Sprintf("network: %v", err))
		}
		if n.OnReceive != nil {
			n.OnReceive(from, target.self, message.MessageKind(), len(line))
		}
		target.handler.Receive(from, message)
	})
}
