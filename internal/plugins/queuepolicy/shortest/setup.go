// Package shortest is a shortest-remaining-time-first queue policy. The remaining
// time of a program is estimated from other programs of its template.
package shortest

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the policy's name in the configuration.
const Name = "shortest-remaining"

func init() {
	schedule.QueuePolicies.Register(Name, func() schedule.QueuePolicy { return policy{} })
}

type policy struct{}

// maximumPenaltySeconds bounds the delay of a call. It prevents starvation: no
// call is overtaken by one that arrives more than this time later.
const maximumPenaltySeconds = 30

// Due implements schedule.QueuePolicy.
func (policy) Due(_ *schedule.Item, outlook schedule.Outlook, arrival float64) float64 {
	return arrival + min(outlook.RemainingSeconds, maximumPenaltySeconds)
}
