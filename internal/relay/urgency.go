package relay

import "time"

const (
	// defaultUrgency is the urgency that back ends assume if none is given.
	defaultUrgency = 5
	// lowestUrgency is the last rank.
	lowestUrgency = 9
	// underwayRanks is the number of ranks for turns of programs that have had turns
	// before. They come before first turns: an ongoing program is finished before another
	// is started.
	underwayRanks = 4
	// firstTurnUrgency is the rank of first turns, and overdueUrgency that of turns whose
	// program has passed its FinishBy time.
	firstTurnUrgency = 5
	overdueUrgency   = 7
	// relaxedTime is the time left to a program from which its turns get the last rank of
	// the ongoing programs.
	relaxedTime = 8 * time.Second
)

// urgency ranks a turn at its instance: turns of ongoing programs by the time left to them,
// then first turns, then turns of overdue programs. Within the last two the priority of the
// tenant or the route decides.
func (c *callHandler) urgency(turn *turnState) int {
	program := c.call.Program
	if program == nil || program.FinishBy.IsZero() || turn == nil {
		return min(c.call.priority()+defaultUrgency-1, lowestUrgency)
	}
	left := time.Until(program.FinishBy)
	lower := min(c.call.priority(), 1)
	switch {
	case left <= 0:
		return overdueUrgency + lower
	case !turn.Underway:
		return firstTurnUrgency + lower
	}
	return min(int(underwayRanks*left/relaxedTime), underwayRanks-1)
}
