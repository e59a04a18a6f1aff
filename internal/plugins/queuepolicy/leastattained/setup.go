// Package leastattained lets programs go first that have had the least engine time.
package leastattained

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is how operators choose the policy.
const Name = "least-attained"

func init() {
	schedule.QueuePolicies.Register(Name, func() schedule.QueuePolicy { return policy{} })
}

type policy struct{}

// penaltyBound is the most seconds by which a call is put back: no call is
// overtaken by one that arrives later than this after it.
const maximumPenaltySeconds = 30

// Due implements schedule.QueuePolicy.
func (policy) Due(_ *schedule.Item, outlook schedule.Outlook, arrival float64) float64 {
	return arrival + min(outlook.ServedSeconds, maximumPenaltySeconds)
}
