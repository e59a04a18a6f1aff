package enginemodel

import (
	"slices"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Fleet is a set of engines in one process, reached through Drivers.
type Fleet struct {
	reader  *PromptReader
	engines map[structs.EngineID]*Engine
	order   []structs.EngineID
}

// NewFleet returns a fleet without engines. answerTokens is the default length
// of an answer.
func NewFleet(answerTokens int64) *Fleet {
	return &Fleet{reader: NewPromptReader(answerTokens), engines: map[structs.EngineID]*Engine{}}
}

// Add adds an engine, or replaces the one with its ID.
func (f *Fleet) Add(e *Engine) {
	if _, present := f.engines[e.ID()]; !present {
		f.order = append(f.order, e.ID())
	}
	f.engines[e.ID()] = e
}

// Remove removes an engine; calls to it are refused from then on.
func (f *Fleet) Remove(id structs.EngineID) {
	delete(f.engines, id)
	f.order = slices.DeleteFunc(f.order, func(other structs.EngineID) bool { return other == id })
}

// Engine returns an engine, or nil.
func (f *Fleet) Engine(id structs.EngineID) *Engine { return f.engines[id] }

// Engines returns all engines in the order in which they were added.
func (f *Fleet) Engines() []*Engine {
	engines := make([]*Engine, 0, len(f.order))
	for _, id := range f.order {
		engines = append(engines, f.engines[id])
	}
	return engines
}
