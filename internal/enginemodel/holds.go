package enginemodel

import (
	"cmp"
	"slices"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// maximumReleased limits the IDs of released holds that are remembered.
const maximumReleased = 1 << 14

// hold is a set of blocks pinned for a program.
type hold struct {
	program structs.ProgramKey
	blocks  []*block
}

// holdTable holds an engine's holds by ID.
type holdTable struct {
	byID map[structs.HoldID]*hold
	// released holds the IDs of released holds, including those released
	// before they were taken, so that a late attempt does not pin blocks for a
	// program that no longer needs them.
	released map[structs.HoldID]struct{}
	order    []structs.HoldID
}

func newHoldTable() holdTable {
	return holdTable{byID: map[structs.HoldID]*hold{}, released: map[structs.HoldID]struct{}{}}
}

// takeHold pins the blocks of an ending sequence, if its request asked for it,
// the hold was not released before, and the limit on held memory allows it.
func (e *Engine) takeHold(s *sequence) bool {
	id := s.attempt.request.Hold
	if id == "" || len(s.blocks) == 0 {
		return false
	}
	if _, released := e.holds.released[id]; released {
		return false
	}
	if !e.fitsHoldLimit(s.blocks) {
		return false
	}
	e.pinForHold(id, s.attempt.request.Program, s.blocks)
	return true
}

// fitsHoldLimit reports whether pinning some blocks stays within the limit on
// held memory.
func (e *Engine) fitsHoldLimit(blocks []*block) bool {
	unpinned := 0
	for _, b := range blocks {
		if b.holdRefs == 0 {
			unpinned++
		}
	}
	return float64(e.cache.pinnedBlocks+unpinned) <= e.parameters.HeldFraction*float64(e.cache.capacity)
}

// pinForHold pins blocks for a hold, replacing those it had.
func (e *Engine) pinForHold(id structs.HoldID, program structs.ProgramKey, blocks []*block) {
	for _, b := range blocks {
		e.cache.pin(b)
	}
	if former := e.holds.byID[id]; former != nil {
		for i := len(former.blocks) - 1; i >= 0; i-- {
			e.cache.unpin(former.blocks[i])
		}
	}
	e.holds.byID[id] = &hold{program: program, blocks: slices.Clone(blocks)}
}

// Release frees a hold and evicts the blocks that only its program used: the
// program ended, paused for too long or has a newer hold that covers it. It
// also prevents a hold that has not been taken yet.
func (e *Engine) Release(id structs.HoldID) {
	h := e.holds.byID[id]
	if h == nil {
		e.holds.rememberReleased(id)
		return
	}
	delete(e.holds.byID, id)
	e.holds.rememberReleased(id)
	for i := len(h.blocks) - 1; i >= 0; i-- {
		e.cache.unpin(h.blocks[i])
	}
	e.cache.evictUnshared(h.blocks, e.now())
	e.events.flush()
	e.recordLoadState()
	e.wake()
}

func (t *holdTable) rememberReleased(id structs.HoldID) {
	if _, known := t.released[id]; known {
		return
	}
	t.released[id] = struct{}{}
	t.order = append(t.order, id)
	if len(t.order) > maximumReleased {
		delete(t.released, t.order[0])
		t.order = t.order[1:]
	}
}

// Holds returns the engine's holds, sorted by ID.
func (e *Engine) Holds() []structs.Hold {
	holds := make([]structs.Hold, 0, len(e.holds.byID))
	for id, h := range e.holds.byID {
		holds = append(holds, structs.Hold{
			ID:      id,
			Engine:  e.options.ID,
			Program: h.program,
			Tokens:  int64(len(h.blocks)) * prefix.BlockTokens,
		})
	}
	slices.SortFunc(holds, func(a, b structs.Hold) int { return cmp.Compare(a.ID, b.ID) })
	return holds
}
