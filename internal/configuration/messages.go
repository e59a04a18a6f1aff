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

// Offer announces the sender's offset and digest to a peer.
type Offer struct {
	Offset structs.LogOffset `json:"offset"`
	Digest uint64            `json:"digest"`
	// ReplyWanted requests an offer in return; starting daemons set it.
	ReplyWanted bool `json:"ask,omitempty"`
}

// MessageKind implements peer.Message.
func (*Offer) MessageKind() peer.Kind { return "configuration.offer" }

// Fetch requests the entries from an offset on. A daemon that no longer retains
// them answers with the first part of a snapshot.
type Fetch struct {
	From structs.LogOffset `json:"from"`
	// SnapshotOffset and Part request a further part of a snapshot whose first
	// part was received; Part 0 requests entries.
	SnapshotOffset structs.LogOffset `json:"snapshot_offset,omitempty"`
	Part           int               `json:"part,omitempty"`
}

// MessageKind implements peer.Message.
func (*Fetch) MessageKind() peer.Kind { return "configuration.fetch" }

// PeerEntry is one entry of the log as sent by a peer.
type PeerEntry struct {
	Offset  structs.LogOffset `json:"offset"`
	Payload []byte            `json:"payload"`
}

// Entries answers a Fetch with entries, oldest first. Offset and Digest are the
// sender's.
type Entries struct {
	Entries []PeerEntry       `json:"entries,omitempty"`
	Offset  structs.LogOffset `json:"offset"`
	Digest  uint64            `json:"digest"`
}

// MessageKind implements peer.Message.
func (*Entries) MessageKind() peer.Kind { return "configuration.entries" }

// SnapshotPart answers a Fetch with one part of an encoded snapshot.
type SnapshotPart struct {
	Offset structs.LogOffset `json:"offset"`
	Digest uint64            `json:"digest"`
	// Part counts from 0; Parts is the number of parts.
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// MessageKind implements peer.Message.
func (*SnapshotPart) MessageKind() peer.Kind { return "configuration.snapshot_part" }
