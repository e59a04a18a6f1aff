// Package program orders calls by the latency of their whole programs: an old program goes before a new one, and one that is nearly done before one that has far to go.
package program

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is how operators choose the policy.
const Name = "program"

func init() {
	schedule.QueuePolicies.Register(Name, func() schedule.QueuePolicy { return policy{} })
}

type policy struct{}

// Bounds, in seconds. Together they bound how far a call may be put back:
// nobody is overtaken by calls that arrive more than StarvationBound after it.
const (
	// remainingWeight is by how many seconds a second of expected work puts a
	// call back: where there is more work than the engines carry, letting
	// short programs go first shortens the mean.
	remainingWeight = 4
	// remainingBound is the most that expected work puts a call back.
	maximumRemainingSeconds = 80
	// ageBound is the most that the age of its program puts a call forward.
	maximumAgeSeconds = 60
	// priorityStep is what one step of priority is worth.
	secondsPerPriority = 1
	// highestPriority is the top of the scale.
	highestPriority = 9
	// StarvationBound is the starvation bound of this policy.
	StarvationBound = maximumRemainingSeconds + maximumAgeSeconds + secondsPerPriority*highestPriority
)

// Due implements schedule.QueuePolicy.
func (policy) Due(item *schedule.Item, outlook schedule.Outlook, arrival float64) float64 {
	age := min(max(item.EnqueuedAt.Sub(item.ProgramStartedAt).Seconds(), 0), maximumAgeSeconds)
	remaining := min(remainingWeight*outlook.RemainingSeconds, maximumRemainingSeconds)
	priority := float64(min(max(item.Priority, 0), highestPriority)) * secondsPerPriority
	return arrival + remaining - age - priority
}
