package checker

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// leavingGrace is how long a leaving back end may still receive new work after
// its state was published.
const leavingGrace = 5 * time.Second

// leavingRecord tracks a back end that is leaving.
type leavingRecord struct {
	since time.Time
	// refusals counts refused requests by daemon. The first is allowed: it may
	// be how the daemon learns that the back end is leaving.
	refusals map[string]int
}

// MarkLeaving records that a back end is leaving and that this is published
// from now on, by the platform's list or by the back end itself.
func (c *Checker) MarkLeaving(backEnd structs.EngineID) {
	c.leaving[backEnd] = &leavingRecord{since: c.clock.Now(), refusals: map[string]int{}}
}

// ClearLeaving records that a back end accepts work again.
func (c *Checker) ClearLeaving(backEnd structs.EngineID) { delete(c.leaving, backEnd) }

// RecordArrival checks that new work did not arrive at a leaving back end.
func (c *Checker) RecordArrival(backEnd structs.EngineID, attempt structs.AttemptID, accepted bool, from network.Place) {
	record := c.leaving[backEnd]
	if record == nil || c.clock.Now().Sub(record.since) <= leavingGrace {
		return
	}
	if !accepted {
		record.refusals[from.Address]++
		if record.refusals[from.Address] == 1 {
			return
		}
	}
	c.Report(WorkToLeavingBackEnd, "%s got %s from %s, %s after it began to leave", backEnd, attempt, from.Address, c.clock.Now().Sub(record.since))
}
