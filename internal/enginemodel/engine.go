// Package enginemodel is a deterministic model of a model engine: continuous
// batching with chunked prefill, a bounded block cache with prefix sharing,
// priorities and preemption, resumable streams, holds, fenced orders, late and
// lossy reports. It is driven by a clock.Clock and by nothing else, so the
// simulation, the experiment and the HTTP stand-in share it.
//
// An Engine is not safe for concurrent use: on a virtual clock everything runs
// in one goroutine; otherwise Options.Serialize must run one task at a time.
package enginemodel

import (
	"math/rand/v2"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Options describe one engine.
type Options struct {
	ID         structs.EngineID
	Clock      clock.Clock
	Random     *rand.Rand
	Parameters Parameters
	// Models are loaded when the engine starts, and again when it restarts.
	Models []structs.ModelName
	// Role is RoleBoth when empty.
	Role structs.EngineRole
	// Weights is where loads read from; nil loads at once.
	Weights WeightSource
	// Ledger, when set, counts for a whole fleet what is recomputed and what
	// is held idle; Recorder hears of every attempt.
	BlockHistory *BlockHistory
	Recorder     Recorder
	// Serialize runs the tasks of timers one at a time with everything else
	// that touches the engine; nil runs them straight away.
	Serialize func(task func())
}

// Engine models one engine.
type Engine struct {
	options    Options
	parameters Parameters
	statistics Statistics
	slowness   float64

	// Everything below is lost on a restart.
	run       uint64
	down      bool
	draining  bool
	startedAt time.Time
	cache     *blockCache
	events    *eventLog
	loads     *loadHistory
	orders    orderState
	attempts  attemptTable
	holds     holdTable
	programs  programBlocks
	// linkFree is when the link to other engines is free again.
	linkFree      time.Time
	waiting       []*sequence
	running       []*sequence
	arrivals      uint64
	span          *span
	busy          bool
	wakeRequested bool
}

// New returns an engine that runs and has seen nothing.
func New(options Options) (*Engine, error) {
	if err := options.Parameters.Validate(); err != nil {
		return nil, err
	}
	if options.Role == "" {
		options.Role = structs.RoleBoth
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(1, 1))
	}
	e := &Engine{options: options, parameters: options.Parameters, down: true}
	e.Boot()
	return e, nil
}

// ID returns the engine's name.
func (e *Engine) ID() structs.EngineID { return e.options.ID }

func (e *Engine) now() time.Time { return e.options.Clock.Now() }

func (e *Engine) after(wait time.Duration, task func()) clock.Timer {
	if e.options.Serialize == nil {
		return e.options.Clock.AfterFunc(wait, task)
	}
	return e.options.Clock.AfterFunc(wait, func() { e.options.Serialize(task) })
}

// Boot starts a run of an engine that is down: it knows nothing of the former.
func (e *Engine) Boot() {
	if !e.down {
		return
	}
	started := e.now()
	if !started.After(e.startedAt) {
		started = e.startedAt.Add(1)
	}
	e.run++
	e.down, e.draining, e.startedAt = false, false, started
	e.cache = newBlockCache(int(e.parameters.CacheTokens/prefix.BlockTokens), e)
	e.events = newEventLog(e)
	e.loads = &loadHistory{}
	e.orders = newOrderState(e.options.Models, e.options.Role)
	e.attempts = newAttemptTable()
	e.holds = newHoldTable()
	e.programs = newProgramBlocks()
	e.linkFree = started
	e.recordLoadState()
}

// Crash ends the run: everything is lost, and every reader hears that its
// stream broke.
func (e *Engine) Crash() {
	if e.down {
		return
	}
	e.down = true
	e.run++
	if e.span != nil {
		e.span.timer.Stop()
		e.span = nil
	}
	e.busy = false
	e.CountIdleBlocks()
	lost := framework.AttemptEnd{Kind: framework.EndLost, Message: "the engine crashed"}
	for _, a := range e.attempts.unfinished() {
		e.recordEnd(a, lost)
		a.done, a.end = true, lost
		readers := a.readers
		a.readers = nil
		for _, reader := range readers {
			if reader.attempt != nil {
				reader.attempt = nil
				reader.observer.End(lost)
			}
		}
	}
	e.waiting, e.running = nil, nil
}

// Down tells that the engine does not run.
func (e *Engine) Down() bool { return e.down }

// Drain has the engine refuse new attempts and finish those it has.
func (e *Engine) Drain(draining bool) {
	e.draining = draining
	e.recordLoadState()
}

// SetSlowness stretches every step; 1 is normal.
func (e *Engine) SetSlowness(factor float64) { e.slowness = factor }

// SetPublication changes how late and how incompletely the engine reports.
func (e *Engine) SetPublication(publication Publication) {
	e.parameters.Publication = publication
}
