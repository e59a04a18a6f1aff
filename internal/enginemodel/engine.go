// Package enginemodel is a deterministic model of a model engine: continuous
// batching with chunked prefill, a bounded block cache with prefix sharing,
// priorities and preemption, resumable streams, holds, fenced orders, and
// delayed and lossy reports. Its only source of time is a clock.Clock, so the
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

// Options configure one engine.
type Options struct {
	ID         structs.EngineID
	Clock      clock.Clock
	Random     *rand.Rand
	Parameters Parameters
	// Models are loaded when the engine starts, and again when it restarts.
	Models []structs.ModelName
	// Role is RoleBoth when empty.
	Role structs.EngineRole
	// Weights is the source of model and adapter loads; nil loads instantly.
	Weights WeightSource
	// BlockHistory, when set, counts recomputed tokens over a whole fleet.
	// Recorder, when set, is notified of every attempt.
	BlockHistory *BlockHistory
	Recorder     Recorder
	// Serialize runs timer tasks one at a time with everything else that
	// touches the engine; nil runs them directly.
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
	// linkFree is when the last reserved transfer over the link ends.
	linkFree time.Time
	waiting  []*sequence
	running  []*sequence
	arrivals uint64
	span     *span
	// busy is set while a span begins or ends; wake then only sets
	// wakeRequested.
	busy          bool
	wakeRequested bool
}

// New returns a running engine with an empty cache.
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

// ID returns the engine's ID.
func (e *Engine) ID() structs.EngineID { return e.options.ID }

func (e *Engine) now() time.Time { return e.options.Clock.Now() }

func (e *Engine) after(wait time.Duration, task func()) clock.Timer {
	if e.options.Serialize == nil {
		return e.options.Clock.AfterFunc(wait, task)
	}
	return e.options.Clock.AfterFunc(wait, func() { e.options.Serialize(task) })
}

// Boot starts a new run of an engine that is down. Nothing is kept from the
// previous run.
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

// Crash ends the run: all state is lost, and every stream ends as lost.
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

// Down reports whether the engine is stopped.
func (e *Engine) Down() bool { return e.down }

// Drain sets whether the engine drains: it refuses new attempts and finishes
// running ones.
func (e *Engine) Drain(draining bool) {
	e.draining = draining
	e.recordLoadState()
}

// SetSlowness multiplies the duration of every step; 1 is normal.
func (e *Engine) SetSlowness(factor float64) { e.slowness = factor }

// SetPublication changes the lag and loss of the engine's reports.
func (e *Engine) SetPublication(publication Publication) {
	e.parameters.Publication = publication
}
