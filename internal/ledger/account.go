package ledger

const (
	// headroomDivisor is the part of what is left that is set aside.
	headroomDivisor = 2
	// turnsSpared is how many turns fit in besides the headroom.
	turnsSpared = 2
	// nearTurns is how many turns the near headroom has at most: a program and its
	// sub-agents take some at once, and each end of a turn sets it aside anew.
	nearTurns = 3
	// unboundedHeadroom is set aside for programs without a budget.
	unboundedHeadroom = 1 << 40
)

// instancesLimit bounds the sessions of a program whose instances are
// remembered: sub-agents come and go, and each costs some 40 bytes of a record.
const instancesLimit = 12

// account is what a program has spent and reserved. It is pure: the holder
// makes changes durable.
type account struct {
	// Spent counts the tokens of settled turns.
	Spent int64 `json:"spent"`
	// Reserved holds the most that each unsettled turn may generate. The
	// reservation of a turn whose daemon died stays: its caller may have got
	// as much.
	Reserved map[string]int64 `json:"reserved,omitempty"`
	// BudgetTokens bounds what is spent and reserved, 0 for no bound.
	BudgetTokens int64 `json:"budget,omitempty"`
	// MaxTokens is the most of the program's latest turn.
	MaxTokens int64 `json:"most,omitempty"`
	// Headroom is what the holder may grant without telling the store: whoever
	// reads the record later must count it as spent.
	Headroom int64 `json:"headroom,omitempty"`
	// Further is what it may grant so besides, once it has sent the store nothing for
	// firstTurnTime.
	Further int64 `json:"further,omitempty"`
	// Forfeited is the part of what is spent that was headroom of a holder that
	// lost the shard.
	Forfeited int64 `json:"forfeited,omitempty"`
	// Instances names the back end's instance that ran the latest turn of each
	// session, and under "" that of the program.
	Instances map[string]string `json:"instances,omitempty"`
	// RetentionMS is how long the account is kept after its last use, in
	// milliseconds.
	RetentionMS int64 `json:"retention_ms,omitempty"`
	// UsedAtMS is what the shard's clock showed when the account was last used,
	// in milliseconds; 0 if that is not known.
	UsedAtMS int64 `json:"used_at_ms,omitempty"`
}

// reserve takes a turn's most from the budget. It returns false, and changes
// nothing, if there is no room. A turn that was reserved before stays so.
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
	a.RetentionMS = max(a.RetentionMS, turn.Retention.Milliseconds())
	return true
}

// settle replaces a turn's reservation by what it used. It returns false if
// there is no such reservation.
func (a *account) settle(turn string, used int64) bool {
	if _, reserved := a.Reserved[turn]; !reserved {
		return false
	}
	delete(a.Reserved, turn)
	a.Spent += used
	return true
}

// forfeit counts the headroom as spent: near alone, or all of it.
func (a *account) forfeit(nearOnly bool) {
	lost := a.Headroom
	if !nearOnly {
		lost += a.Further
	}
	if a.BudgetTokens > 0 {
		a.Spent += lost
		a.Forfeited += lost
	}
	a.Headroom, a.Further = 0, 0
}

// nextHeadroom is what may be set aside for the program's next turns: at most half of
// what is left, and so little that some turns still fit in if the holder dies: one
// that was cut, and the one that replaces it. Near has some turns of it, and far the
// rest. With a turn more for short programs, more of them would have their budget spent
// after losses than could go on in outages.
func (a *account) nextHeadroom() (near, far int64) {
	if a.BudgetTokens == 0 {
		return unboundedHeadroom, 0
	}
	left := a.left()
	total := max(min(left/headroomDivisor, left-turnsSpared*a.MaxTokens), 0)
	near = min(total, nearTurns*a.MaxTokens)
	return near, total - near
}

// left is what is neither spent nor reserved.
func (a *account) left() int64 { return a.BudgetTokens - a.committed() }

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

// instanceOf returns the instance that ran the session's latest turn, or else
// the program's.
func (a *account) instanceOf(session string) string {
	if instance := a.Instances[session]; instance != "" {
		return instance
	}
	return a.Instances[""]
}
