package ledger

import (
	"maps"
	"time"

	"github.com/rotisserie/eris"
)

// Keys of a shard's records.
const (
	// holderKey is the key of the record that names the shard's holder.
	holderKey = "holder"
	// accountPrefix and turnPrefix precede the program's and the turn's ID.
	accountPrefix = "account/"
	turnPrefix    = "turn/"
	// lastKey sorts after all other keys.
	lastKey = "~"
)

const (
	// RetentionMargin is added to every retention: a turn that continues another just
	// before the end of its retention ends some seconds later.
	RetentionMargin = 10 * time.Second
	// chainLimit bounds the turns of one chain.
	chainLimit = 10000
	// endedTurnTTL is how long the end of a turn without a reservation is remembered, so
	// that a delayed request cannot reserve it afterwards.
	endedTurnTTL = 30 * time.Second
)

// errBrokenChain: a kept turn refers to a previous one that is not kept.
var errBrokenChain = eris.New("ledger: a turn of the chain is not kept")

// holderRecord is the value of the record with holderKey.
type holderRecord struct {
	Epoch  uint64 `json:"epoch"`
	Daemon string `json:"daemon"`
}

// state holds a shard's records in the memory of its holder.
type state struct {
	accounts map[string]*accountEntry
	turns    map[string]*turnEntry
	// ended maps turns that ended without a reservation to the time of their end, and dirty
	// holds the keys of the records to append.
	ended map[string]time.Time
	dirty map[string]struct{}
	// inAppend are the accounts whose records are being appended.
	inAppend []*accountEntry
	// returningHeadroom: no headroom is set aside any more.
	returningHeadroom bool
	allowance         allowance
	clock             shardClock
	// machine is the clock of the machine that the holder runs on.
	machine MachineClock
	// maxTextBytes is the most text of a turn that fits into one record; 0 for no bound.
	maxTextBytes int
}

type accountEntry struct {
	account
	usedAt time.Time
	// headroom is the rest of the headroom in the durable record, and appending the rest of
	// that in the record being appended.
	headroom   headroomBalance
	appending  headroomBalance
	isInAppend bool
	// isOnRecord: the store has a record of the account. Until then, allowanceGranted is
	// the total that the allowance has granted.
	isOnRecord       bool
	allowanceGranted int64
	// unrecorded are turns that were granted from headroom and whose reservation is in no
	// record that was sent.
	unrecorded map[string]struct{}
}

type turnEntry struct {
	KeptTurn
	RetentionMS int64
	// UsedAtMS is the reading of the shard's clock when the turn was last used, according
	// to its record; 0 if it is not known.
	UsedAtMS int64
	usedAt   time.Time
	// neededUntil is when the retentions of the turn, and of the turns that continue it, are over.
	neededUntil time.Time
}

func newState(now time.Time) *state {
	return &state{
		clock:    newShardClock(now),
		accounts: map[string]*accountEntry{},
		turns:    map[string]*turnEntry{},
		ended:    map[string]time.Time{},
		dirty:    map[string]struct{}{},
	}
}

// begin reserves a turn's tokens and collects its history.
func (s *state) begin(turn Turn, now time.Time) (Grant, result) {
	if _, over := s.ended[turn.ID]; over {
		return Grant{}, resultEnded
	}
	if turn.Imported != nil {
		s.keep(turn.Imported, turn.Retention, now)
	}
	chain, err := s.useChain(turn.Previous, turn.Retention, now)
	if err != nil {
		return Grant{}, resultUnknownTurn
	}
	entry := s.accounts[turn.Program]
	underway := entry != nil
	if !underway {
		s.coverRetention(turn.Retention)
		entry = s.newAccount(turn, now)
	}
	entry.usedAt = now
	entry.coverRetention(turn.Retention) // also if the turn is refused: the chain that it names is prolonged
	if !entry.reserve(turn) {
		if underway {
			s.markDirty(accountPrefix + turn.Program)
		}
		return Grant{}, resultBudgetSpent
	}
	s.accounts[turn.Program] = entry
	s.markDirty(accountPrefix + turn.Program)
	entry.noteOrigin(turn, s.clock.showMS(now))
	grant := Grant{
		Underway: underway, Instance: entry.instanceOf(turn.Session), HistoryOmitted: turn.HistoryKnown,
		Origin: entry.originOf(turn.Resumes), OriginKept: turn.Origin != nil,
	}
	if !turn.HistoryKnown {
		grant.History = textOf(chain)
	}
	return grant, resultOK
}

