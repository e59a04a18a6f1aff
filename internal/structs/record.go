package structs

import "time"

// Record is one entry of a shard's replicated log. Exactly one of the
// pointers is set; an entry with none is a no-operation that opens an epoch.
type Record struct {
	// At is the leader's clock when it proposed the record.
	At             time.Time       `json:"at"`
	ProgramStarted *ProgramStarted `json:"program_started,omitempty"`
	CallAccepted   *CallAccepted   `json:"call_accepted,omitempty"`
	CallDispatched *CallDispatched `json:"call_dispatched,omitempty"`
	CallSettled    *CallSettled    `json:"call_settled,omitempty"`
	HoldReleased   *HoldReleased   `json:"hold_released,omitempty"`
	ProgramEnded   *ProgramEnded   `json:"program_ended,omitempty"`
	ProgramRemoved *ProgramRemoved `json:"program_removed,omitempty"`
	QuotaGranted   *QuotaGranted   `json:"quota_granted,omitempty"`
	// The rest are records of control shards; see package placement.
	OrderIssued     *OrderIssued     `json:"order_issued,omitempty"`
	OrderSettled    *OrderSettled    `json:"order_settled,omitempty"`
	EngineForgotten *EngineForgotten `json:"engine_forgotten,omitempty"`
	QuotaReceived   *QuotaReceived   `json:"quota_received,omitempty"`
	ShardRecovered  *ShardRecovered  `json:"shard_recovered,omitempty"`
}

// ProgramStarted opens a program with its limits fixed for life.
type ProgramStarted struct {
	Key      ProgramKey   `json:"key"`
	Template TemplateName `json:"template"`
	// Budget is for a root program; a child draws on its root's.
	Budget          Cost   `json:"budget"`
	Priority        int    `json:"priority"`
	Limits          Limits `json:"limits"`
	SystemPrompt    string `json:"system_prompt,omitempty"`
	ApplicationCost Cost   `json:"application_cost,omitempty"`
}

// CallAccepted admits a call to its program's order. Nothing has been sent
// and nothing is reserved yet: what the call may cost depends on the history
// that the calls before it leave.
type CallAccepted struct {
	Key  ProgramKey `json:"key"`
	Call Call       `json:"call"`
	// WholeConversation is set when the call brought the whole conversation to a program
	// that may lack turns; its messages make up for them once it completed.
	WholeConversation bool `json:"whole,omitempty"`
}

// CallDispatched is the intent to send a call to a back end, recorded before
// a byte leaves.
type CallDispatched struct {
	Key       ProgramKey `json:"key"`
	RequestID RequestID  `json:"request_id"`
	Attempt   int        `json:"attempt"`
	BackEnd   EngineID   `json:"back_end"`
	Epoch     Epoch      `json:"epoch"`
	// BackEndRun is the run of the back end the leader believed in, 0 when it
	// knew none. A later run has no memory of the attempt.
	BackEndRun int64 `json:"back_end_run,omitempty"`
	// Reserved is the worst-case cost of this attempt.
	Reserved Cost `json:"reserved"`
	// Price is fixed at dispatch, so that a price change between reservation
	// and outcome cannot carry a program past its budget.
	Price Price `json:"price"`
	// PreviousNotRun is set when the former attempt certainly did not run; its
	// reservation is freed. Otherwise it stays, since it may have cost.
	PreviousNotRun bool `json:"disproved,omitempty"`
	// Hold is the engine memory asked for, "" for none. Naming it here records
	// it before it is taken.
	Hold HoldID `json:"hold,omitempty"`
	// AnswerPrefix is answer text of a lost attempt that the engine is to go on
	// behind. Its stream begins there, which a later leader must know.
	AnswerPrefix string `json:"answer_prefix,omitempty"`
}

// Price is what a call costs per token, and for itself.
type Price struct {
	Prompt     Cost `json:"prompt,omitempty"`
	Completion Cost `json:"completion,omitempty"`
	Call       Cost `json:"call,omitempty"`
}

// Of returns the cost of an answer.
func (p Price) Of(usage Usage) Cost {
	return p.Call + p.Prompt*Cost(usage.PromptTokens) + p.Completion*Cost(usage.CompletionTokens)
}

