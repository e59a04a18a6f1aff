// Package fcfs is the first-come, first-served queue policy.
package fcfs

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the policy's name in the configuration.
const Name = "fcfs"

func init() {
	schedule.QueuePolicies.Register(Name, func() schedule.QueuePolicy { return policy{} })
}

type policy struct{}

// Due implements schedule.QueuePolicy.
func (policy) Due(_ *schedule.Item, _ schedule.Outlook, arrival float64) float64 { return arrival }
