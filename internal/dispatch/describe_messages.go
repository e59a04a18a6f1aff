package dispatch

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// QueryID identifies a query, unique within the run of the daemon that sends
// it.
type QueryID uint64

// Describe asks a shard's leader for the state of a program.
type Describe struct {
	Query QueryID            `json:"query"`
	Key   structs.ProgramKey `json:"key"`
	// RequestID asks for the complete outcome of one call, "" for none.
	RequestID structs.RequestID `json:"request_id,omitempty"`
	// WithHistory and WithDecisions ask for these in addition.
	WithHistory   bool `json:"with_history,omitempty"`
	WithDecisions bool `json:"with_decisions,omitempty"`
}

// Described answers Describe.
type Described struct {
	Query QueryID `json:"query"`
	// Redirect is set when another daemon leads the shard; the rest is empty.
	Redirect *replication.Route `json:"redirect,omitempty"`
	// Program is nil when the shard has no such program.
	Program *ProgramDescription `json:"program,omitempty"`
}

// List asks one daemon for the programs of the shards that it leads.
type List struct {
	Query QueryID `json:"query"`
	// Tenant restricts the answer to one tenant's programs; "" means all
	// tenants.
	Tenant structs.TenantName `json:"tenant,omitempty"`
	// Limit bounds the number of programs in the answer.
	Limit int `json:"limit"`
}

// Listed answers List: live programs first, then the most recently started.
type Listed struct {
	Query    QueryID          `json:"query"`
	Programs []ProgramSummary `json:"programs"`
	// Total counts the matching programs, including those beyond the limit.
	Total int `json:"total"`
}

// EndProgram asks a shard's leader to end a program and its sub-agents.
type EndProgram struct {
	Query QueryID            `json:"query"`
	Key   structs.ProgramKey `json:"key"`
}

// ProgramEnded answers EndProgram once the end is recorded.
type ProgramEnded struct {
	Query    QueryID            `json:"query"`
	Redirect *replication.Route `json:"redirect,omitempty"`
	// Known is false when the shard has no such program.
	Known bool `json:"known"`
	// Reason is why the program ended, possibly before the request.
	Reason structs.Reason `json:"reason,omitempty"`
}

// CancelCall asks a shard's leader to cancel a call.
type CancelCall struct {
	Query     QueryID            `json:"query"`
	Key       structs.ProgramKey `json:"key"`
	RequestID structs.RequestID  `json:"request_id"`
}

// CallCancelled answers CancelCall. The call may still run to its end if its
// back end cannot stop it.
type CallCancelled struct {
	Query    QueryID            `json:"query"`
	Redirect *replication.Route `json:"redirect,omitempty"`
	// Request is nil when the program does not know the call.
	Request *RequestStatus `json:"request,omitempty"`
}

// ProgramSummary summarizes a program. Budget, Spent and Reserved are those of
// its whole family.
type ProgramSummary struct {
	Key             structs.ProgramKey   `json:"key"`
	Template        structs.TemplateName `json:"template"`
	Priority        int                  `json:"priority"`
	Shard           structs.ShardNumber  `json:"shard"`
	Epoch           structs.Epoch        `json:"epoch"`
	StartedAt       time.Time            `json:"started_at"`
	ActiveAt        time.Time            `json:"active_at"`
	Ended           bool                 `json:"ended"`
	EndReason       structs.Reason       `json:"end_reason,omitempty"`
	EndedAt         time.Time            `json:"ended_at,omitzero"`
	Budget          structs.Cost         `json:"budget"`
	Spent           structs.Cost         `json:"spent"`
	Reserved        structs.Cost         `json:"reserved"`
	Turns           int                  `json:"turns"`
	NextSequence    uint64               `json:"next_sequence"`
	HistoryMessages int                  `json:"history_messages"`
	HistoryTokens   int64                `json:"history_tokens"`
	OpenCalls       int                  `json:"open_calls"`
	SubAgents       int                  `json:"sub_agents"`
	Holds           int                  `json:"holds"`
	LastEngine      structs.EngineID     `json:"last_engine,omitempty"`
}

