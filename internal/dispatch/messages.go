package dispatch

import (
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// SubmissionID identifies an attachment of a gateway to a request, unique
// within the run of the daemon that sends it.
type SubmissionID uint64

// Submit asks a shard's leader to run a call, or to attach to it if it is
// known. It may be sent again at any time; the call still runs once.
type Submit struct {
	Submission SubmissionID `json:"submission"`
	// Epoch is the leadership that this copy is meant for. A leader of another
	// epoch redirects it, so that a delayed copy is never accepted after
	// another leader refused the call.
	Epoch structs.Epoch `json:"epoch"`
	Call  structs.Call  `json:"call"`
	// Delivered is answer text that the caller already has. If the engine is
	// gone, another one continues after it.
	Delivered string `json:"delivered,omitempty"`
	// Resent is set when a leader may have accepted an earlier copy of this
	// submission.
	Resent bool `json:"resent,omitempty"`
}

// Attach asks a leader to continue to answer a call that it has accepted,
// without sending the call's content again.
type Attach struct {
	Submission SubmissionID       `json:"submission"`
	Epoch      structs.Epoch      `json:"epoch"`
	Key        structs.ProgramKey `json:"key"`
	RequestID  structs.RequestID  `json:"request_id"`
	ResumeAt   int64              `json:"resume_at"`
	// Retry is Call.Retry: the caller may have sent another copy.
	Retry bool `json:"retry,omitempty"`
}

// NotKnown answers an Attach to a call that the leader does not know.
type NotKnown struct {
	Submission SubmissionID `json:"submission"`
}

// Accepted reports that the leader has the call; without further messages it is
// waiting or running. It answers every Submit that has no other answer.
type Accepted struct {
	Submission SubmissionID `json:"submission"`
}

// Redirected reports that this daemon does not lead the call's shard. The call
// was not touched.
type Redirected struct {
	Submission SubmissionID      `json:"submission"`
	Route      replication.Route `json:"route"`
}

// Answer carries the next chunks of a streamed answer.
type Answer struct {
	Submission SubmissionID    `json:"submission"`
	Chunks     []structs.Chunk `json:"chunks"`
}

// Settled carries the outcome of a call.
type Settled struct {
	Submission SubmissionID    `json:"submission"`
	Outcome    structs.Outcome `json:"outcome"`
	// Provisional is set with an unknown outcome that may still become known.
	Provisional bool `json:"open,omitempty"`
}

// Detach removes an attachment. Cancel also stops the call.
type Detach struct {
	Submission SubmissionID       `json:"submission"`
	Key        structs.ProgramKey `json:"key"`
	RequestID  structs.RequestID  `json:"request_id"`
	Cancel     bool               `json:"cancel,omitempty"`
}

// HoldSeen reports a hold found at an engine to the program's shard leader,
// which releases it if no live program accounts for it.
type HoldSeen struct {
	Hold structs.Hold `json:"hold"`
}

// QuotaRequest asks a tenant's home shard for a larger allowance of its quota,
// or returns an unused part.
type QuotaRequest struct {
	Ask structs.QuotaRequest `json:"ask"`
}

// QuotaAnswer grants an allowance. Total may be less than was requested.
type QuotaAnswer struct {
	Quota  structs.QuotaKey    `json:"quota"`
	Window int64               `json:"window"`
	Shard  structs.ShardNumber `json:"shard"`
	Order  structs.Ballot      `json:"order"`
	Total  structs.Cost        `json:"total"`
}

// Kinds of the messages of this package.
const (
	KindSubmit       peer.Kind = "dispatch.submit"
	KindAttach       peer.Kind = "dispatch.attach"
	KindNotKnown     peer.Kind = "dispatch.not_known"
	KindAccepted     peer.Kind = "dispatch.accepted"
	KindRedirected   peer.Kind = "dispatch.redirected"
	KindAnswer       peer.Kind = "dispatch.answer"
	KindSettled      peer.Kind = "dispatch.settled"
	KindDetach       peer.Kind = "dispatch.detach"
	KindHoldSeen     peer.Kind = "dispatch.hold_seen"
	KindQuotaRequest peer.Kind = "dispatch.quota_ask"
	KindQuotaAnswer  peer.Kind = "dispatch.quota_answer"
)

// Immediate implements peer.Immediate: the text of an answer is placed by its
// offsets, and the outcome is always sent behind it.
func (*Answer) Immediate() {}

// MessageKind implements peer.Message.
func (*Submit) MessageKind() peer.Kind { return KindSubmit }

// MessageKind implements peer.Message.
func (*Attach) MessageKind() peer.Kind { return KindAttach }

// MessageKind implements peer.Message.
func (*NotKnown) MessageKind() peer.Kind { return KindNotKnown }

// MessageKind implements peer.Message.
func (*Accepted) MessageKind() peer.Kind { return KindAccepted }

// MessageKind implements peer.Message.
func (*Redirected) MessageKind() peer.Kind { return KindRedirected }

// MessageKind implements peer.Message.
func (*Answer) MessageKind() peer.Kind { return KindAnswer }

// MessageKind implements peer.Message.
func (*Settled) MessageKind() peer.Kind { return KindSettled }

// MessageKind implements peer.Message.
func (*Detach) MessageKind() peer.Kind { return KindDetach }

// MessageKind implements peer.Message.
func (*HoldSeen) MessageKind() peer.Kind { return KindHoldSeen }

// MessageKind implements peer.Message.
func (*QuotaRequest) MessageKind() peer.Kind { return KindQuotaRequest }

// MessageKind implements peer.Message.
func (*QuotaAnswer) MessageKind() peer.Kind { return KindQuotaAnswer }

func init() {
	peer.Register(peer.ClassControl, &QuotaRequest{})
	peer.Register(peer.ClassControl, &QuotaAnswer{})
	peer.Register(peer.ClassData, &Submit{})
	peer.Register(peer.ClassData, &Attach{})
	peer.Register(peer.ClassData, &NotKnown{})
	peer.Register(peer.ClassData, &Accepted{})
	peer.Register(peer.ClassData, &Redirected{})
	peer.Register(peer.ClassData, &Answer{})
	peer.Register(peer.ClassData, &Settled{})
	peer.Register(peer.ClassData, &Detach{})
	peer.Register(peer.ClassControl, &HoldSeen{})
}
