// Package backends maintains the engines and application back ends that accept new
// work. The platform's list lags, so it is combined with what a back end reports
// itself and with broken connections. The latest evidence that a back end is leaving
// or failing applies until certainly newer evidence clears it.
package backends

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Scheduler receives the state of engines.
type Scheduler interface {
	UpdateEngine(engine structs.Engine)
	RemoveEngine(id structs.EngineID)
	UpdateLoad(report structs.LoadReport)
	CacheEvents(events []structs.CacheEvent)
	CacheEventsLost(engine structs.EngineID)
	WaitingByModel() []schedule.ModelWaiting
}

// Members lists the daemons of the fleet.
type Members interface {
	Members() []membership.Member
}

// Router returns the leaders of programs' shards.
type Router interface {
	Shard(key structs.ProgramKey) structs.ShardNumber
	Route(shard structs.ShardNumber) replication.Route
}

// Guards lets a simulation disable a safeguard, to show that its checker detects the
// consequences. The zero value has every guard on.
type Guards struct {
	// IgnoreLeaving ignores all evidence that a back end is leaving.
	IgnoreLeaving bool
	// SkipHoldSweep skips the search for orphaned holds on engine memory.
	SkipHoldSweep bool
}

// Options are the dependencies and settings of a Directory.
type Options struct {
	Self      structs.Daemon
	Clock     clock.Clock
	Drivers   framework.Drivers
	Transport peer.Transport
	Scheduler Scheduler
	Members   Members
	Router    Router
	Settings  Settings
	Guards    Guards
	Logger    zerolog.Logger
	// OnList is called with the list, ordered by address, whenever it changed.
	OnList func([]structs.Machine)
	// OnListUnchanged is called after each read that found the list unchanged.
	OnListUnchanged func()
}

// Directory tracks the back ends. It implements dispatch.Directory and is safe for
// concurrent use; drivers, scheduler and peers are called without its mutex.
type Directory struct {
	Options

	mutex       sync.Mutex
	backEnds    map[structs.EngineID]*backEnd
	machineList machineList
	cells       cells
	sweep       holdSweep
	stopped     bool
	roundRobin  int
	pollRounds  int
	// nextContact counts the daemons of other cells that were asked for engines.
	nextContact int
}

// New returns a directory without back ends.
func New(options Options) *Directory {
	return &Directory{Options: options, backEnds: map[structs.EngineID]*backEnd{}, sweep: newHoldSweep()}
}

// Start starts the periodic reads of the list and the polls of engines.
func (d *Directory) Start() {
	d.readList()
	d.pollEngines()
	d.probeApplications()
	d.findMissingModels()
	d.Clock.AfterFunc(d.Settings.HoldSweepInterval, d.sweepHolds)
}

// Stop ends all periodic work.
func (d *Directory) Stop() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopped = true
}

func (d *Directory) isStopped() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stopped
}

// Application returns a back end for a target that accepts new work, in rotation: one
// in the daemon's own zone if there is any, and an unreachable one only if there is no
// other.
func (d *Directory) Application(target string, avoid []structs.EngineID) (structs.EngineID, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.Clock.Now()
	var candidates []*backEnd
	for id, b := range d.backEnds {
		serves := b.machine.Name == target && !b.isEngine() && d.acceptsWork(b, now)
		if serves && !slices.Contains(avoid, id) {
			candidates = append(candidates, b)
		}
	}
	candidates = prefer(candidates, func(b *backEnd) bool { return !b.unreachable })
	candidates = prefer(candidates, func(b *backEnd) bool { return b.machine.Zone == d.Self.Zone })
	if len(candidates) == 0 {
		return "", false
	}
	slices.SortFunc(candidates, func(a, b *backEnd) int { return cmp.Compare(a.id, b.id) })
	d.roundRobin++
	return candidates[d.roundRobin%len(candidates)].id, true
}

// prefer returns the candidates that fit, or all if none does.
func prefer(candidates []*backEnd, fits func(*backEnd) bool) []*backEnd {
	fitting := slices.DeleteFunc(slices.Clone(candidates), func(b *backEnd) bool { return !fits(b) })
	if len(fitting) > 0 {
		return fitting
	}
	return candidates
}

func (d *Directory) acceptsWork(b *backEnd, now time.Time) bool {
	if d.Guards.IgnoreLeaving {
		return b.listed
	}
	return !b.leaving(d.Settings, now)
}

// Machines returns the back ends on the platform's list, ordered by address. One that
// gets no new work has the state leaving.
func (d *Directory) Machines() []structs.Machine {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.Clock.Now()
	listed := make([]structs.Machine, 0, len(d.backEnds))
	for _, b := range d.backEnds {
		if !b.listed {
			continue
		}
		machine := b.machine
		if b.leaving(d.Settings, now) || b.suspected(d.Settings, now) {
			machine.State = structs.MachineLeaving
		}
		listed = append(listed, machine)
	}
	slices.SortFunc(listed, func(a, b structs.Machine) int { return cmp.Compare(a.Address, b.Address) })
	return listed
}

// IsDelisted reports whether a back end is not on the platform's list, once that was
// read.
func (d *Directory) IsDelisted(id structs.EngineID) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	b := d.backEnds[id]
	return len(d.backEnds) > 0 && (b == nil || !b.listed)
}

// MarkDraining records a back end's announcement that it is draining.
func (d *Directory) MarkDraining(id structs.EngineID) {
	d.mutex.Lock()
	b := d.backEnds[id]
	if b == nil {
		d.mutex.Unlock()
		return
	}
	run, engine := b.run, b.isEngine()
	isNew := b.observeDraining(run, d.Settings, d.Clock.Now())
	d.mutex.Unlock()
	d.updateScheduler(id)
	if isNew {
		d.Logger.Info().Str("back_end", string(id)).Msg("Back end is leaving.")
		d.broadcast(&Leaving{BackEnd: id, Run: run})
	}
	if isNew && !engine {
		d.probeApplication(id)
	}
}

// MarkUnreachable records that a connection to a back end broke. It gets no new work
// until it answers.
func (d *Directory) MarkUnreachable(id structs.EngineID) {
	d.mutex.Lock()
	b := d.backEnds[id]
	if b == nil || b.unreachable {
		d.mutex.Unlock()
		return
	}
	b.unreachable = true
	engine := b.isEngine()
	d.mutex.Unlock()
	d.updateScheduler(id)
	if engine {
		d.poll(id)
	} else {
		d.probeApplication(id)
	}
}

// updateScheduler sends the state of an engine to the scheduler if it changed.
func (d *Directory) updateScheduler(id structs.EngineID) {
	d.mutex.Lock()
	b := d.backEnds[id]
	if b == nil || !b.isEngine() || !b.listed || !d.uses(b) {
		d.mutex.Unlock()
		return
	}
	engine := d.engineOf(b)
	same := b.inScheduler && b.lastSent.Zone == engine.Zone && b.lastSent.Region == engine.Region && b.lastSent.Leaving == engine.Leaving
	b.lastSent = engine
	b.inScheduler = true
	d.mutex.Unlock()
	if !same {
		d.Scheduler.UpdateEngine(engine)
	}
}

func (d *Directory) engineOf(b *backEnd) structs.Engine {
	now := d.Clock.Now()
	noWork := !d.acceptsWork(b, now) || b.suspected(d.Settings, now)
	return structs.Engine{
		ID:      b.id,
		Zone:    b.machine.Zone,
		Region:  b.machine.Region,
		Models:  b.report.Models,
		Role:    b.report.Role,
		Leaving: noWork,
	}
}