// ProgramDescription is the complete answer about one program.
type ProgramDescription struct {
	ProgramSummary
	Limits  structs.Limits `json:"limits"`
	Open    []OpenCall     `json:"open,omitempty"`
	Settled []SettledCall  `json:"settled,omitempty"`
	Held    []structs.Hold `json:"held,omitempty"`
	// Request is the requested call; nil when the program does not know it.
	Request   *RequestStatus     `json:"request,omitempty"`
	History   []structs.Message  `json:"history,omitempty"`
	Decisions []structs.Decision `json:"decisions,omitempty"`
}

// OpenCall is a call without an outcome.
type OpenCall struct {
	RequestID structs.RequestID `json:"request_id"`
	Sequence  uint64            `json:"sequence"`
	Kind      structs.CallKind  `json:"kind"`
	Model     structs.ModelName `json:"model,omitempty"`
	Target    string            `json:"target,omitempty"`
	Operation string            `json:"operation,omitempty"`
	// Stage is the name of a stage: "waiting", "queued", "running", ...
	Stage        string           `json:"stage"`
	Attempt      int              `json:"attempt,omitempty"`
	BackEnd      structs.EngineID `json:"back_end,omitempty"`
	AcceptedAt   time.Time        `json:"accepted_at"`
	DispatchedAt time.Time        `json:"dispatched_at,omitzero"`
	Reserved     structs.Cost     `json:"reserved,omitempty"`
	// AnswerBytes is the length of the answer so far.
	AnswerBytes int64  `json:"answer_bytes,omitempty"`
	TraceID     string `json:"trace_id,omitempty"`
}

// SettledCall is a call with its outcome, without the content of the answer.
type SettledCall struct {
	RequestID structs.RequestID     `json:"request_id"`
	Sequence  uint64                `json:"sequence"`
	Kind      structs.CallKind      `json:"kind"`
	Status    structs.OutcomeStatus `json:"status"`
	Reason    structs.Reason        `json:"reason,omitempty"`
	Message   string                `json:"message,omitempty"`
	Usage     structs.Usage         `json:"usage,omitzero"`
	Charged   structs.Cost          `json:"charged,omitempty"`
}

// RequestStatus is the state of one call: its Outcome, or Open while it has
// none.
type RequestStatus struct {
	Open    *OpenCall        `json:"open,omitempty"`
	Outcome *structs.Outcome `json:"outcome,omitempty"`
}

// Kinds of the query messages.
const (
	KindDescribe      peer.Kind = "dispatch.describe"
	KindDescribed     peer.Kind = "dispatch.described"
	KindList          peer.Kind = "dispatch.list"
	KindListed        peer.Kind = "dispatch.listed"
	KindEndProgram    peer.Kind = "dispatch.end_program"
	KindProgramEnded  peer.Kind = "dispatch.program_ended"
	KindCancelCall    peer.Kind = "dispatch.cancel_call"
	KindCallCancelled peer.Kind = "dispatch.call_cancelled"
)

// MessageKind implements peer.Message.
func (*Describe) MessageKind() peer.Kind { return KindDescribe }

// MessageKind implements peer.Message.
func (*Described) MessageKind() peer.Kind { return KindDescribed }

// MessageKind implements peer.Message.
func (*List) MessageKind() peer.Kind { return KindList }

// MessageKind implements peer.Message.
func (*Listed) MessageKind() peer.Kind { return KindListed }

// MessageKind implements peer.Message.
func (*EndProgram) MessageKind() peer.Kind { return KindEndProgram }

// MessageKind implements peer.Message.
func (*ProgramEnded) MessageKind() peer.Kind { return KindProgramEnded }

// MessageKind implements peer.Message.
func (*CancelCall) MessageKind() peer.Kind { return KindCancelCall }

// MessageKind implements peer.Message.
func (*CallCancelled) MessageKind() peer.Kind { return KindCallCancelled }

func init() {
	peer.Register(peer.ClassData, &Describe{})
	peer.Register(peer.ClassData, &Described{})
	peer.Register(peer.ClassData, &List{})
	peer.Register(peer.ClassData, &Listed{})
	peer.Register(peer.ClassData, &EndProgram{})
	peer.Register(peer.ClassData, &ProgramEnded{})
	peer.Register(peer.ClassData, &CancelCall{})
	peer.Register(peer.ClassData, &CallCancelled{})
}
