// Package leastattained is a least-attained-service queue policy: it prefers
// programs that have used the least engine time.
package leastattained

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the policy's name in the configuration.
const Name = "least-attained"

func init() {
	schedule.QueuePolicies.Register(Name, func() schedule.QueuePolicy { return policy{} })
}

type policy struct{}

// maximumPenaltySeconds bounds the delay of a call. It prevents starvation: no
// call is overtaken by one that arrives more than this time later.
const maximumPenaltySeconds = 30

// Due implements schedule.QueuePolicy.
func (policy) Due(_ *schedule.Item, outlook schedule.Outlook, arrival float64) float64 {
	return arrival + min(outlook.ServedSeconds, maximumPenaltySeconds)
}
