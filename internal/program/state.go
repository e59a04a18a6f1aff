// Package program holds the state of the programs of one shard and the rules by which
// it changes. It is deterministic: Apply applies a committed record to the state,
// Admit and its variants turn a call into records or a refusal, and nothing here reads
// a clock, uses random numbers or does I/O.
package program

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// CallStage is the progress of an accepted call.
type CallStage string

// Stages of a call that has no outcome yet.
const (
	// StageAccepted: queued in the program's order, not sent.
	StageAccepted CallStage = "accepted"
	// StageDispatched: the dispatch is recorded; the back end may have received the
	// call.
	StageDispatched CallStage = "dispatched"
)

// CallState is a call that has no outcome yet.
type CallState struct {
	Call         structs.Call     `json:"call"`
	Stage        CallStage        `json:"stage"`
	AcceptedAt   time.Time        `json:"accepted_at"`
	Attempt      int              `json:"attempt,omitempty"`
	BackEnd      structs.EngineID `json:"back_end,omitempty"`
	Epoch        structs.Epoch    `json:"epoch,omitempty"`
	BackEndRun   int64            `json:"back_end_run,omitempty"`
	Hold         structs.HoldID   `json:"hold,omitempty"`
	DispatchedAt time.Time        `json:"dispatched_at,omitzero"`
	// AnswerPrefix is the part of the answer that the current attempt was given to
	// continue.
	AnswerPrefix string        `json:"answer_prefix,omitempty"`
	Price        structs.Price `json:"price,omitzero"`
	// Reserved is the reservation of the current attempt, LostReserved that of
	// attempts whose cost will never be known.
	Reserved     structs.Cost `json:"reserved,omitempty"`
	LostReserved structs.Cost `json:"lost_reserved,omitempty"`
	// Window is the quota window that the reservation counts against.
	Window int64 `json:"window,omitempty"`
	// Whole is set when the call carries the whole conversation and so closes a gap
	// before it.
	Whole bool `json:"whole,omitempty"`
}

// SettledCall is a call with its outcome. The answer of a model call is stored once,
// in the program's history at AnswerIndex.
type SettledCall struct {
	Sequence    uint64           `json:"sequence"`
	Kind        structs.CallKind `json:"kind"`
	Fingerprint uint64           `json:"fingerprint"`
	Outcome     structs.Outcome  `json:"outcome"`
	// Charged is what the call took from the budget; a call with an unknown outcome is
	// charged its whole reservation until the outcome is known.
	Charged structs.Cost `json:"charged,omitempty"`
	// AnswerIndex is the answer's index in the history; -1 without an answer.
	AnswerIndex int `json:"answer_at"`
}

// noAnswer is the AnswerIndex of a settled call without an answer in the history.
const noAnswer = -1

// Program is the replicated state of one program.
type Program struct {
	Key             structs.ProgramKey   `json:"key"`
	Template        structs.TemplateName `json:"template"`
	Priority        int                  `json:"priority"`
	Limits          structs.Limits       `json:"limits"`
	SystemPrompt    InternedString       `json:"system_prompt,omitzero"`
	ApplicationCost structs.Cost         `json:"application_cost,omitempty"`
	// Budget, Spent and Reserved are kept in the root program for its whole family.
	Budget    structs.Cost `json:"budget,omitempty"`
	Spent     structs.Cost `json:"spent,omitempty"`
	Reserved  structs.Cost `json:"reserved,omitempty"`
	StartedAt time.Time    `json:"started_at"`
	ActiveAt  time.Time    `json:"active_at"`
	// Accepted is the highest sequence number accepted.
	Accepted uint64 `json:"accepted"`
	Turns    int    `json:"turns"`
	// ServedTokens counts the tokens computed for the program so far.
	ServedTokens int64 `json:"served"`
	// History is the conversation without the template's system prompt.
	History History `json:"history,omitzero"`
	// HistoryTokens is the engine's latest count of prompt and answer tokens.
	HistoryTokens int64 `json:"history_tokens,omitempty"`
	// Open holds the calls without an outcome, in the program's order.
	Open    []*CallState                       `json:"open,omitempty"`
	Settled map[structs.RequestID]*SettledCall `json:"settled,omitempty"`
	Holds   map[structs.HoldID]structs.Hold    `json:"holds,omitempty"`
	// LatestHold is the hold of the latest settled model call.
	LatestHold structs.HoldID `json:"latest_hold,omitempty"`
	// ModelSettledAt is when the latest model call was settled.
	ModelSettledAt time.Time `json:"model_settled_at,omitzero"`
	// Children counts live sub-agents.
	Children int `json:"children,omitempty"`
	// LastFingerprint and Repeats count identical consecutive calls.
	LastFingerprint uint64           `json:"last_fingerprint,omitempty"`
	Repeats         int              `json:"repeats,omitempty"`
	LastEngine      structs.EngineID `json:"last_engine,omitempty"`
	Ended           bool             `json:"ended,omitempty"`
	EndReason       structs.Reason   `json:"end_reason,omitempty"`
	EndedAt         time.Time        `json:"ended_at,omitzero"`
	// Recovered is set when the shard lost all its replicas while the program was
	// running; Gap then says whether turns may be missing.
	Recovered bool `json:"recovered,omitempty"`
	Gap       Gap  `json:"gap,omitempty"`
}