// end settles a turn, and keeps it if later ones may continue from it. A turn whose chain
// is not known here is not kept: it may have been granted by a former holder that died with
// its copy of the chain.
func (s *state) end(outcome Outcome, now time.Time) result {
	entry := s.accounts[outcome.Program]
	if entry != nil {
		// Even if the turn was granted by a holder that died with its reservation.
		entry.usedAt = now
		entry.coverRetention(outcome.Retention)
		s.markDirty(accountPrefix + outcome.Program)
	}
	if entry == nil || !entry.settleTurn(outcome) {
		s.ended[outcome.Turn] = now
	}
	if entry != nil && outcome.Instance != "" {
		entry.noteInstance(outcome.Session, outcome.Instance)
	}
	if outcome.Kept == nil {
		return resultOK
	}
	retention := outcome.Retention
	if entry != nil {
		retention = max(retention, entry.retention())
	}
	if outcome.Imported != nil {
		s.keep(outcome.Imported, retention, now)
	}
	if _, err := s.useChain(outcome.Kept.Previous, retention, now); err != nil {
		return resultUnknownTurn
	}
	s.keep(outcome.Kept, retention, now)
	return resultOK
}

// settleTurn settles a turn; false if it is not reserved.
func (e *accountEntry) settleTurn(outcome Outcome) bool {
	most := e.Reserved[outcome.Turn]
	if !e.settle(outcome.Turn, outcome.UsedTokens) {
		return false
	}
	e.creditHeadroom(outcome.Turn, most-outcome.UsedTokens)
	return true
}

// keep adds a completed turn, or those of its pieces that are not kept already. The turns before it
// must have been used.
func (s *state) keep(turn *KeptTurn, retention time.Duration, now time.Time) {
	for _, piece := range turn.pieces(s.maxTextBytes) {
		if s.turns[piece.ID] != nil {
			continue
		}
		entry := &turnEntry{KeptTurn: piece, RetentionMS: retention.Milliseconds()}
		entry.use(now, retention)
		s.turns[piece.ID] = entry
		s.markDirty(turnPrefix + piece.ID)
	}
}

// find returns a turn with its whole chain merged into one turn, nil if it is not kept.
func (s *state) find(id string, now time.Time) *KeptTurn {
	chain, err := s.useChain(id, 0, now)
	if err != nil || id == "" {
		return nil
	}
	return &KeptTurn{ID: id, Input: textOf(chain)}
}

// expire drops up to limit records that are past their retention, and returns how many.
func (s *state) expire(now time.Time, limit int) (dropped int) {
	maps.DeleteFunc(s.ended, func(_ string, at time.Time) bool { return now.Sub(at) > endedTurnTTL })
	for id, entry := range s.accounts {
		if dropped < limit && isExpired(now.Sub(entry.usedAt), entry.RetentionMS) {
			delete(s.accounts, id)
			s.markDirty(accountPrefix + id)
			dropped++
		}
	}
	for id, entry := range s.turns {
		if dropped < limit && now.Sub(entry.neededUntil) > RetentionMargin {
			delete(s.turns, id)
			s.markDirty(turnPrefix + id)
			dropped++
		}
	}
	return dropped
}

// isExpired reports whether a record that was not used for a time, and that nothing else needs, is past
// its retention.
func isExpired(unusedFor time.Duration, retentionMS int64) bool {
	return unusedFor > time.Duration(retentionMS)*time.Millisecond+RetentionMargin
}
