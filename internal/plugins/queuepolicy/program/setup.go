// Package program is a queue policy for a low mean latency of whole
// programs: it prefers older programs and those with less remaining work.
package program

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the policy's name in the configuration.
const Name = "program"

func init() {
	schedule.QueuePolicies.Register(Name, func() schedule.QueuePolicy { return policy{} })
}

type policy struct{}

// Weights and bounds in seconds. They prevent starvation: no call is overtaken by
// one that arrives more than StarvationBound later.
const (
	// remainingWeight is the delay of a call per second of remaining work. Under
	// overload, preferring short programs reduces the mean latency.
	remainingWeight = 4
	// maximumRemainingSeconds bounds the delay by remaining work.
	maximumRemainingSeconds = 80
	// maximumAgeSeconds bounds the advance by the age of the program.
	maximumAgeSeconds = 60
	// secondsPerPriority is the advance per step of priority.
	secondsPerPriority = 1
	// highestPriority is the maximum priority.
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
