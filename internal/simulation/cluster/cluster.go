// Package cluster runs a whole fleet on a virtual clock: daemons with their
// own code, the platform, engines and application back ends, and the faults
// that befall them.
package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/node"
	"github.com/mintpulley/mintpulley/internal/simulation/drivers"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Options describe a fleet.
type Options struct {
	Seed uint64
	// Zones of one region; DaemonsPerZone and EnginesPerZone stand in each.
	Zones          int
	DaemonsPerZone int
	EnginesPerZone int
	// Applications names the targets; ApplicationReplicas stand in the zones
	// in turn.
	Applications        []string
	ApplicationReplicas int
	Models              []structs.ModelName
	Engine              enginemodel.Parameters
	// WeightRate is what the weight store gives all engines together, in bytes
	// per second; 0 has engines load at once.
	WeightRate int64
	Network    network.Settings
	Node       node.Settings
	Guards     node.Guards
	// ListLag is how late the machine list is.
	ListLag time.Duration
	Logger  zerolog.Logger
}

// platformZone is where the platform's services stand: none of the fleet's
// zones, so that a scenario cuts them off on their own.
const platformZone structs.ZoneName = "platform"

// region is the only region of a simulated fleet.
const region structs.RegionName = "r1"

// Cluster is a fleet. It is used from the virtual clock's event loop only.
type Cluster struct {
	Options      Options
	Clock        *clock.Virtual
	Network      *network.Network
	Log          *drivers.EventLog
	List         *drivers.MachineList
	Applications *drivers.Applications
	Engines      *drivers.Engines
	// Weights is the weight store, nil without a rate.
	Weights *enginemodel.WeightStore
	Daemons []*Daemon
	// EngineList and ApplicationOrder list the back ends in a fixed order.
	EngineList      []*drivers.Engine
	ApplicationList []*drivers.Application
	// OnStart is told of each run of a daemon before it starts; nil tells nobody.
	OnStart func(*Daemon)
	// OnRequestCut is told of each request that the end of a daemon's planned stop
	// cuts off; nil tells nobody.
	OnRequestCut func(*Daemon, structs.Call)
	start        time.Time
}

// New builds a fleet that has not been started.
func New(options Options) *Cluster {
	start := time.Unix(1_800_000_000, 0).UTC()
	c := &Cluster{
		Options:      options,
		Clock:        clock.NewVirtual(start),
		Applications: &drivers.Applications{},
		Engines:      &drivers.Engines{},
		start:        start,
	}
	c.Network = network.New(c.Clock, c.Random("network"), options.Network)
	c.Log = drivers.NewEventLog(c.Network, network.Place{Address: "log", Zone: platformZone, Region: region}, c.Random("log"))
	if options.WeightRate > 0 {
		c.Weights = enginemodel.NewWeightStore(c.Clock, options.WeightRate)
	}
	c.addEngines()
	c.addApplications()
	c.addDaemons()
	c.List = drivers.NewMachineList(c.Network, network.Place{Address: "machines", Zone: platformZone, Region: region}, options.ListLag, c.machines())
	return c
}

// Zone returns the name of a zone, from 0.
func Zone(number int) structs.ZoneName { return structs.ZoneName(fmt.Sprintf("z%d", number+1)) }

// Random returns a source of its own for a part, drawn from the seed.
func (c *Cluster) Random(part string) *rand.Rand {
	var mixed uint64 = 14695981039346656037
	for _, letter := range []byte(part) {
		mixed = (mixed ^ uint64(letter)) * 1099511628211
	}
	return rand.New(rand.NewPCG(c.Options.Seed, mixed))
}

// Elapsed returns the virtual time since the start.
func (c *Cluster) Elapsed() time.Duration { return c.Clock.Now().Sub(c.start) }

func (c *Cluster) addEngines() {
	reader := enginemodel.NewPromptReader(c.Options.Engine.AnswerTokens)
	for zone := range c.Options.Zones {
		for number := range c.Options.EnginesPerZone {
			place := network.Place{Address: fmt.Sprintf("10.1.%d.%d:8000", zone+1, number+1), Zone: Zone(zone), Region: region}
			model, err := enginemodel.New(enginemodel.Options{
				ID:         structs.EngineID(place.Address),
				Clock:      c.Clock,
				Random:     c.Random(place.Address),
				Parameters: c.Options.Engine,
				Models:     c.Options.Models,
				Weights:    c.weights(),
			})
			if err != nil {
				panic(fmt.Sprintf("cluster: %v", err))
			}
			engine := drivers.NewEngine(c.Network, place, model, reader)
			c.Engines.Add(engine)
			c.EngineList = append(c.EngineList, engine)
		}
	}
}