// OpenCall returns the open call with this request identifier, or nil.
func (p *Program) OpenCall(request structs.RequestID) *CallState {
	for _, call := range p.Open {
		if call.Call.RequestID == request {
			return call
		}
	}
	return nil
}

// Head returns the first open call, or nil.
func (p *Program) Head() *CallState {
	if len(p.Open) == 0 {
		return nil
	}
	return p.Open[0]
}

// Prompt returns the whole prompt of a call: the template's system prompt, the history
// and the call's new messages.
func (p *Program) Prompt(call *structs.Call) []structs.Message {
	history := p.History.All()
	prompt := make([]structs.Message, 0, 1+len(history)+len(call.Messages))
	if !p.SystemPrompt.IsZero() {
		prompt = append(prompt, structs.Message{Role: "system", Content: p.SystemPrompt.String()})
	}
	prompt = append(prompt, history...)
	return append(prompt, call.Messages...)
}

// Outcome returns the recorded outcome of a settled call, with its answer.
func (p *Program) Outcome(request structs.RequestID) (structs.Outcome, bool) {
	settled, found := p.Settled[request]
	if !found {
		return structs.Outcome{}, false
	}
	outcome := settled.Outcome
	if settled.AnswerIndex != noAnswer {
		outcome.Answer = p.History.At(settled.AnswerIndex)
	}
	return outcome, true
}

// Shard is the state of all programs of one shard.
type Shard struct {
	programs map[structs.ProgramKey]*Program
	// allowances are the parts of tenants' quotas that this shard may use; ledgers are
	// the accounts of the tenants whose home shard this is.
	allowances map[structs.QuotaKey]*Allowance
	ledgers    map[structs.QuotaKey]*Ledger
	// recoveredAt is when the shard was recovered after the loss of all its replicas,
	// zero if it never was.
	recoveredAt time.Time
	// memory counts the daemon's memory, footprints this shard's share of it by
	// program; cache lists the unpacked histories. They are not part of the replicated
	// state.
	memory     *Memory
	footprints map[structs.ProgramKey]int64
	cache      *unpackedCache
}

// NewShard returns an empty shard with a Memory of its own.
func NewShard() *Shard { return NewShardWithMemory(NewMemory(DefaultMemoryLimits())) }

// NewShardWithMemory returns an empty shard that is counted in a daemon's Memory.
func NewShardWithMemory(memory *Memory) *Shard {
	return &Shard{
		memory:     memory,
		footprints: map[structs.ProgramKey]int64{},
		cache:      newUnpackedCache(memory),
		programs:   map[structs.ProgramKey]*Program{},
		allowances: map[structs.QuotaKey]*Allowance{},
		ledgers:    map[structs.QuotaKey]*Ledger{},
	}
}

// Program returns a program, or nil. The caller must not change it.
func (s *Shard) Program(key structs.ProgramKey) *Program { return s.programs[key] }

// Root returns the root program of a program's family, which keeps its budget, or nil.
func (s *Shard) Root(key structs.ProgramKey) *Program {
	return s.programs[structs.ProgramKey{Tenant: key.Tenant, Program: key.Program.Root()}]
}

// Len returns the number of programs.
func (s *Shard) Len() int { return len(s.programs) }

// Programs returns all programs ordered by key.
func (s *Shard) Programs() []*Program {
	all := make([]*Program, 0, len(s.programs))
	for _, program := range s.programs {
		all = append(all, program)
	}
	sortByKey(all)
	return all
}

// Family returns a program's root and all its sub-agents, at any depth, ordered
// by key.
func (s *Shard) Family(key structs.ProgramKey) []*Program {
	var family []*Program
	for other, program := range s.programs {
		if other.Tenant == key.Tenant && other.Program.Root() == key.Program.Root() {
			family = append(family, program)
		}
	}
	sortByKey(family)
	return family
}

func sortByKey(programs []*Program) {
	slices.SortFunc(programs, func(a, b *Program) int { return compareKeys(a.Key, b.Key) })
}

func compareKeys(a, b structs.ProgramKey) int {
	if a.Tenant != b.Tenant {
		if a.Tenant < b.Tenant {
			return -1
		}
		return 1
	}
	if a.Program < b.Program {
		return -1
	}
	if a.Program > b.Program {
		return 1
	}
	return 0
}

// Remaining returns the part of the family's budget that is neither spent nor
// reserved.
func (s *Shard) Remaining(key structs.ProgramKey) structs.Cost {
	root := s.Root(key)
	if root == nil {
		return 0
	}
	return root.Budget - root.Spent - root.Reserved
}
