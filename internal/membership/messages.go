package membership

import (
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Update is the state of one run of one daemon, as far as its sender knows.
// Keys are short because updates are most of membership's traffic.
type Update struct {
	Address string `json:"a"`
	// Run is the incarnation in the daemon's identifier.
	Run uint64 `json:"i"`
	// Status is absent for alive.
	Status status `json:"s,omitempty"`
	// Refutation counts the updates about itself that the run has refuted.
	Refutation uint64 `json:"r,omitempty"`
	// Zone, Region, HTTPAddress and Capacity are absent when the run is dead.
	Zone        structs.ZoneName   `json:"z,omitempty"`
	Region      structs.RegionName `json:"g,omitempty"`
	HTTPAddress string             `json:"h,omitempty"`
	Capacity    int                `json:"c,omitempty"`
}

// Ping asks for an Ack.
type Ping struct {
	Sequence uint64 `json:"q"`
	// Digest is the digest of the sender's table.
	Digest  uint64   `json:"d"`
	Note    Note     `json:"n"`
	Updates []Update `json:"u,omitempty"`
	// PartitionHealed is set shortly after a partition has ended.
	PartitionHealed bool `json:"b,omitempty"`
}

// Ack answers a Ping, or passes on the answer to one made for another daemon.
type Ack struct {
	Sequence uint64 `json:"q"`
	// Digest and Note are the sender's; absent when Relayed is set.
	Digest  uint64   `json:"d,omitempty"`
	Note    *Note    `json:"n,omitempty"`
	Updates []Update `json:"u,omitempty"`
	Relayed bool     `json:"y,omitempty"`
}

// PingRequest asks another daemon to probe Target and pass the answer on.
type PingRequest struct {
	Sequence uint64           `json:"q"`
	Target   structs.DaemonID `json:"t"`
	Updates  []Update         `json:"u,omitempty"`
}

// UpdatePush pushes updates that should not wait for the next probe.
type UpdatePush struct {
	Updates []Update `json:"u"`
	// PartitionHealed is set when a partition has ended and the first update is
	// of a run from its other side.
	PartitionHealed bool `json:"b,omitempty"`
}

// SyncRequest asks for the parts of the receiver's table that differ. Daemons
// also join by it, and look for lost members.
type SyncRequest struct {
	Self Update `json:"m"`
	// Buckets are the digests of the parts of the sender's table.
	Buckets [bucketCount]uint64 `json:"b"`
	// About is the sender's belief about the receiver, if the receiver should
	// refute it.
	About *Update `json:"o,omitempty"`
	// LiveOnly is set after a partition has ended: only members that are
	// neither suspected nor dead are requested.
	LiveOnly bool `json:"l,omitempty"`
	// Wanted are addresses of listed daemons that the sender does not know. If
	// there are any, only their records are requested.
	Wanted []string `json:"w,omitempty"`
}

// SyncReply carries the parts of a table that differ.
type SyncReply struct {
	Updates []Update `json:"u"`
	// LiveOnly is set in the reply to a request with LiveOnly.
	LiveOnly bool `json:"l,omitempty"`
}

// Kinds of message of this package.
const (
	KindPing        peer.Kind = "membership.ping"
	KindAck         peer.Kind = "membership.ack"
	KindPingRequest peer.Kind = "membership.ping_request"
	KindUpdatePush  peer.Kind = "membership.news" // wire name kept for compatibility
	KindSyncRequest peer.Kind = "membership.sync_request"
	KindSyncReply   peer.Kind = "membership.sync_reply"
)

// MessageKind implements peer.Message.
func (*Ping) MessageKind() peer.Kind { return KindPing }

// MessageKind implements peer.Message.
func (*Ack) MessageKind() peer.Kind { return KindAck }

// MessageKind implements peer.Message.
func (*PingRequest) MessageKind() peer.Kind { return KindPingRequest }

// MessageKind implements peer.Message.
func (*UpdatePush) MessageKind() peer.Kind { return KindUpdatePush }

// MessageKind implements peer.Message.
func (*SyncRequest) MessageKind() peer.Kind { return KindSyncRequest }

// MessageKind implements peer.Message.
func (*SyncReply) MessageKind() peer.Kind { return KindSyncReply }

func init() {
	peer.Register(peer.ClassControl, &Ping{})
	peer.Register(peer.ClassControl, &Ack{})
	peer.Register(peer.ClassControl, &PingRequest{})
	peer.Register(peer.ClassControl, &UpdatePush{})
	peer.Register(peer.ClassControl, &SyncRequest{})
	peer.Register(peer.ClassControl, &SyncReply{})
}
