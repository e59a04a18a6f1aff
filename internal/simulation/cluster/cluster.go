// Package cluster runs a whole fleet on a virtual clock: the daemons'
// production code with simulated platform services, engines and application
// back ends, and operations to start, stop, crash and pause daemons.
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
	// Zones is the number of zones in the region; DaemonsPerZone and
	// EnginesPerZone are placed in each.
	Zones          int
	DaemonsPerZone int
	EnginesPerZone int
	// Applications names the targets; the ApplicationReplicas of each are
	// placed in the zones round-robin.
	Applications        []string
	ApplicationReplicas int
	Models              []structs.ModelName
	Engine              enginemodel.Parameters
	// WeightRate is the total rate at which the weight store serves engines, in
	// bytes per second; 0 makes loading immediate.
	WeightRate int64
	Network    network.Settings
	Node       node.Settings
	Guards     node.Guards
	// ListLag is the delay with which the machine list is published.
	ListLag time.Duration
	Logger  zerolog.Logger
}

// platformZone is the zone of the platform's services. It is none of the
// fleet's zones, so that a scenario can cut the services off separately.
const platformZone structs.ZoneName = "platform"

// region is the only region of a simulated fleet.
const region structs.RegionName = "r1"

// Cluster is a simulated fleet. It is used from the virtual clock's event loop
// only.
type Cluster struct {
	Options      Options
	Clock        *clock.Virtual
	Network      *network.Network
	Log          *drivers.EventLog
	List         *drivers.MachineList
	Applications *drivers.Applications
	Engines      *drivers.Engines
	// Weights is the weight store; nil if Options.WeightRate is 0.
	Weights *enginemodel.WeightStore
	Daemons []*Daemon
	// EngineList and ApplicationList list the back ends in a fixed order.
	EngineList      []*drivers.Engine
	ApplicationList []*drivers.Application
	// OnStart is called for each run of a daemon before it starts; nil is
	// allowed.
	OnStart func(*Daemon)
	// OnRequestCut is called for each request that is cut off at the end of a
	// daemon's graceful shutdown; nil is allowed.
	OnRequestCut func(*Daemon, structs.Call)
	start        time.Time
}

// New builds a fleet without starting it.
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
	c.List = drivers.NewMachineList(c.Network, network.Place{Address: "machines", Zone: platformZone, Region: region}, options.ListLag, c.machineList())
	return c
}

// Zone returns the name of the zone with the given index, from 0.
func Zone(number int) structs.ZoneName { return structs.ZoneName(fmt.Sprintf("z%d", number+1)) }

// Random returns a random source for one part of the simulation, derived from
// the seed, so that parts do not affect each other's choices.
func (c *Cluster) Random(part string) *rand.Rand {
	var hash uint64 = 14695981039346656037
	for _, char := range []byte(part) {
		hash = (hash ^ uint64(char)) * 1099511628211
	}
	return rand.New(rand.NewPCG(c.Options.Seed, hash))
}

// Elapsed returns the virtual time since the start of the run.
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

// weights returns the weight store as an interface, nil without one: a nil
// pointer in the interface would not compare equal to nil.
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

// machineList returns the initial content of the platform's machine list.
func (c *Cluster) machineList() []structs.Machine {
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

// RemoveMachine removes a machine from the platform's list.
func (c *Cluster) RemoveMachine(address string) {
	var rest []structs.Machine
	for _, machine := range c.List.Machines() {
		if machine.Address != address {
			rest = append(rest, machine)
		}
	}
	c.List.Set(rest)
}

// AddMachine adds a machine to the platform's list unless its address is
// listed.
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

// Run advances virtual time by d.
func (c *Cluster) Run(d time.Duration) { c.Clock.RunUntil(c.Clock.Now().Add(d)) }

// After calls f after d.
func (c *Cluster) After(d time.Duration, f func()) { c.Clock.AfterFunc(d, f) }

// Live returns the daemons with a running process, in a fixed order.
func (c *Cluster) Live() []*Daemon {
	var live []*Daemon
	for _, daemon := range c.Daemons {
		if daemon.Running() {
			live = append(live, daemon)
		}
	}
	return live
}

// driversFor returns the drivers of external systems for one process.
func (c *Cluster) driversFor(client network.Client) framework.Drivers {
	return framework.Drivers{
		Engines:      c.Engines.Client(client),
		Applications: c.Applications.Client(client),
		Log:          c.Log.Client(client),
		Machines:     c.List.Client(client),
	}
}
