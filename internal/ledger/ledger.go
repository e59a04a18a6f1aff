// Package ledger keeps what must survive of programs: the tokens that each has
// spent and reserved, and the turns that later ones go on from.
//
// Programs hash to shards. A shard is one partition of the store; at any time
// one daemon holds it, reads it into memory once and appends every change
// before it answers. Any daemon may take a shard over at any moment by
// appending with a higher epoch: the store refuses the former holder's appends
// from then on, so no promise rests on time or on who believes to hold what.
// Who should hold a shard follows from membership by rendezvous hashing.
package ledger

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/admission"
)

// Errors of the service.
var (
	// ErrBudgetSpent: the budget has no room for the turn. It does not run.
	ErrBudgetSpent = eris.New("ledger: the budget is spent")
	// ErrUnknownTurn: no such turn was completed and is still kept.
	ErrUnknownTurn = eris.New("ledger: no such turn")
	// ErrUnavailable: the record can not be reached now.
	ErrUnavailable = eris.New("ledger: the record can not be reached")
	// ErrStoreUnreachable is ErrUnavailable where no daemon that was asked could
	// reach the store: that may last.
	ErrStoreUnreachable = eris.Wrap(ErrUnavailable, "ledger: the store can not be reached")
)

// UnavailableError is an ErrUnavailable that tells what keeps a record from being
// reached, and since when.
type UnavailableError struct {
	Shard int
	// Kind is ShardMoving, or StoreUnavailable: then the error is ErrStoreUnreachable, too.
	Kind  admission.Kind
	Since time.Time
	// last is the last answer.
	last result
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%v: shard %d, last answer: %s", e.Unwrap(), e.Shard, e.last)
}

// Unwrap returns ErrStoreUnreachable or ErrUnavailable.
func (e *UnavailableError) Unwrap() error {
	if e.Kind == admission.StoreUnavailable {
		return ErrStoreUnreachable
	}
	return ErrUnavailable
}

// StoreCapacityError: a program can not begin, as the store has no room for what it would leave
// behind. Nothing of the turn was reserved.
type StoreCapacityError struct {
	Shard int
	// RetryAfter is when the caller had better come back.
	RetryAfter time.Duration
}

// Error implements error.
func (e *StoreCapacityError) Error() string {
	return fmt.Sprintf("ledger: the store has no room for another program: shard %d, back in %s", e.Shard, e.RetryAfter)
}

// Turn is a turn that is about to run.
type Turn struct {
	// ID names the caller's try; every try has its own.
	ID      string `json:"id"`
	Program string `json:"program"`
	// Session names the line of turns within the program that this one is of.
	Session string `json:"session,omitempty"`
	// BudgetTokens bounds what all turns of the program generate together;
	// 0 sets no bound.
	BudgetTokens int64 `json:"budget,omitempty"`
	// MaxTokens is the most that this turn generates.
	MaxTokens int64 `json:"most,omitempty"`
	// Previous is the turn that this one goes on from, "" for none.
	Previous string `json:"previous,omitempty"`
	// Retention is how long the program and its turns are kept after their
	// last use.
	Retention time.Duration `json:"retention,omitempty"`
	// HistoryKnown: the asker has the text of the chain, so the grant needs none.
	HistoryKnown bool `json:"known,omitempty"`
	// Imported is the previous turn as another shard keeps it, nil if this
	// shard keeps it itself.
	Imported *KeptTurn `json:"imported,omitempty"`
	// Regions are those that the turn's text may go to, nil for all. It is never sent:
	// see package residency.
	Regions []string `json:"-"`
}

// Grant lets a turn run.
type Grant struct {
	// History is the text of the chain of turns before this one.
	History []byte `json:"history,omitempty"`
	// HistoryOmitted: the asker said that it has the text.
	HistoryOmitted bool `json:"left_out,omitempty"`
	// Underway: the program has had turns before.
	Underway bool `json:"underway,omitempty"`
	// Instance ran the session's turn before, or else the program's latest: it
	// has most of the prompt in its cache. "" if that is not known.
	Instance string `json:"instance,omitempty"`
}

// Outcome is what became of a turn.
type Outcome struct {
	Turn    string `json:"turn"`
	Program string `json:"program"`
	// Session is the turn's, and Instance ran it to its end, "" if none did.
	Session  string `json:"session,omitempty"`
	Instance string `json:"instance,omitempty"`
	// Retention is the turn's own: its holder may have died with the account.
	Retention time.Duration `json:"retention,omitempty"`
	// UsedTokens is what the caller got.
	UsedTokens int64 `json:"used,omitempty"`
	// Kept is the turn, if later ones may go on from it.
	Kept *KeptTurn `json:"kept,omitempty"`
	// Imported is the turn before it with its whole chain as one turn, if the
	// shard's holder does not know that.
	Imported *KeptTurn `json:"imported,omitempty"`
	// Regions are those of the turn.
	Regions []string `json:"-"`
}

// KeptTurn is a completed turn.
type KeptTurn struct {
	ID string `json:"id"`
	// Previous is the turn before it in its chain, "" for none.
	Previous string `json:"previous,omitempty"`
	// Input is the turn's own input, Output the text of its answer.
	Input  []byte `json:"input,omitempty"`
	Output []byte `json:"output,omitempty"`
}
