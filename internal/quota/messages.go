package quota

import "time"

// Request asks a tenant's owner to admit one of the tenant's requests, or to take back
// an admission.
type Request struct {
	Tenant string `json:"t"`
	// Limit is the tenant's limit in the configuration of Version. The owner applies
	// the newest version that it has received.
	Limit   Limit `json:"l"`
	Version int64 `json:"v"`
	// Program is the program of the request, "" for none; Route is the route of the
	// request.
	Program string `json:"p,omitempty"`
	Route   string `json:"o,omitempty"`
	// MayStartProgram: the request may be the first of its program.
	MayStartProgram bool `json:"f,omitempty"`
	// Refund: the request was admitted before and did not run. The verdict is ignored.
	Refund bool `json:"x,omitempty"`
}

// Reason is the reason of a verdict.
type Reason string

// Reasons.
const (
	// ReasonAdmitted: the bucket had a token.
	ReasonAdmitted Reason = "room"
	// ReasonExhausted: the bucket was empty.
	ReasonExhausted Reason = "spent"
	// ReasonProgramsUnderWay: the remaining tokens are reserved for running programs.
	ReasonProgramsUnderWay Reason = "programs_under_way"
	// ReasonOwnerSilent: the owner did not answer, and the daemon admitted the request
	// at the tenant's former rate.
	ReasonOwnerSilent Reason = "owner_silent"
)

// Verdict is the owner's answer to a Request.
type Verdict struct {
	Admitted bool   `json:"a,omitempty"`
	Reason   Reason `json:"r"`
	// RetryAfterMS is the retry delay in milliseconds for a request that is not
	// admitted.
	RetryAfterMS int64 `json:"ms,omitempty"`
	// Tokens is what the bucket held, Programs the number of the tenant's running
	// programs.
	Tokens   float64 `json:"k"`
	Programs int     `json:"n,omitempty"`
}

// RetryAfter returns the retry delay for a request that is not admitted.
func (v Verdict) RetryAfter() time.Duration { return time.Duration(v.RetryAfterMS) * time.Millisecond }
