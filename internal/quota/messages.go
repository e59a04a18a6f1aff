package quota

import "time"

// Request is one request of a tenant, as its daemon asks the tenant's owner.
type Request struct {
	Tenant string `json:"t"`
	// Limit is the tenant's by the configuration of Version: the owner goes by the
	// newest that it was told.
	Limit   Limit `json:"l"`
	Version int64 `json:"v"`
	// Program names the program that the request is of, "" for none, and Route the
	// route of the request.
	Program string `json:"p,omitempty"`
	Route   string `json:"o,omitempty"`
	// MayStartProgram: the request may be the first of its program.
	MayStartProgram bool `json:"f,omitempty"`
	// Refund: the request was admitted before and did not run. It needs no verdict.
	Refund bool `json:"x,omitempty"`
}

// Reason tells what a verdict rests on.
type Reason string

// Reasons.
const (
	// ReasonAdmitted: the bucket had a token.
	ReasonAdmitted Reason = "room"
	// ReasonExhausted: it had none.
	ReasonExhausted Reason = "spent"
	// ReasonProgramsUnderWay: what is left is needed by the programs that are under way.
	ReasonProgramsUnderWay Reason = "programs_under_way"
	// ReasonOwnerSilent: the owner did not answer, and the daemon let the request pass
	// on what it used before.
	ReasonOwnerSilent Reason = "owner_silent"
)

// Verdict is the owner's answer.
type Verdict struct {
	Admitted bool   `json:"a,omitempty"`
	Reason   Reason `json:"r"`
	// RetryAfterMS is, for a request that is not admitted, in how many milliseconds one
	// like it is.
	RetryAfterMS int64 `json:"ms,omitempty"`
	// Tokens is what the bucket held, and Programs how many programs of the tenant
	// are under way.
	Tokens   float64 `json:"k"`
	Programs int     `json:"n,omitempty"`
}

// RetryAfter is when a request that is not admitted had better come again.
func (v Verdict) RetryAfter() time.Duration { return time.Duration(v.RetryAfterMS) * time.Millisecond }
