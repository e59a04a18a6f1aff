package schedule

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

// NewProgramRefusal refuses the first call of a program that Enqueue would refuse now,
// so that nothing needs to be recorded of it: the part of the queue for new
// programs is full, and the tenant fills most of it for its share.
func (s *Scheduler) NewProgramRefusal(tenant structs.TenantName) (structs.Outcome, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiting) < max(s.newProgramLimit(), 1) {
		return structs.Outcome{}, false
	}
	account := s.fairness.account(tenant)
	account.share = s.share(tenant)
	if s.fairness.mostOverShare(account) != account {
		return structs.Outcome{}, false
	}
	return s.overloaded(s.clock.Now()), true
}

// newProgramLimit is how many calls may wait before first calls of programs
// are refused.
func (s *Scheduler) newProgramLimit() int { return int(newProgramFraction * float64(s.limit)) }
