package relay

import "time"

const (
	// defaultUrgency is what a back end takes when none is told.
	defaultUrgency = 5
	// leastUrgency is the last rank.
	leastUrgency = 9
	// underwayRanks is the number of ranks for turns of programs that have had
	// turns before; first turns come behind them: a program that was begun is
	// finished before work goes into another.
	underwayRanks = 4
	// startUrgency is the rank of first turns, and overdueUrgency that of turns
	// whose program's time is over.
	startUrgency   = 5
	overdueUrgency = 7
	// relaxedTime is the time left to a program from which its turns rank last
	// among those underway.
	relaxedTime = 8 * time.Second
)

// urgency ranks a turn at its instance: programs underway by the time that they
// have left, then those that begin, then those whose time is over. Within the
// last two the priority of the tenant or the route decides.
func (c *carrier) urgency(turn *turnState) int {
	program := c.call.Program
	if program == nil || program.FinishBy.IsZero() || turn == nil {
		return min(c.call.priority()+defaultUrgency-1, leastUrgency)
	}
	left := time.Until(program.FinishBy)
	lower := min(c.call.priority(), 1)
	switch {
	case left <= 0:
		return overdueUrgency + lower
	case !turn.Underway:
		return startUrgency + lower
	}
	return min(int(underwayRanks*left/relaxedTime), underwayRanks-1)
}
