// Package ledger keeps the durable state of programs: the tokens that each has spent and
// reserved, and the completed turns that later ones continue from.
//
// Programs are hashed to shards. A shard is one partition of the store. At any time one
// daemon holds it, reads it into memory once and appends every change before it answers.
// Any daemon may take a shard over at any moment by appending with a higher epoch. From
// then on the store refuses the former holder's appends, so safety depends neither on time
// nor on what daemons believe about each other. Which daemon should hold a shard follows
// from membership by rendezvous hashing.
package ledger

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/admission"
)

// Errors of the service.
var (
	// ErrBudgetSpent: the budget has no room for the turn, which does not run.
	ErrBudgetSpent = eris.New("ledger: the program's budget has no room for the turn")
	// ErrUnknownTurn: no such turn was completed and is still kept.
	ErrUnknownTurn = eris.New("ledger: no such turn")
	// ErrUnavailable: the record cannot be reached now.
	ErrUnavailable = eris.New("ledger: the program's record cannot be reached")
	// ErrStoreUnreachable is an ErrUnavailable for when no daemon that was asked could
	// reach the store, which may take longer.
	ErrStoreUnreachable = eris.Wrap(ErrUnavailable, "ledger: the store can not be reached")
)

// UnavailableError is an ErrUnavailable with the cause and the time since when a record
// cannot be reached.
type UnavailableError struct {
	Shard int
	// Kind is ShardMoving, or StoreUnavailable: then the error is also ErrStoreUnreachable.
	Kind  admission.Kind
	Since time.Time
	// last is the last answer received.
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

// StoreCapacityError: a program cannot begin because the store has no room for its records.
// Nothing was reserved for the turn.
type StoreCapacityError struct {
	Shard int
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *StoreCapacityError) Error() string {
	return fmt.Sprintf("ledger: the store has no room for another program: shard %d, retry after %s", e.Shard, e.RetryAfter)
}

// Turn is a turn that is about to run.
type Turn struct {
	// ID identifies the caller's try; every try has its own.
	ID      string `json:"id"`
	Program string `json:"program"`
	// Session identifies the sequence of turns within the program that this one belongs to.
	Session string `json:"session,omitempty"`
	// BudgetTokens bounds the tokens that all turns of the program generate together; 0
	// means no bound.
	BudgetTokens int64 `json:"budget,omitempty"`
	// MaxTokens is the most tokens that this turn generates.
	MaxTokens int64 `json:"most,omitempty"`
	// Previous is the turn that this one continues from, "" for none.
	Previous string `json:"previous,omitempty"`
	// Retention is how long the program and its turns are kept after their last use.
	Retention time.Duration `json:"retention,omitempty"`
	// Origin is where the turn's stream is to begin, nil if the stream cannot be resumed by
	// another turn. It is kept for OriginTTLMS, in milliseconds. RecordSoon: the store should
	// have it within some tens of milliseconds.
	Origin      *Origin `json:"origin,omitempty"`
	OriginTTLMS int64   `json:"origin_ttl_ms,omitempty"`
	RecordSoon  bool    `json:"soon,omitempty"`
	// Resumes is the turn that began the stream which this one goes on with, "" for none.
	// OriginOnly: the caller wants to know that stream's origin, and nothing is reserved.
	Resumes    string `json:"resumes,omitempty"`
	OriginOnly bool   `json:"origin_only,omitempty"`
	// HistoryKnown: the caller has the text of the chain, so the grant can omit it.
	HistoryKnown bool `json:"known,omitempty"`
	// Imported is the previous turn as kept by another shard, nil if this shard keeps it
	// itself.
	Imported *KeptTurn `json:"imported,omitempty"`
	// Regions are those that the turn's text may go to, nil for all. It is never sent: see
	// package residency.
	Regions []string `json:"-"`
}

// Grant allows a turn to run.
type Grant struct {
	// History is the text of the chain of turns before this one.
	History []byte `json:"history,omitempty"`
	// HistoryOmitted: the caller said that it has the text.
	HistoryOmitted bool `json:"left_out,omitempty"`
	// Underway: the program has had turns before.
	Underway bool `json:"underway,omitempty"`
	// Origin is that of the stream that the turn resumes, nil if it is not known.
	Origin *Origin `json:"origin,omitempty"`
	// OriginKept: the holder keeps the origin of the turn's own stream.
	OriginKept bool `json:"origin_kept,omitempty"`
	// Instance ran the previous turn of the session or, if there is none, the program's
	// latest turn. It has most of the prompt in its cache. "" if it is not known.
	Instance string `json:"instance,omitempty"`
}

// Outcome is the result of a turn.
type Outcome struct {
	Turn    string `json:"turn"`
	Program string `json:"program"`
	// Session is the turn's, and Instance the one that ran it to its end, "" if none did.
	Session  string `json:"session,omitempty"`
	Instance string `json:"instance,omitempty"`
	// Retention is the turn's own, for when its holder died with the account.
	Retention time.Duration `json:"retention,omitempty"`
	// UsedTokens is the number of tokens that the caller received.
	UsedTokens int64 `json:"used,omitempty"`
	// Kept is the completed turn, if later ones may continue from it.
	Kept *KeptTurn `json:"kept,omitempty"`
	// Imported is the previous turn with its whole chain merged into one turn, if the
	// shard's holder does not know it.
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
