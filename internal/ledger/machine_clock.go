package ledger

import "time"

// MachineClock is the steady clock of a machine. It outlasts processes.
type MachineClock struct {
	// Boot names the machine's run, "" if it is not known.
	Boot string
	// Now is the clock's time; nil where there is none.
	Now func() time.Duration
	// Started is what it showed when this process began: the one before had ended.
	Started time.Duration
}

// isSoonAfter tells whether the process before this one on the machine wrote a record
// and ended within firstTurnTime of that.
func (m MachineClock) isSoonAfter(record allowanceRecord) bool {
	if m.Boot == "" || m.Boot != record.Boot {
		return false
	}
	passed := m.Started - record.Uptime
	return passed >= 0 && passed < firstTurnTime
}
