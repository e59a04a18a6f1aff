package placement

import (
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Demand reports to a control shard's leader how many calls wait in a daemon
// for the models of that shard.
type Demand struct {
	Shard   structs.ShardNumber `json:"s"`
	Waiting []ModelWaiting      `json:"w"`
}

// ModelWaiting counts the calls that wait for a model, with or without an
// adapter.
type ModelWaiting struct {
	structs.ModelAdapter
	Calls int `json:"c"`
}

// Summary is the report of one control shard's leader to the others.
type Summary struct {
	To     structs.ShardNumber `json:"t"`
	From   structs.ShardNumber `json:"f"`
	Models []ModelLoad         `json:"m"`
	// Loading counts the engines that are ordered to load weights.
	Loading int `json:"r,omitempty"`
}

// ModelLoad sums up a model, or an adapter of it, over the engines of one
// control shard.
type ModelLoad struct {
	structs.ModelAdapter
	// Engines counts those that serve it or are ordered to.
	Engines int `json:"e"`
	// Loading counts those of them that are ordered to load the model, another
	// version of it, or the adapter.
	Loading int `json:"u,omitempty"`
	// Running counts calls in the engines' batches and queues, Capacity is the
	// sum of the maximum batch sizes, Waiting counts calls in the daemons'
	// queues. For adapters only Waiting is counted.
	Running  int `json:"r"`
	Capacity int `json:"c"`
	Waiting  int `json:"w"`
}

// Redirected answers a message to a control shard that the receiver does not
// lead. Leader is empty if the receiver does not know it.
type Redirected struct {
	Shard  structs.ShardNumber `json:"s"`
	Leader structs.DaemonID    `json:"l,omitempty"`
	Epoch  structs.Epoch       `json:"e,omitempty"`
}

// Kinds of the messages of this package.
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
