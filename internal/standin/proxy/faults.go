package proxy

import (
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/standin/control"
)

// Faults are the faults of one route. ToTarget applies from the client to the
// target, ToClient to the opposite direction.
type Faults struct {
	// Refuse closes every new connection at once.
	Refuse   bool            `json:"refuse,omitempty"`
	ToTarget DirectionFaults `json:"to_target,omitzero"`
	ToClient DirectionFaults `json:"to_client,omitzero"`
}

// DirectionFaults are the faults of one direction of a route.
type DirectionFaults struct {
	// Delay is added to every byte, plus a random time from 0 to Jitter. Bytes
	// stay in order.
	Delay  control.Duration `json:"delay,omitempty"`
	Jitter control.Duration `json:"jitter,omitempty"`
	// BytesPerSecond limits each connection; 0 means no limit.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty"`
	// Hold keeps bytes back until it is lifted, like a partition that heals
	// and after which lost packets are retransmitted.
	Hold bool `json:"hold,omitempty"`
	// Drop discards bytes. A connection that lost some is reset when the fault
	// is lifted, since it cannot continue.
	Drop bool `json:"drop,omitempty"`
}

// Validate implements control.Validator.
func (f Faults) Validate() error {
	if f.ToTarget.BytesPerSecond < 0 || f.ToClient.BytesPerSecond < 0 {
		return eris.Wrap(control.ErrInvalidFault, "bytes_per_second must not be below zero")
	}
	return nil
}
