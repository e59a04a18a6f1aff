package schedule

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

// NewProgramRefusal returns the refusal that Enqueue would give now to the
// first call of a tenant's new program, so that the caller can refuse it
// without recording anything. It returns false unless the part of the queue for
// new programs is full and the tenant is the one furthest over its share of the
// queue.
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

// newProgramLimit returns the number of waiting calls from which on first calls
// of programs are refused.
func (s *Scheduler) newProgramLimit() int { return int(newProgramFraction * float64(s.limit)) }
