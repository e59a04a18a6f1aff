package ledger

import (
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/storecapacity"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// result tells what became of a request to a shard's holder.
type result string

const (
	resultOK          result = "ok"
	resultBudgetSpent result = "budget_spent"
	resultUnknownTurn result = "unknown_turn"
	// resultOver: the turn was ended before it began.
	resultOver result = "over"
	// resultMoved: the daemon does not hold the shard, and will not take it.
	resultMoved result = "moved"
	// resultImpaired: the daemon cannot reach the shard's partition now.
	resultImpaired result = "impaired"
	// resultFull: the store keeps as much as it may, so a turn whose text must be kept can not
	// be recorded, whichever daemon holds the shard.
	resultFull result = "full"
	// resultCrowded: a program can not begin, as what it leaves behind would take the room in
	// the store that others need.
	resultCrowded result = "crowded"
	// resultPending: the request was heard and takes a while.
	resultPending result = "pending"
	// resultSilent: no answer came. It is never sent.
	resultSilent result = "silent"
)

// endsAsking tells whether asking another daemon would be of no use.
func (r result) endsAsking() bool { return r.isFinal() || r == resultFull }

// isFinal tells whether the shard's holder answered for good.
func (r result) isFinal() bool {
	switch r {
	case resultOK, resultBudgetSpent, resultUnknownTurn, resultOver, resultCrowded:
		return true
	}
	return false
}

// Request asks the holder of a shard, or the daemon that is to hold it. One of
// Begin, End, Find, Quota, Prepare, Take, Superseded and Confirm is set.
type Request struct {
	Number uint64 `json:"n"`
	Shard  int    `json:"s"`
	// Ledger names the ledger whose shard it is, "" for that of all daemons.
	Ledger string `json:"ledger,omitempty"`
	// FailedEpoch is the epoch of the holder that the asker got no answer from, 0
	// for none: only then may a daemon take the shard from a holder that lives.
	FailedEpoch uint64 `json:"x,omitempty"`
	// FailedHolder is the daemon of that claim.
	FailedHolder string   `json:"h,omitempty"`
	Begin        *Turn    `json:"begin,omitempty"`
	End          *Outcome `json:"end,omitempty"`
	Find         *Find    `json:"find,omitempty"`
	// Quota asks for a request of a tenant whose limit the shard's holder owns.
	Quota *quota.Ask `json:"quota,omitempty"`
	// Prepare: the daemon shall read the shard ahead, as it is to take it.
	Prepare bool `json:"prepare,omitempty"`
	// Take: the daemon shall hold the shard from now on.
	Take bool `json:"take,omitempty"`
	// EvacuationsEnd tells how new the asker's news of evacuations is; 0 if it knows none.
	EvacuationsEnd int64 `json:"oe,omitempty"`
	// Superseded names the asker's claim: the daemon shall give the shard up and tell
	// what it granted.
	Superseded *holderRecord `json:"superseded,omitempty"`
	// Confirm: the daemon shall tell whether it holds the shard, and not take it.
	Confirm bool `json:"confirm,omitempty"`
}

// Find asks for a turn with its whole chain.
type Find struct {
	Turn string `json:"turn"`
	// Certain: that there is none is told only after the store confirmed that
	// the shard is still held.
	Certain bool `json:"certain,omitempty"`
}

// Response answers a Request.
type Response struct {
	Number uint64 `json:"n"`
	Result result `json:"r"`
	// Ledger is the request's.
	Ledger string `json:"ledger,omitempty"`
	// StoreOutMS tells, with resultPending, for how many milliseconds the store has
	// not answered the holder that waits for it; 0 if it does.
	StoreOutMS int64 `json:"out_ms,omitempty"`
	// AllowedInMS tells, with resultPending, in how many milliseconds the holder may
	// grant more from its allowance if the store does not answer; 0 if that is no
	// matter of time.
	AllowedInMS int64 `json:"allowed_ms,omitempty"`
	// Epoch and Holder tell who holds the shard, as far as the answerer knows.
	Epoch  uint64 `json:"e,omitempty"`
	Holder string `json:"d,omitempty"`
	// Released tells that the holder of Epoch gave the shard up, and that Holder
	// is to claim it.
	Released bool `json:"rel,omitempty"`
	// gaveUp: the asker did not wait for the answer. It is never sent.
	gaveUp bool
	// RoutesVersion and RoutesAgeMS tell, with Verdict, which routes the owner has in
	// force and how many milliseconds ago they were known to be the newest at least.
	RoutesVersion int64 `json:"rv,omitempty"`
	RoutesAgeMS   int64 `json:"ra,omitempty"`
	// Evacuations are the answerer's news of evacuations, if they are newer than the
	// asker's.
	Evacuations *zone.EvacuationUpdate `json:"ev,omitempty"`
	// Grant answers Begin, Found answers Find, Verdict answers Quota.
	Grant   Grant          `json:"g,omitzero"`
	Found   *KeptTurn      `json:"f,omitempty"`
	Verdict *quota.Verdict `json:"q,omitempty"`
	// StoreReports tell what the shard, and some others, take in the store, told with a turn that begins.
	StoreReports []storecapacity.Report `json:"sr,omitempty"`
	// RetryAfterMS tells, with resultCrowded, in how many milliseconds the program had better
	// come back.
	RetryAfterMS int64 `json:"back_ms,omitempty"`
	// Former answers Superseded, nil if the daemon did not hold the shard lately.
	Former *FormerAccounts `json:"former,omitempty"`
}

// MessageKind implements peer.Message.
func (*Request) MessageKind() peer.Kind { return "ledger.request" }

// MessageKind implements peer.Message.
func (*Response) MessageKind() peer.Kind { return "ledger.response" }

// LedgerOf returns the name of the ledger that a message is for, false if it is none of
// a ledger's.
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

// causeTake is the kind of a request by which a holder passes its shard on.
const causeTake = "take"

// kind names what a request asks for, for the log.
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

// isWhole tells whether a request asks for something.
func (r *Request) isWhole() bool {
	return r.Begin != nil || r.End != nil || r.Find != nil || r.Quota != nil || r.Prepare || r.Take ||
		r.Superseded != nil || r.Confirm
}
