package relay

import (
	"io"
	"net/http"
)

// Answer is an instance's answer, with its body unread.
type Answer struct {
	Status int
	Header http.Header
	// Body must be closed by the receiver of the answer.
	Body io.ReadCloser
	// NotRun is what proves that the request was not run. Without a proof it may have been, whatever
	// the status.
	NotRun NotRunProof
	// Implies is what callers take the status to mean.
	Implies Implication
}

// Implication is what callers take the status of an answer to mean, whoever gave it.
type Implication string

const (
	// ImpliesNothing: the status only belongs to the answer.
	ImpliesNothing Implication = ""
	// ImpliesNotRun: the request has not run.
	ImpliesNotRun Implication = "not_run"
	// ImpliesBudgetSpent: a turn has not run, as its program's budget is spent.
	ImpliesBudgetSpent Implication = "budget_spent"
	// ImpliesUnknownTurn: a turn has not run, as the turn that it continues is not known.
	ImpliesUnknownTurn Implication = "unknown_turn"
)

// NotRunProof is what proves that a back end did not run a call.
type NotRunProof string

const (
	// ProofNone: nothing does, so the call may have run.
	ProofNone NotRunProof = ""
	// ProofDeclared: the instance says so.
	ProofDeclared NotRunProof = "declared"
	// ProofOtherInstance: another instance has the address, and turned the call away.
	ProofOtherInstance NotRunProof = "other_instance"
	// ProofOtherRun: the call was not sent, as a later run of the back end has the address.
	ProofOtherRun NotRunProof = "other_run"
)

// isGone reports whether the instance that the call was meant for has left its address.
func (p NotRunProof) isGone() bool { return p == ProofOtherInstance || p == ProofOtherRun }
