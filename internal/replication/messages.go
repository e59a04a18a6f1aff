package replication

import (
	"encoding/json"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Entry is one entry of a shard's log: a unit of records, a change of the
// group, or neither, which opens an epoch.
type Entry struct {
	Index structs.Index `json:"i"`
	Epoch structs.Epoch `json:"e"`
	// Records is a JSON array of structs.Record.
	Records json.RawMessage `json:"r,omitempty"`
	// Group applies from the moment a replica holds the entry.
	Group Group `json:"g,omitempty"`
}

// size estimates the bytes that an entry takes.
func (e *Entry) size() int {
	const fixed = 64
	return fixed + len(e.Records) + len(e.Group)*fixed
}

// AppendRequest carries entries from a leader to a member. Without entries it
// is a heartbeat.
type AppendRequest struct {
	Shard structs.ShardNumber `json:"s"`
	Epoch structs.Epoch       `json:"e"`
	// Previous and PreviousEpoch identify the entry before the first.
	Previous      structs.Index `json:"p,omitempty"`
	PreviousEpoch structs.Epoch `json:"pe,omitempty"`
	Commit        structs.Index `json:"c,omitempty"`
	Entries       []Entry       `json:"en,omitempty"`
	// Round numbers the leader's checks that it still leads.
	Round uint64 `json:"r,omitempty"`
}

// MessageKind implements peer.Message.
func (*AppendRequest) MessageKind() peer.Kind { return "replication.append" }

// wellFormed reports whether the entries follow Previous and each other, in
// epochs that never decrease.
func (m *AppendRequest) wellFormed() bool {
	index, epoch := m.Previous, m.PreviousEpoch
	for _, entry := range m.Entries {
		index++
		if entry.Index != index || entry.Epoch < epoch || entry.Epoch > m.Epoch {
			return false
		}
		epoch = entry.Epoch
	}
	return true
}

// AppendReply answers AppendRequest.
type AppendReply struct {
	Shard structs.ShardNumber `json:"s"`
	// Epoch is the member's; a higher one ends the leadership.
	Epoch structs.Epoch `json:"e"`
	// Match is the last index up to which the member's log matches the
	// leader's.
	Match structs.Index `json:"m,omitempty"`
	// Refused is set when the logs do not match or the epoch is old. Hint is
	// the index to resume from.
	Refused bool          `json:"x,omitempty"`
	Hint    structs.Index `json:"h,omitempty"`
	Round   uint64        `json:"r,omitempty"`
	// Leader is the daemon that the member follows, when it refused for the
	// epoch.
	Leader structs.DaemonID `json:"l,omitempty"`
	// Pressure is the member's memory pressure.
	Pressure Pressure `json:"mp,omitempty"`
}

// MessageKind implements peer.Message.
func (*AppendReply) MessageKind() peer.Kind { return "replication.appended" }

// VoteRequest asks a member for its vote.
type VoteRequest struct {
	Shard     structs.ShardNumber `json:"s"`
	Epoch     structs.Epoch       `json:"e"`
	Last      structs.Index       `json:"i"`
	LastEpoch structs.Epoch       `json:"le"`
	// PreVote asks whether the member would vote for the sender; the answer
	// does not bind it.
	PreVote bool `json:"t,omitempty"`
	// LeadershipTransfer is set when the former leader asked for this
	// candidacy.
	LeadershipTransfer bool `json:"h,omitempty"`
}

// MessageKind implements peer.Message.
func (*VoteRequest) MessageKind() peer.Kind { return "replication.vote" }

// VoteReply answers VoteRequest. Epoch is that of the request when the vote was
// granted, and the member's own otherwise.
type VoteReply struct {
	Shard   structs.ShardNumber `json:"s"`
	Epoch   structs.Epoch       `json:"e"`
	PreVote bool                `json:"t,omitempty"`
	Granted bool                `json:"g,omitempty"`
	// Last and LastEpoch are the position of the member's log.
	Last      structs.Index `json:"i,omitempty"`
	LastEpoch structs.Epoch `json:"le,omitempty"`
}

// MessageKind implements peer.Message.
func (*VoteReply) MessageKind() peer.Kind { return "replication.voted" }

// LeadershipTransfer asks a member that holds the whole log to stand for
// election at once.
type LeadershipTransfer struct {
	Shard structs.ShardNumber `json:"s"`
	Epoch structs.Epoch       `json:"e"`
}

// MessageKind implements peer.Message.
func (*LeadershipTransfer) MessageKind() peer.Kind { return "replication.take_over" }

// SnapshotChunk is a part of a compressed snapshot.
type SnapshotChunk struct {
	Shard structs.ShardNumber `json:"s"`
	Epoch structs.Epoch       `json:"e"`
	// Index and IndexEpoch identify the last entry that the snapshot includes.
	Index      structs.Index `json:"i"`
	IndexEpoch structs.Epoch `json:"ie"`
	Group      Group         `json:"g"`
	Offset     int           `json:"o"`
	Total      int           `json:"t"`
	Data       []byte        `json:"d"`
	// Round is the leader's, as in AppendRequest.
	Round uint64 `json:"r,omitempty"`
}

// MessageKind implements peer.Message.
func (*SnapshotChunk) MessageKind() peer.Kind { return "replication.chunk" }

// wellFormed reports whether the chunk lies within a snapshot of permitted
// size.
func (m *SnapshotChunk) wellFormed() bool {
	return m.Offset >= 0 && m.Total > 0 && m.Total <= maxSnapshotBytes &&
		m.Offset+len(m.Data) <= m.Total && len(m.Group) > 0 && m.IndexEpoch <= m.Epoch
}

// SnapshotChunkReply answers SnapshotChunk with the next offset to send.
type SnapshotChunkReply struct {
	Shard structs.ShardNumber `json:"s"`
	Epoch structs.Epoch       `json:"e"`
	Index structs.Index       `json:"i"`
	Next  int                 `json:"n"`
	Round uint64              `json:"r,omitempty"`
}

// MessageKind implements peer.Message.
func (*SnapshotChunkReply) MessageKind() peer.Kind { return "replication.chunk_taken" }

// Dismiss informs a daemon that it is no longer a member of a shard's group.
type Dismiss struct {
	Shard structs.ShardNumber `json:"s"`
	Epoch structs.Epoch       `json:"e"`
	// Round is the leader's last round of the membership that ends.
	Round uint64 `json:"r,omitempty"`
}

// MessageKind implements peer.Message.
func (*Dismiss) MessageKind() peer.Kind { return "replication.dismiss" }

// ShardEpoch is a replica's epoch.
type ShardEpoch struct {
	Shard structs.ShardNumber `json:"s"`
	Epoch structs.Epoch       `json:"e"`
}

// Audit asks a leader whether it still leads the listed shards in the given
// epochs.
type Audit struct {
	Shards []ShardEpoch `json:"s"`
}

// MessageKind implements peer.Message.
func (*Audit) MessageKind() peer.Kind { return "replication.audit" }

// ShardRoute is the route of one shard.
type ShardRoute struct {
	Shard      structs.ShardNumber `json:"s"`
	Leader     structs.DaemonID    `json:"l,omitempty"`
	Epoch      structs.Epoch       `json:"e"`
	NoMajority bool                `json:"n,omitempty"`
	// Holder is set when the sender is a member of the group, Leads when it
	// leads the group, even if it does not serve yet.
	Holder bool `json:"h,omitempty"`
	Leads  bool `json:"a,omitempty"`
}

// RouteRequest asks a daemon for the leaders of shards.
type RouteRequest struct {
	Shards []structs.ShardNumber `json:"s"`
	// More is set by a daemon that lacks many routes: the reply may include
	// further shards, from From on.
	More bool                `json:"m,omitempty"`
	From structs.ShardNumber `json:"f,omitempty"`
}

// MessageKind implements peer.Message.
func (*RouteRequest) MessageKind() peer.Kind { return "replication.where" }

// RouteReply answers RouteRequest, and Audit for the shards on which the two
// daemons disagree.
type RouteReply struct {
	Routes []ShardRoute `json:"r"`
}

// MessageKind implements peer.Message.
func (*RouteReply) MessageKind() peer.Kind { return "replication.is" }

func init() {
	peer.Register(peer.ClassData, &AppendRequest{})
	peer.Register(peer.ClassData, &AppendReply{})
	peer.Register(peer.ClassData, &SnapshotChunk{})
	peer.Register(peer.ClassData, &SnapshotChunkReply{})
	peer.Register(peer.ClassControl, &VoteRequest{})
	peer.Register(peer.ClassControl, &VoteReply{})
	peer.Register(peer.ClassControl, &LeadershipTransfer{})
	peer.Register(peer.ClassControl, &Dismiss{})
	peer.Register(peer.ClassControl, &Audit{})
	peer.Register(peer.ClassControl, &RouteRequest{})
	peer.Register(peer.ClassControl, &RouteReply{})
}
