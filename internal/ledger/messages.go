package ledger

import (
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/storecapacity"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// result is the result of a request to a shard's holder.
type result string

const (
	resultOK          result = "ok"
	resultBudgetSpent result = "budget_spent"
	resultUnknownTurn result = "unknown_turn"
	// resultEnded: the turn was ended before it began.
	resultEnded result = "over"
	// resultMoved: the daemon does not hold the shard and will not take it.
	resultMoved result = "moved"
	// resultImpaired: the daemon cannot reach the shard's partition now.
	resultImpaired result = "impaired"
	// resultFull: the store is full, so a turn whose text must be kept cannot be recorded,
	// whichever daemon holds the shard.
	resultFull result = "full"
	// resultCrowded: a program cannot begin because its records would take up space in the
	// store that programs under way need.
	resultCrowded result = "crowded"
	// resultPending: the request was received and takes a while.
	resultPending result = "pending"
	// resultSilent: no answer was received. It is never sent.
	resultSilent result = "silent"
)

// endsAsking reports whether it would be of no use to ask another daemon.
func (r result) endsAsking() bool { return r.isFinal() || r == resultFull }

// isFinal reports whether the result is the shard's holder's final answer.
func (r result) isFinal() bool {
	switch r {
	case resultOK, resultBudgetSpent, resultUnknownTurn, resultEnded, resultCrowded:
		return true
	}
	return false
}

// Request is sent to the holder of a shard, or to the daemon that should hold it. One of
// Begin, End, Find, Quota, Prepare, Take, Superseded and Confirm is set.
type Request struct {
	Number uint64 `json:"n"`
	Shard  int    `json:"s"`
	// Ledger names the ledger that the shard belongs to, "" for the ledger of all daemons.
	Ledger string `json:"ledger,omitempty"`
	// FailedEpoch is the epoch of a holder that did not answer the caller, 0 for none. A
	// daemon may take the shard from a live holder only if it is set.
	FailedEpoch uint64 `json:"x,omitempty"`
	// FailedHolder is the daemon that made the claim with that epoch.
	FailedHolder string   `json:"h,omitempty"`
	Begin        *Turn    `json:"begin,omitempty"`
	End          *Outcome `json:"end,omitempty"`
	Find         *Find    `json:"find,omitempty"`
	// Quota asks to admit a request of a tenant whose limit the shard's holder enforces.
	Quota *quota.Request `json:"quota,omitempty"`
	// Prepare: the daemon should read the shard ahead, as it is about to take it.
	Prepare bool `json:"prepare,omitempty"`
	// Take: the daemon should hold the shard from now on.
	Take bool `json:"take,omitempty"`
	// EvacuationsEnd is the end of the evacuation orders that the caller knows; 0 if it
	// knows none.
	EvacuationsEnd int64 `json:"oe,omitempty"`
	// Superseded is the caller's claim: the daemon must give the shard up and answer what
	// it granted.
	Superseded *holderRecord `json:"superseded,omitempty"`
	// Confirm: the daemon should answer whether it holds the shard, without taking it.
	Confirm bool `json:"confirm,omitempty"`
}

// Find asks for a turn with its whole chain.
type Find struct {
	Turn string `json:"turn"`
	// Certain: resultUnknownTurn is answered only after the store confirmed that the shard
	// is still held.
	Certain bool `json:"certain,omitempty"`
}

// Response answers a Request.
type Response struct {
	Number uint64 `json:"n"`
	Result result `json:"r"`
	// Ledger is the request's.
	Ledger string `json:"ledger,omitempty"`
	// StoreOutMS is, with resultPending, for how many milliseconds the store has not
	// answered the holder that waits for it; 0 if it does.
	StoreOutMS int64 `json:"out_ms,omitempty"`
	// AllowedInMS is, with resultPending, in how many milliseconds the holder may grant
	// more from its allowance if the store does not answer; 0 if waiting does not help.
	AllowedInMS int64 `json:"allowed_ms,omitempty"`
	// Epoch and Holder identify the holder of the shard, as far as the answering daemon
	// knows.
	Epoch  uint64 `json:"e,omitempty"`
	Holder string `json:"d,omitempty"`
	// Released: the holder of Epoch gave the shard up, and Holder is to claim it.
	Released bool `json:"rel,omitempty"`
	// gaveUp: the caller did not wait for the answer. It is never sent.
	gaveUp bool
	// RoutesVersion and RoutesAgeMS accompany Verdict: the version of the owner's routes,
	// and at most how many milliseconds ago they were known to be the newest.
	RoutesVersion int64 `json:"rv,omitempty"`
	RoutesAgeMS   int64 `json:"ra,omitempty"`
	// Evacuations is the answering daemon's knowledge of evacuations, if it is newer than
	// the caller's.
	Evacuations *zone.EvacuationUpdate `json:"ev,omitempty"`
	// Grant answers Begin, Found answers Find, Verdict answers Quota.
	Grant   Grant          `json:"g,omitzero"`
	Found   *KeptTurn      `json:"f,omitempty"`
	Verdict *quota.Verdict `json:"q,omitempty"`
	// StoreReports contain the store usage of the shard, and of some others, in answers to
	// Begin.
	StoreReports []storecapacity.Report `json:"sr,omitempty"`
	// RetryAfterMS is, with resultCrowded, in how many milliseconds the program should be
	// tried again.
	RetryAfterMS int64 `json:"back_ms,omitempty"`
	// Former answers Superseded, nil if the daemon did not hold the shard recently.
	Former *FormerAccounts `json:"former,omitempty"`
}

// MessageKind implements peer.Message.
func (*Request) MessageKind() peer.Kind { return "ledger.request" }

// MessageKind implements peer.Message.
func (*Response) MessageKind() peer.Kind { return "ledger.response" }

// LedgerOf returns the name of the ledger that a message is for, false if it is not a
// ledger's message.
func LedgerOf(message peer.Message) (name string, known bool) {
	switch message := message.(type) {
	case *Request:
		return message.Ledger, true
	case *Response:
		return message.Ledger, true
	}
	return "", false
}

func init() {
	peer.Register(peer.ClassData, &Request{})
	peer.Register(peer.ClassData, &Response{})
}

// causeTake is the kind of a request by which a holder hands its shard over.
const causeTake = "take"

// kind returns the kind of a request, for the log.
func (r *Request) kind() string {
	switch {
	case r.Begin != nil:
		return "begin"
	case r.End != nil:
		return "end"
	case r.Find != nil:
		return "find"
	case r.Quota != nil:
		return "quota"
	case r.Prepare:
		return "prepare"
	}
	return causeTake
}

// hasOperation reports whether a request asks for something.
func (r *Request) hasOperation() bool {
	return r.Begin != nil || r.End != nil || r.Find != nil || r.Quota != nil || r.Prepare || r.Take ||
		r.Superseded != nil || r.Confirm
}