// CallSettled is the outcome of a call.
type CallSettled struct {
	Key       ProgramKey `json:"key"`
	RequestID RequestID  `json:"request_id"`
	Outcome   Outcome    `json:"outcome"`
}

// HoldReleased is recorded after the engine acknowledged the release, or has
// restarted and holds nothing.
type HoldReleased struct {
	Program ProgramKey `json:"program"`
	Hold    HoldID     `json:"hold"`
}

// ProgramEnded closes a program and all its descendants. Its record stays
// until every hold is released and its retention has passed.
type ProgramEnded struct {
	Key    ProgramKey `json:"key"`
	Reason Reason     `json:"reason"`
}

// ShardRecovered says that every holder of the shard was lost. What came after
// Index, the latest entry that the platform's log had, is not known; 0 means
// that nothing is.
type ShardRecovered struct {
	Index Index `json:"index"`
}

// ProgramRemoved forgets an ended program.
type ProgramRemoved struct {
	Key ProgramKey `json:"key"`
}

// OrderIssued puts an order to an engine in force, before it is sent.
type OrderIssued struct {
	Order Order `json:"order"`
}

// OrderSettled ends an order: done, or given up.
type OrderSettled struct {
	Engine EngineID `json:"engine"`
	Fence  uint64   `json:"fence"`
	Done   bool     `json:"done,omitempty"`
}

// EngineForgotten drops an engine that has left the fleet.
type EngineForgotten struct {
	Engine EngineID `json:"engine"`
}

// Ballot orders the questions of one shard: by the leadership that asks, then
// by its own count.
type Ballot struct {
	Epoch Epoch  `json:"epoch"`
	Count uint64 `json:"count"`
}

// Before tells whether b is older than other.
func (b Ballot) Before(other Ballot) bool {
	if b.Epoch != other.Epoch {
		return b.Epoch < other.Epoch
	}
	return b.Count < other.Count
}

// QuotaKind tells what a tenant's quota bounds.
type QuotaKind string

// Kinds of quota.
const (
	// QuotaSpending bounds cost per hour.
	QuotaSpending QuotaKind = "spending"
	// QuotaPrograms bounds live programs.
	QuotaPrograms QuotaKind = "programs"
)

// QuotaKey names one quota of one tenant.
type QuotaKey struct {
	Tenant TenantName `json:"tenant"`
	Kind   QuotaKind  `json:"kind"`
}

// QuotaRequest is a shard's question to a tenant's home shard for a slice of the
// tenant's quota.
type QuotaRequest struct {
	Quota        QuotaKey    `json:"quota"`
	Window       int64       `json:"window"`
	Shard        ShardNumber `json:"shard"`
	BallotNumber Ballot      `json:"order"`
	// Held is the total the shard has recorded; Wanted the total it would like.
	Held   Cost `json:"held"`
	Wanted Cost `json:"wanted"`
}

// QuotaGranted is recorded at the tenant's home shard before the answer leaves,
// so that a successor never hands the same slice to another shard.
type QuotaGranted struct {
	Quota        QuotaKey    `json:"quota"`
	Window       int64       `json:"window"`
	Shard        ShardNumber `json:"shard"`
	BallotNumber Ballot      `json:"order"`
	Total        Cost        `json:"total"`
}

// QuotaReceived is recorded at the asking shard before it uses a slice, and
// before it gives part of one back.
type QuotaReceived struct {
	Quota        QuotaKey `json:"quota"`
	Window       int64    `json:"window"`
	BallotNumber Ballot   `json:"order"`
	Total        Cost     `json:"total"`
}

// Decision is one step the fleet took for a program and why; the leader keeps
// the latest of each program for operators.
type Decision struct {
	At        time.Time `json:"at"`
	RequestID RequestID `json:"request_id,omitempty"`
	// Step names the decision: "accept", "queue", "route", "retry", ...
	Step   string           `json:"step"`
	Detail string           `json:"detail"`
	Scores []CandidateScore `json:"scores,omitempty"`
}

// CandidateScore is what one scorer gave one engine.
type CandidateScore struct {
	Engine EngineID `json:"engine"`
	Scorer string   `json:"scorer"`
	// Score is in expected seconds; lower is better.
	Score float64 `json:"score"`
}
