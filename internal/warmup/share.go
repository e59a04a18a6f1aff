package warmup

import (
	"slices"
	"time"
)

// share is this daemon's part of the requests to one cold instance.
type share struct {
	hash uint64
	// allowed is the number of requests per window, for the given revision of the roster
	// and rate of the service.
	allowed  int
	revision uint64
	rate     int
	// sentAt holds the times of the requests in the last window, the oldest first.
	sentAt []time.Time
	// coldUntil is until when the instance was last found to be cold. Once it is over, the
	// next cold period is logged.
	coldUntil time.Time
}

// sentInWindow drops the requests before the last window, and returns the number left.
func (s *share) sentInWindow(now time.Time) int {
	old := 0
	for old < len(s.sentAt) && now.Sub(s.sentAt[old]) >= window {
		old++
	}
	s.sentAt = slices.Delete(s.sentAt, 0, old)
	return len(s.sentAt)
}