// weights returns the store as engines see it, nil for none.
func (c *Cluster) weights() enginemodel.WeightSource {
	if c.Weights == nil {
		return nil
	}
	return c.Weights
}

func (c *Cluster) addApplications() {
	for _, name := range c.Options.Applications {
		for replica := range c.Options.ApplicationReplicas {
			place := network.Place{Address: fmt.Sprintf("10.2.%d.%d:80", len(c.ApplicationList)+1, replica+1), Zone: Zone(replica % c.Options.Zones), Region: region}
			application := drivers.NewApplication(c.Network, place, name, 20*time.Millisecond, c.Random(place.Address))
			c.Applications.Add(application)
			c.ApplicationList = append(c.ApplicationList, application)
		}
	}
}

func (c *Cluster) addDaemons() {
	for zone := range c.Options.Zones {
		for number := range c.Options.DaemonsPerZone {
			c.Daemons = append(c.Daemons, &Daemon{
				cluster: c,
				Address: fmt.Sprintf("10.0.%d.%d:7000", zone+1, number+1),
				Zone:    Zone(zone),
			})
		}
	}
}

// machines returns the platform's list of everything.
func (c *Cluster) machines() []structs.Machine {
	var machines []structs.Machine
	for _, daemon := range c.Daemons {
		machines = append(machines, daemon.machine())
	}
	for _, engine := range c.EngineList {
		machines = append(machines, structs.Machine{Kind: structs.MachineEngine, Address: engine.Place.Address, Zone: engine.Place.Zone, Region: region, State: structs.MachineLive})
	}
	for _, application := range c.ApplicationList {
		machines = append(machines, structs.Machine{Kind: structs.MachineApplication, Address: application.Place.Address, Zone: application.Place.Zone, Region: region, State: structs.MachineLive, Name: application.Name})
	}
	return machines
}

// SetMachineState changes the state of one machine on the platform's list.
func (c *Cluster) SetMachineState(address string, state structs.MachineState) {
	machines := c.List.Machines()
	for i := range machines {
		if machines[i].Address == address {
			machines[i].State = state
		}
	}
	c.List.Set(machines)
}

// RemoveMachine takes a machine off the platform's list.
func (c *Cluster) RemoveMachine(address string) {
	var rest []structs.Machine
	for _, machine := range c.List.Machines() {
		if machine.Address != address {
			rest = append(rest, machine)
		}
	}
	c.List.Set(rest)
}

// AddMachine puts a machine on the platform's list, if it is not there.
func (c *Cluster) AddMachine(machine structs.Machine) {
	machines := c.List.Machines()
	listed := slices.ContainsFunc(machines, func(other structs.Machine) bool { return other.Address == machine.Address })
	if !listed {
		c.List.Set(append(machines, machine))
	}
}

// Start starts all daemons.
func (c *Cluster) Start() {
	for _, daemon := range c.Daemons {
		daemon.Start()
	}
}

// Run lets virtual time pass.
func (c *Cluster) Run(d time.Duration) { c.Clock.RunUntil(c.Clock.Now().Add(d)) }

// After runs f after a while.
func (c *Cluster) After(d time.Duration, f func()) { c.Clock.AfterFunc(d, f) }

// Live returns the daemons that run, in a fixed order.
func (c *Cluster) Live() []*Daemon {
	var live []*Daemon
	for _, daemon := range c.Daemons {
		if daemon.Running() {
			live = append(live, daemon)
		}
	}
	return live
}

// drivers returns the outside systems as one process sees them.
func (c *Cluster) drivers(client network.Client) framework.Drivers {
	return framework.Drivers{
		Engines:      c.Engines.Client(client),
		Applications: c.Applications.Client(client),
		Log:          c.Log.Client(client),
		Machines:     c.List.Client(client),
	}
}
