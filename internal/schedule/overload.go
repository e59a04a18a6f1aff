package schedule

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// newProgramFraction is the fraction of the queue that first calls of programs
// may fill. The rest is reserved for programs in progress: refusing one of
// those wastes the work already spent on it.
const newProgramFraction = 0.8

func deadlineRefusal() structs.Outcome {
	return structs.Refused(structs.ReasonDeadline, "", "The deadline passed before an engine was free.", 0)
}

func (s *Scheduler) refuse(item *Item, outcome structs.Outcome) {
	s.pendingCallbacks = append(s.pendingCallbacks, func() { item.Refuse(outcome) })
}

func (s *Scheduler) refuseOverload(item *Item, now time.Time) {
	s.refuse(item, s.overloaded(now))
}

func (s *Scheduler) overloaded(now time.Time) structs.Outcome {
	waiting := len(s.waiting)
	return structs.Refused(structs.ReasonOverloaded, "",
		fmt.Sprintf("%d calls wait already.", waiting), s.dequeueRate.retryAfter(waiting, now))
}

// makeRoom reports whether the queue has room for an arrival. If it is full, a
// call of the tenant furthest over its share is refused to make room: one of
// the lowest priority, and among those one of the program that was served
// least. It returns false when that call is the arrival itself. The first call
// of a program of that tenant displaces no other call.
func (s *Scheduler) makeRoom(entry *waitingItem, account *tenantAccount, now time.Time) bool {
	limit := s.limit
	if isFirstCall(entry) {
		limit = s.newProgramLimit()
	}
	if len(s.waiting) < max(limit, 1) {
		return true
	}
	account.share = s.share(account.name)
	worst := s.fairness.mostOverShare(account)
	victim := entry
	if worst != account || !isFirstCall(entry) {
		victim = s.victim(worst, entry)
	}
	s.refuseOverload(victim.Item, now)
	if victim == entry {
		return false
	}
	s.removeEntry(victim)
	return true
}

func isFirstCall(entry *waitingItem) bool { return entry.Turn <= 1 }

// victimSearchLimit bounds how many of a tenant's calls, from the last due on,
// are considered as victim.
const victimSearchLimit = 32

// victim picks which waiting call of a tenant, or the arrival, to refuse.
func (s *Scheduler) victim(tenant *tenantAccount, arrival *waitingItem) *waitingItem {
	victim := arrival
	if arrival.Key.Tenant != tenant.name {
		victim = nil
	}
	for _, class := range s.sortedClasses {
		queue := class.tenants[tenant.name]
		if queue == nil {
			continue
		}
		visited := 0
		queue.items.Descend(func(entry *waitingItem) bool {
			if victim == nil || evictedBefore(entry, victim) {
				victim = entry
			}
			visited++
			return visited < victimSearchLimit
		})
	}
	if victim == nil {
		return arrival
	}
	return victim
}

func evictedBefore(a, b *waitingItem) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if isFirstCall(a) != isFirstCall(b) {
		return isFirstCall(a)
	}
	return a.outlook.ServedSeconds < b.outlook.ServedSeconds
}

// expire refuses calls whose deadline has passed.
func (s *Scheduler) expire(now time.Time) {
	for {
		first, found := s.deadlines.Min()
		if !found || first.Deadline.After(now) {
			return
		}
		s.removeEntry(first)
		s.refuse(first.Item, deadlineRefusal())
	}
}

// armTimer sets the timer for the next deadline or tick.
func (s *Scheduler) armTimer() {
	if s.timer != nil || len(s.waiting) == 0 {
		return
	}
	s.timer = s.clock.AfterFunc(s.nextTick(), func() {
		s.withLock(func() {
			s.timer = nil
			s.tick(s.clock.Now())
		})
	})
}

func (s *Scheduler) nextTick() time.Duration {
	wait := tickInterval
	if deadline, found := s.deadlines.earliest(); found {
		wait = min(wait, max(deadline.Sub(s.clock.Now()), 0))
	}
	return wait
}

func (s *Scheduler) tick(now time.Time) {
	s.expire(now)
	s.expireHolds(now)
	for _, view := range s.sortedEngines {
		s.fill(view, now)
	}
}
