package configuration

import (
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func init() {
	peer.Register(peer.ClassControl, &Offer{})
	peer.Register(peer.ClassControl, &Fetch{})
	peer.Register(peer.ClassControl, &Entries{})
	peer.Register(peer.ClassControl, &SnapshotPart{})
}

// Offer tells a neighbour how far the sender has folded the log.
type Offer struct {
	Offset structs.LogOffset `json:"offset"`
	Digest uint64            `json:"digest"`
	// ReplyWanted wants an offer in return, as a daemon that starts does.
	ReplyWanted bool `json:"ask,omitempty"`
}

// MessageKind implements peer.Message.
func (*Offer) MessageKind() peer.Kind { return "configuration.offer" }

// Fetch asks for the entries from an offset on. A daemon that has forgotten
// them answers with the first part of a snapshot.
type Fetch struct {
	From structs.LogOffset `json:"from"`
	// SnapshotOffset and Part ask for one more part of a snapshot that the
	// daemon has begun to hand over; Part 0 asks for entries.
	SnapshotOffset structs.LogOffset `json:"snapshot_offset,omitempty"`
	Part           int               `json:"part,omitempty"`
}

// MessageKind implements peer.Message.
func (*Fetch) MessageKind() peer.Kind { return "configuration.fetch" }

// PeerEntry is one entry of the log as a peer hands it over.
type PeerEntry struct {
	Offset  structs.LogOffset `json:"offset"`
	Payload []byte            `json:"payload"`
}

// Entries answers Fetch, oldest first. Offset and Digest are the sender's.
type Entries struct {
	Entries []PeerEntry       `json:"entries,omitempty"`
	Offset  structs.LogOffset `json:"offset"`
	Digest  uint64            `json:"digest"`
}

// MessageKind implements peer.Message.
func (*Entries) MessageKind() peer.Kind { return "configuration.entries" }

// SnapshotPart answers Fetch with a piece of a packed snapshot.
type SnapshotPart struct {
	Offset structs.LogOffset `json:"offset"`
	Digest uint64            `json:"digest"`
	// Part counts from 0; Parts is how many there are.
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// MessageKind implements peer.Message.
func (*SnapshotPart) MessageKind() peer.Kind { return "configuration.snapshot_part" }
