package structs

import "time"

// Record is one entry of a shard's replicated log. At most one of the pointers
// is set; a record with none is the no-op at the beginning of an epoch.
type Record struct {
	// At is when the record was proposed, by the leader's clock.
	At             time.Time       `json:"at"`
	ProgramStarted *ProgramStarted `json:"program_started,omitempty"`
	CallAccepted   *CallAccepted   `json:"call_accepted,omitempty"`
	CallDispatched *CallDispatched `json:"call_dispatched,omitempty"`
	CallSettled    *CallSettled    `json:"call_settled,omitempty"`
	HoldReleased   *HoldReleased   `json:"hold_released,omitempty"`
	ProgramEnded   *ProgramEnded   `json:"program_ended,omitempty"`
	ProgramRemoved *ProgramRemoved `json:"program_removed,omitempty"`
	QuotaGranted   *QuotaGranted   `json:"quota_granted,omitempty"`
	// The records below are those of control shards; see package placement.
	OrderIssued    *OrderIssued    `json:"order_issued,omitempty"`
	OrderSettled   *OrderSettled   `json:"order_settled,omitempty"`
	EngineRemoved  *EngineRemoved  `json:"engine_forgotten,omitempty"`
	QuotaReceived  *QuotaReceived  `json:"quota_received,omitempty"`
	ShardRecovered *ShardRecovered `json:"shard_recovered,omitempty"`
}

// ProgramStarted starts a program. Its limits are fixed for its lifetime.
type ProgramStarted struct {
	Key      ProgramKey   `json:"key"`
	Template TemplateName `json:"template"`
	// Budget is the budget of a root program; a child uses that of its root.
	Budget          Cost   `json:"budget"`
	Priority        int    `json:"priority"`
	Limits          Limits `json:"limits"`
	SystemPrompt    string `json:"system_prompt,omitempty"`
	ApplicationCost Cost   `json:"application_cost,omitempty"`
}

// CallAccepted adds a call to its program's sequence. Nothing has been sent or
// reserved yet: the cost of the call depends on the history after the calls
// before it.
type CallAccepted struct {
	Key  ProgramKey `json:"key"`
	Call Call       `json:"call"`
	// WholeConversation is set when the call carries the whole conversation of a
	// program that may lack turns; its messages close the gap once the call has
	// completed.
	WholeConversation bool `json:"whole,omitempty"`
}

// CallDispatched is the intent to send a call to a back end, recorded before any
// byte is sent.
type CallDispatched struct {
	Key       ProgramKey `json:"key"`
	RequestID RequestID  `json:"request_id"`
	Attempt   int        `json:"attempt"`
	BackEnd   EngineID   `json:"back_end"`
	Epoch     Epoch      `json:"epoch"`
	// BackEndRun identifies the back end's run as known to the leader, 0 if
	// unknown. The back end does not know the attempt after a restart.
	BackEndRun int64 `json:"back_end_run,omitempty"`
	// Reserved is the worst-case cost of this attempt.
	Reserved Cost `json:"reserved"`
	// Price is fixed at dispatch, so that a price change between reservation and
	// outcome cannot exceed the program's budget.
	Price Price `json:"price"`
	// PreviousNotRun is set when the previous attempt certainly did not run; its
	// reservation is released. Otherwise the reservation stays, since the
	// attempt may have incurred cost.
	PreviousNotRun bool `json:"disproved,omitempty"`
	// Hold is the requested hold, "" for none. It is recorded here so that it
	// can be released if the leader fails after it was taken.
	Hold HoldID `json:"hold,omitempty"`
	// AnswerPrefix is answer text of a lost attempt after which the engine
	// continues. A later leader needs it, since the stream begins after it.
	AnswerPrefix string `json:"answer_prefix,omitempty"`
}

// Price is the cost of a call: per token, and a fixed part.
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

// HoldReleased is recorded after the engine has acknowledged the release, or has
// restarted and lost the hold.
type HoldReleased struct {
	Program ProgramKey `json:"program"`
	Hold    HoldID     `json:"hold"`
}

