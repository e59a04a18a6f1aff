package ledger

import "time"

// MachineClock is a machine's monotonic clock, which keeps running across processes.
type MachineClock struct {
	// Boot identifies the machine's boot, "" if it is not known.
	Boot string
	// Now returns the clock's reading; nil if there is no clock.
	Now func() time.Duration
	// Started is the clock's reading when this process began, after the end of the previous
	// one.
	Started time.Duration
}

// startedSoonAfter reports whether the previous process on this machine wrote a record and
// this process started within singleTurnPeriod of that.
func (m MachineClock) startedSoonAfter(record allowanceRecord) bool {
	if m.Boot == "" || m.Boot != record.Boot {
		return false
	}
	passed := m.Started - record.Uptime
	return passed >= 0 && passed < singleTurnPeriod
}
