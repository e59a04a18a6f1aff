package placement

import (
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Demand tells a control shard's leader how many calls wait in a daemon for
// models that the shard answers for.
type Demand struct {
	Shard   structs.ShardNumber `json:"s"`
	Waiting []ModelWaiting      `json:"w"`
}

// ModelWaiting counts the calls that wait for a model with an adapter or
// without.
type ModelWaiting struct {
	structs.ModelAdapter
	Calls int `json:"c"`
}

// Summary is what one control shard's leader tells the others.
type Summary struct {
	To     structs.ShardNumber `json:"t"`
	From   structs.ShardNumber `json:"f"`
	Models []ModelLoad         `json:"m"`
	// Loading counts the engines that are being told to read weights.
	Loading int `json:"r,omitempty"`
}

// ModelLoad sums up a model, or an adapter of it, over the engines of one
// control shard.
type ModelLoad struct {
	structs.ModelAdapter
	// Engines counts those that serve it or are being told to.
	Engines int `json:"e"`
	// Loading counts those of them that are told to read the model, or another
	// version of it, or the adapter.
	Loading int `json:"u,omitempty"`
	// Running counts requests in batches and engines' queues, Capacity the
	// largest batches, Waiting the calls in daemons' queues. Of adapters only
	// the calls that wait are counted.
	Running  int `json:"r"`
	Capacity int `json:"c"`
	Waiting  int `json:"w"`
}

// Redirected answers a message to a control shard that the receiver does not
// lead, with what it knows better; no Leader means that it knows nothing.
type Redirected struct {
	Shard  structs.ShardNumber `json:"s"`
	Leader structs.DaemonID    `json:"l,omitempty"`
	Epoch  structs.Epoch       `json:"e,omitempty"`
}

// Kinds of message of this package.
const (
	KindRedirected peer.Kind = "placement.elsewhere"
	KindDemand     peer.Kind = "placement.demand"
	KindSummary    peer.Kind = "placement.summary"
)

// MessageKind implements peer.Message.
func (*Redirected) MessageKind() peer.Kind { return KindRedirected }

// MessageKind implements peer.Message.
func (*Demand) MessageKind() peer.Kind { return KindDemand }

// MessageKind implements peer.Message.
func (*Summary) MessageKind() peer.Kind { return KindSummary }

func init() {
	peer.Register(peer.ClassControl, &Demand{})
	peer.Register(peer.ClassControl, &Summary{})
	peer.Register(peer.ClassControl, &Redirected{})
}
