package proxy

import (
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/standin/control"
)

// Faults are those of one route. Each direction has its own: ToTarget is from
// whoever connects to the target, ToClient the way back.
type Faults struct {
	// Refuse closes every new connection at once.
	Refuse   bool            `json:"refuse,omitempty"`
	ToTarget DirectionFaults `json:"to_target,omitzero"`
	ToClient DirectionFaults `json:"to_client,omitzero"`
}

// DirectionFaults are those of one direction of a route.
type DirectionFaults struct {
	// Delay is added to every byte, and a draw from 0 to Jitter besides. Bytes
	// stay in order.
	Delay  control.Duration `json:"delay,omitempty"`
	Jitter control.Duration `json:"jitter,omitempty"`
	// BytesPerSecond limits each connection; 0 does not.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty"`
	// Hold keeps bytes back until it is lifted, as a network does whose lost
	// packets are sent again: a partition that heals.
	Hold bool `json:"hold,omitempty"`
	// Drop loses bytes. A connection that lost some is cut when the fault is
	// lifted: it cannot go on.
	Drop bool `json:"drop,omitempty"`
}

// Validate implements control.Validator.
func (f Faults) Validate() error {
	if f.ToTarget.BytesPerSecond < 0 || f.ToClient.BytesPerSecond < 0 {
		return eris.Wrap(control.ErrInvalidFault, "bytes_per_second must not be below zero")
	}
	return nil
}
