// Package backends keeps the list of engines and application back ends that
// take new work. The platform's list lags; what a back end says of itself and
// what connections show is joined to it. The newest bad news wins, and only
// news that is certainly newer clears it.
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

// Scheduler is told about engines.
type Scheduler interface {
	UpdateEngine(engine structs.Engine)
	RemoveEngine(id structs.EngineID)
	UpdateLoad(report structs.LoadReport)
	CacheEvents(events []structs.CacheEvent)
	CacheGap(engine structs.EngineID)
	WaitingByModel() []schedule.ModelWaiting
}

// Members tells of the other daemons.
type Members interface {
	Members() []membership.Member
}

// Router tells where the shards of programs are led.
type Router interface {
	Shard(key structs.ProgramKey) structs.ShardNumber
	Route(shard structs.ShardNumber) replication.Route
}

// Guards lets a simulation switch off a protection, to show that its checker
// notices. The zero value has every guard on.
type Guards struct {
	// IgnoreLeaving takes no notice of any news that a back end is leaving.
	IgnoreLeaving bool
	// SkipHoldSweep never looks for engine memory that nobody remembers.
	SkipHoldSweep bool
}

// Options give a Directory what it works with.
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
	// OnList is told the list whenever it changed, ordered by address.
	OnList func([]structs.Machine)
	// OnListUnchanged is told of each reading that shows what was there before.
	OnListUnchanged func()
}

// Directory knows the back ends. It implements dispatch.Directory and is safe
// for concurrent use; drivers, scheduler and peers are called without its lock.
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
	// asked counts the daemons of other cells that were asked for engines.
	nextContact int
}

// New returns a directory that knows no back end.
func New(options Options) *Directory {
	return &Directory{Options: options, backEnds: map[structs.EngineID]*backEnd{}, sweep: newHoldSweep()}
}

// Start begins to read the list and the engines' reports.
func (d *Directory) Start() {
	d.readList()
	d.pollEngines()
	d.probeApplications()
	d.findMissingModels()
	d.Clock.AfterFunc(d.Settings.HoldSweepInterval, d.sweepHolds)
}

// Stop ends the readings.
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

// Application returns a back end for a target that takes new work: one in the
// daemon's own zone if there is any, in turn. One that was not reached lately
// is chosen only where there is no other.
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

// prefer keeps those that fit, or all if none does.
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

// Machines returns the back ends on the platform's list, ordered by address.
// One that gets no new work counts as leaving.
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

// IsDelisted reports whether a back end is no longer on the platform's list.
func (d *Directory) IsDelisted(id structs.EngineID) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	b := d.backEnds[id]
	return len(d.backEnds) > 0 && (b == nil || !b.listed)
}

// MarkDraining records a back end's own word that it is leaving.
func (d *Directory) MarkDraining(id structs.EngineID) {
	d.mutex.Lock()
	b := d.backEnds[id]
	if b == nil {
		d.mutex.Unlock()
		return
	}
	run, engine := b.run, b.isEngine()
	news := b.observeDraining(run, d.Settings, d.Clock.Now())
	d.mutex.Unlock()
	d.updateScheduler(id)
	if news {
		d.Logger.Info().Str("back_end", string(id)).Msg("Back end is leaving.")
		d.broadcast(&Leaving{BackEnd: id, Run: run})
	}
	if news && !engine {
		d.probeApplication(id)
	}
}

// MarkUnreachable records that a connection to a back end broke. It gets no new
// work until it answers.
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

// tell gives the scheduler what is new about an engine.
func (d *Directory) updateScheduler(id structs.EngineID) {
	d.mutex.Lock()
	b := d.backEnds[id]
	if b == nil || !b.isEngine() || !b.listed || !d.uses(b) {
		d.mutex.Unlock()
		return
	}
	engine := d.engineOf(b)
	same := b.inScheduler && b.reported.Zone == engine.Zone && b.reported.Region == engine.Region && b.reported.Leaving == engine.Leaving
	b.reported = engine
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
