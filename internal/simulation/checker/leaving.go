package checker

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// leavingGrace is how long after the word is out a leaving back end may still
// get new work.
const leavingGrace = 5 * time.Second

// leavingRecord is a back end that is leaving.
type leavingRecord struct {
	since time.Time
	// refused counts the refusals that each daemon got: the first one tells a
	// daemon that heard of it in no other way.
	refused map[string]int
}

// MarkLeaving notes that a back end is leaving, and that the word of it has been
// published since now: by the platform's list or by the back end itself.
func (c *Checker) MarkLeaving(backEnd structs.EngineID) {
	c.leaving[backEnd] = &leavingRecord{since: c.clock.Now(), refused: map[string]int{}}
}

// ClearLeaving notes that a back end takes work again.
func (c *Checker) ClearLeaving(backEnd structs.EngineID) { delete(c.leaving, backEnd) }

// RecordArrival notes new work at a back end.
func (c *Checker) RecordArrival(backEnd structs.EngineID, attempt structs.AttemptID, accepted bool, from network.Place) {
	record := c.leaving[backEnd]
	if record == nil || c.clock.Now().Sub(record.since) <= leavingGrace {
		return
	}
	if !accepted {
		record.refused[from.Address]++
		if record.refused[from.Address] == 1 {
			return
		}
	}
	c.Report(WorkToLeavingBackEnd, "%s got %s from %s, %s after it began to leave", backEnd, attempt, from.Address, c.clock.Now().Sub(record.since))
}