// ProgramEnded ends a program and all its descendants. The program is removed
// once every hold is released and its retention has expired.
type ProgramEnded struct {
	Key    ProgramKey `json:"key"`
	Reason Reason     `json:"reason"`
}

// ShardRecovered records that all replicas of the shard were lost and that it was
// recovered from the platform's log up to Index; 0 means that nothing was
// recovered. Later entries are unknown.
type ShardRecovered struct {
	Index Index `json:"index"`
}

// ProgramRemoved removes an ended program from the state.
type ProgramRemoved struct {
	Key ProgramKey `json:"key"`
}

// OrderIssued is the intent to send an order to an engine, recorded before it is
// sent.
type OrderIssued struct {
	Order Order `json:"order"`
}

// OrderSettled closes an order, which was either done or abandoned.
type OrderSettled struct {
	Engine EngineID `json:"engine"`
	Fence  uint64   `json:"fence"`
	Done   bool     `json:"done,omitempty"`
}

// EngineRemoved removes an engine that has left the fleet from the state.
type EngineRemoved struct {
	Engine EngineID `json:"engine"`
}

// Ballot orders the quota requests of one shard by epoch, then by the leader's
// count.
type Ballot struct {
	Epoch Epoch  `json:"epoch"`
	Count uint64 `json:"count"`
}

// Before reports whether b is older than other.
func (b Ballot) Before(other Ballot) bool {
	if b.Epoch != other.Epoch {
		return b.Epoch < other.Epoch
	}
	return b.Count < other.Count
}

// QuotaKind is what a tenant's quota bounds.
type QuotaKind string

// Kinds of quota.
const (
	// QuotaSpending bounds the cost per hour.
	QuotaSpending QuotaKind = "spending"
	// QuotaPrograms bounds the number of live programs.
	QuotaPrograms QuotaKind = "programs"
)

// QuotaKey identifies one quota of one tenant.
type QuotaKey struct {
	Tenant TenantName `json:"tenant"`
	Kind   QuotaKind  `json:"kind"`
}

// QuotaRequest is a shard's request to a tenant's home shard for a share of the
// tenant's quota.
type QuotaRequest struct {
	Quota        QuotaKey    `json:"quota"`
	Window       int64       `json:"window"`
	Shard        ShardNumber `json:"shard"`
	BallotNumber Ballot      `json:"order"`
	// Held is the total that the shard has recorded, Wanted the total that it
	// requests.
	Held   Cost `json:"held"`
	Wanted Cost `json:"wanted"`
}

// QuotaGranted is recorded at the tenant's home shard before it answers, so that
// a later leader does not grant the same share to another shard.
type QuotaGranted struct {
	Quota        QuotaKey    `json:"quota"`
	Window       int64       `json:"window"`
	Shard        ShardNumber `json:"shard"`
	BallotNumber Ballot      `json:"order"`
	Total        Cost        `json:"total"`
}

// QuotaReceived is recorded at the requesting shard before it uses a share, and
// before it returns part of one.
type QuotaReceived struct {
	Quota        QuotaKey `json:"quota"`
	Window       int64    `json:"window"`
	BallotNumber Ballot   `json:"order"`
	Total        Cost     `json:"total"`
}

// Decision is one step that was taken for a program, with its reason. The leader
// keeps the latest decisions of each program for operators.
type Decision struct {
	At        time.Time `json:"at"`
	RequestID RequestID `json:"request_id,omitempty"`
	// Step names the decision: "accept", "queue", "route", "retry", ...
	Step   string           `json:"step"`
	Detail string           `json:"detail"`
	Scores []CandidateScore `json:"scores,omitempty"`
}

// CandidateScore is the score of one engine by one scorer.
type CandidateScore struct {
	Engine EngineID `json:"engine"`
	Scorer string   `json:"scorer"`
	// Score is in expected seconds; lower is better.
	Score float64 `json:"score"`
}
