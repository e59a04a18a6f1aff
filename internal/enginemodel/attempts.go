package enginemodel

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// maximumFences limits the fences that an engine keeps.
const maximumFences = 1 << 16

// attemptTable holds the attempts and fences of one run of an engine.
type attemptTable struct {
	byID map[structs.AttemptID]*attempt
	// started holds a digest of every attempt of the run, so that none runs
	// twice, even after its stream was forgotten.
	started map[uint64]struct{}
	fences  map[structs.AttemptID]fence
	// fenceOrder lists fences in the order in which they were first set.
	fenceOrder []structs.AttemptID
}

type fence struct {
	epoch structs.Epoch
	setAt time.Time
}

func newAttemptTable() attemptTable {
	return attemptTable{
		byID:    map[structs.AttemptID]*attempt{},
		started: map[uint64]struct{}{},
		fences:  map[structs.AttemptID]fence{},
	}
}

func (t *attemptTable) find(id structs.AttemptID) *attempt { return t.byID[id] }

func (t *attemptTable) add(a *attempt) {
	t.byID[a.request.Attempt] = a
	t.started[xxhash.Sum64String(string(a.request.Attempt))] = struct{}{}
}

// hasRun reports whether an attempt was started in this run.
func (t *attemptTable) hasRun(id structs.AttemptID) bool {
	_, found := t.started[xxhash.Sum64String(string(id))]
	return found
}

func (t *attemptTable) forget(id structs.AttemptID) { delete(t.byID, id) }

// unfinished returns the attempts that have not ended, sorted by ID.
func (t *attemptTable) unfinished() []*attempt {
	var open []*attempt
	for _, a := range t.byID {
		if !a.done {
			open = append(open, a)
		}
	}
	slices.SortFunc(open, func(a, b *attempt) int { return cmp.Compare(a.request.Attempt, b.request.Attempt) })
	return open
}

// fence returns the lowest epoch at which an attempt is accepted.
func (t *attemptTable) fence(id structs.AttemptID) structs.Epoch { return t.fences[id].epoch }

// raiseFence makes the engine refuse an attempt at epochs below the given one.
func (t *attemptTable) raiseFence(id structs.AttemptID, epoch structs.Epoch, now time.Time) {
	current, found := t.fences[id]
	if !found {
		t.fenceOrder = append(t.fenceOrder, id)
	}
	t.fences[id] = fence{epoch: max(current.epoch, epoch), setAt: now}
}

// expireFences removes the oldest fences beyond their retention or the maximum
// number.
func (t *attemptTable) expireFences(now time.Time, retention time.Duration) {
	for len(t.fenceOrder) > 0 {
		oldest := t.fenceOrder[0]
		expired := now.Sub(t.fences[oldest].setAt) > retention
		if !expired && len(t.fenceOrder) <= maximumFences {
			return
		}
		delete(t.fences, oldest)
		t.fenceOrder = t.fenceOrder[1:]
	}
}
