package ledger

import "time"

const (
	// headroomDivisor limits headroom to this fraction of the remaining budget.
	headroomDivisor = 2
	// spareTurns is how many turns must fit into the budget besides the headroom.
	spareTurns = 2
	// maxImmediateTurns bounds the immediate headroom, in turns. A program and its
	// sub-agents take several at once, and the headroom is renewed at the end of each turn.
	maxImmediateTurns = 3
	// unboundedHeadroom is the headroom of programs without a budget.
	unboundedHeadroom = 1 << 40
)

// instancesLimit bounds the sessions of a program whose instances are remembered:
// sub-agents come and go, and each adds about 40 bytes to the account's record.
const instancesLimit = 12

// account holds what a program has spent and reserved. It has no side effects: the holder
// makes changes durable.
type account struct {
	// Spent counts the tokens of settled turns.
	Spent int64 `json:"spent"`
	// Reserved holds the most tokens that each unsettled turn may generate. The reservation
	// of a turn whose daemon died stays, since its caller may have received that many.
	Reserved map[string]int64 `json:"reserved,omitempty"`
	// BudgetTokens bounds the sum of spent and reserved tokens, 0 for no bound.
	BudgetTokens int64 `json:"budget,omitempty"`
	// MaxTokens is the most tokens that the program's latest turn may generate.
	MaxTokens int64 `json:"most,omitempty"`
	// Headroom is what the holder may grant without an append. Whoever reads the record
	// later must count it as spent.
	Headroom int64 `json:"headroom,omitempty"`
	// OutageHeadroom may be granted in addition once the holder has sent the store nothing
	// for singleTurnPeriod.
	OutageHeadroom int64 `json:"further,omitempty"`
	// Forfeited is the part of Spent that was headroom of a holder that lost the shard.
	Forfeited int64 `json:"forfeited,omitempty"`
	// Instances maps each session to the back-end instance that ran its latest turn, and ""
	// to that of the program's latest turn.
	Instances map[string]string `json:"instances,omitempty"`
	// Origins holds the origins of the program's streams that may be resumed, by turn.
	Origins map[string]streamOrigin `json:"origins,omitempty"`
	// RetentionMS is how long the account is kept after its last use, in milliseconds.
	RetentionMS int64 `json:"retention_ms,omitempty"`
	// UsedAtMS is the reading of the shard's clock when the account was last used, in
	// milliseconds; 0 if it is not known.
	UsedAtMS int64 `json:"used_at_ms,omitempty"`
}

// reserve reserves the most tokens that a turn may generate. It returns false, and changes
// nothing, if the budget has no room. Reserving a turn again has no effect.
func (a *account) reserve(turn Turn) bool {
	if _, already := a.Reserved[turn.ID]; already {
		return true
	}
	if turn.BudgetTokens > 0 && a.committed()+turn.MaxTokens > turn.BudgetTokens {
		return false
	}
	if a.Reserved == nil {
		a.Reserved = map[string]int64{}
	}
	a.Reserved[turn.ID] = turn.MaxTokens
	a.BudgetTokens = turn.BudgetTokens
	a.MaxTokens = turn.MaxTokens
	return true
}

// retention is how long the account is kept after its last use.
func (a *account) retention() time.Duration { return time.Duration(a.RetentionMS) * time.Millisecond }

// coverRetention keeps the account for as long as a turn of the program with a retention.
func (a *account) coverRetention(retention time.Duration) {
	a.RetentionMS = max(a.RetentionMS, retention.Milliseconds())
}

// settle replaces a turn's reservation with the tokens it used. It returns false if there
// is no reservation.
func (a *account) settle(turn string, used int64) bool {
	if _, reserved := a.Reserved[turn]; !reserved {
		return false
	}
	delete(a.Reserved, turn)
	a.Spent += used
	return true
}

// forfeit counts the headroom as spent: the immediate headroom only, or all of it.
func (a *account) forfeit(immediateOnly bool) {
	lost := a.Headroom
	if !immediateOnly {
		lost += a.OutageHeadroom
	}
	if a.BudgetTokens > 0 {
		a.Spent += lost
		a.Forfeited += lost
	}
	a.Headroom, a.OutageHeadroom = 0, 0
}

// nextHeadroom returns the headroom for the program's next turns. It is at most half of the
// remaining budget and leaves room for spareTurns if the holder dies: the turn that was cut
// off and the one that replaces it. Immediate headroom covers a few turns; the rest may be
// granted in outages of the store only.
func (a *account) nextHeadroom() (immediate, outageOnly int64) {
	if a.BudgetTokens == 0 {
		return unboundedHeadroom, 0
	}
	remaining := a.remaining()
	total := max(min(remaining/headroomDivisor, remaining-spareTurns*a.MaxTokens), 0)
	immediate = min(total, maxImmediateTurns*a.MaxTokens)
	return immediate, total - immediate
}

// remaining returns the tokens that are neither spent nor reserved.
func (a *account) remaining() int64 { return a.BudgetTokens - a.committed() }

func (a *account) committed() int64 {
	total := a.Spent
	for _, most := range a.Reserved {
		total += most
	}
	return total
}

// noteInstance remembers which instance ran a session's turn.
func (a *account) noteInstance(session, instance string) {
	if a.Instances == nil || len(a.Instances) >= instancesLimit {
		a.Instances = map[string]string{}
	}
	a.Instances[session] = instance
	a.Instances[""] = instance
}

// instanceOf returns the instance that ran the session's latest turn or, if that is not
// known, the program's.
func (a *account) instanceOf(session string) string {
	if instance := a.Instances[session]; instance != "" {
		return instance
	}
	return a.Instances[""]
}
