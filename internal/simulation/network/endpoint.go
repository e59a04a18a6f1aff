package network

import (
	"fmt"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Endpoint connects one run of a daemon to the network. It implements
// peer.Transport. Messages are encoded and decoded, so that daemons never share
// memory and encoding errors surface.
type Endpoint struct {
	network *Network
	self    structs.DaemonID
	place   Place
	process *Process
	handler peer.Handler
}

// Attach connects a run of a daemon to the network, in place of the previous
// run at its address. Handle must be called before messages arrive.
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

// Detach removes a run from the network, unless a later run has replaced it.
func (n *Network) Detach(endpoint *Endpoint) {
	if n.endpoints[endpoint.place.Address] == endpoint {
		delete(n.endpoints, endpoint.place.Address)
	}
}

// Handle sets the receiver of messages.
func (e *Endpoint) Handle(handler peer.Handler) { e.handler = handler }

// Place returns where the daemon runs.
func (e *Endpoint) Place() Place { return e.place }

// Send implements peer.Transport. It panics if the message cannot be encoded,
// which is always a programming error.
func (e *Endpoint) Send(to structs.DaemonID, message peer.Message) {
	encoded, err := peer.Encode(e.self, to, message)
	if err != nil {
		panic(fmt.Sprintf("network: %v", err))
	}
	if e.network.OnSend != nil && to.Address() != e.place.Address {
		e.network.OnSend(e.self, to, peer.ClassOf(message.MessageKind()), message.MessageKind(), len(encoded))
	}
	e.process.Run(func() { e.transmit(to, encoded) })
}

// transmit hands an encoded message to the network. It is called through
// Process.Run: a process that was killed sends nothing, and a paused one sends
// on resume.
func (e *Endpoint) transmit(to structs.DaemonID, encoded []byte) {
	target := e.network.endpoints[to.Address()]
	if target == nil {
		return
	}
	e.network.deliver(e.place, target.place, e.network.Settings.DuplicateChance, func() { e.network.receive(to, encoded) })
}

// receive delivers an encoded message to the run that is attached to the
// address on arrival.
func (n *Network) receive(to structs.DaemonID, encoded []byte) {
	target := n.endpoints[to.Address()]
	if target == nil || target.handler == nil {
		return
	}
	if to.Incarnation() != structs.AnyIncarnation && to != target.self {
		return
	}
	target.process.Run(func() {
		from, _, message, err := peer.Decode(encoded)
		if err != nil {
			panic(fmt.Sprintf("network: %v", err))
		}
		if n.OnReceive != nil {
			n.OnReceive(from, target.self, message.MessageKind(), len(encoded))
		}
		target.handler.Receive(from, message)
	})
}
