package relay

import "time"

const (
	// defaultUrgency is what a back end takes when none is told.
	defaultUrgency = 5
	// leastUrgency is the last rank.
	leastUrgency = 9
	// pressingTime is the time left to a program below which its turns rank
	// first, and relaxedTime the one from which they rank last.
	pressingTime = 500 * time.Millisecond
	relaxedTime  = 8 * time.Second
)

// urgency ranks a turn by the time its program has left, and by the route's
// priority where the program tells none. A program whose time is over ranks
// behind those that can still be in time.
func (c *carrier) urgency() int {
	program := c.call.Program
	if program == nil || program.FinishBy.IsZero() {
		return min(c.call.Route.Priority+defaultUrgency-1, leastUrgency)
	}
	left := time.Until(program.FinishBy)
	if left <= 0 {
		return leastUrgency - 1
	}
	if left <= pressingTime {
		return 0
	}
	share := float64(left-pressingTime) / float64(relaxedTime-pressingTime)
	return min(int(share*float64(leastUrgency-1)), leastUrgency-2)
}
