package warmup

import (
	"slices"
	"time"
)

// share is this daemon's part of the requests to one cold instance.
type share struct {
	hash uint64
	// allowed is how many requests it is in each window, for this revision of the roster
	// and this rate of the service.
	allowed  int
	revision uint64
	rate     int
	// sentAt are the times of the requests of the last window, the oldest first.
	sentAt []time.Time
	// coldUntil is until when the instance was last found to be cold; the next time is
	// logged again once that is over.
	coldUntil time.Time
}

// sentInWindow drops the requests before the last window, and returns how many are left.
func (s *share) sentInWindow(now time.Time) int {
	old := 0
	for old < len(s.sentAt) && now.Sub(s.sentAt[old]) >= window {
		old++
	}
	s.sentAt = slices.Delete(s.sentAt, 0, old)
	return len(s.sentAt)
}
