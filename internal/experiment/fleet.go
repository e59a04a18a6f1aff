package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/backends"
	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	_ "github.com/mintpulley/mintpulley/internal/plugins/queuepolicy" // queue policies
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer"      // scorers and filters
	"github.com/mintpulley/mintpulley/internal/query"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/submit"
	"github.com/mintpulley/mintpulley/internal/workload"
)

const (
	self structs.DaemonID = "10.0.0.1:7000#1"
	// shards is the number of program shards.
	shards int = 8
	// waitingLimit is more than any run reaches, so that no call is refused
	// and latency shows the effect of the policy.
	waitingLimit int = 1 << 20
	// retention is how long an ended program is kept.
	retention time.Duration = time.Second
)

// startOfRun is the virtual time at which every run begins.
var startOfRun = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// fleet is one daemon's dispatch and scheduling code with model engines.
type fleet struct {
	shape       *workload.Shape
	clock       *clock.Virtual
	engines     *enginemodel.Fleet
	scheduler   *schedule.Scheduler
	directory   *backends.Directory
	coordinator *dispatch.Coordinator
	submitter   *submit.Submitter
	queries     *query.Client
}

// staticConfiguration is a configuration that does not change.
type staticConfiguration struct{ value *structs.Configuration }

// Current implements dispatch.Configurations.
func (s staticConfiguration) Current() *structs.Configuration { return s.value }

// staticMachines is a list of engines that does not change.
type staticMachines struct{ machines []structs.Machine }

// List implements framework.MachineList.
func (s staticMachines) List(_ framework.ListVersion, done func(framework.ListResponse, error)) {
	done(framework.FullListResponse("", s.machines), nil)
}

// loopback delivers messages of the daemon to itself.
type loopback struct{ fleet *fleet }

// Send implements peer.Transport.
func (l loopback) Send(_ structs.DaemonID, message peer.Message) {
	l.fleet.clock.AfterFunc(0, func() { l.fleet.receive(message) })
}

func (f *fleet) receive(message peer.Message) {
	if f.coordinator.Receive(self, message) || f.submitter.Receive(self, message) {
		return
	}
	f.queries.Receive(self, message)
}

// newFleet starts a fleet with idle engines.
func newFleet(shape *workload.Shape, options *Options, profile schedule.Profile, seed uint64) (*fleet, error) {
	f := &fleet{shape: shape, clock: clock.NewVirtual(startOfRun)}
	machines, err := f.addEngines(options.Parameters, seed)
	if err != nil {
		return nil, err
	}
	configuration := shape.Configuration()
	configurations := staticConfiguration{&configuration}
	zone := shape.Zones[0]
	f.scheduler = schedule.NewWithOptions(schedule.Options{
		Clock:          f.clock,
		QueueLimit:     waitingLimit,
		Zone:           zone,
		Profile:        profile,
		Configurations: configurations,
	})
	drivers := framework.Drivers{
		Engines:  wholeAnswers{enginemodel.NewDriver(enginemodel.DriverOptions{Clock: f.clock, Fleet: f.engines, Delay: f.delays(machines)})},
		Machines: staticMachines{machines},
	}
	router := &lateRouter{}
	f.directory = backends.New(backends.Options{
		Self:            structs.Daemon{ID: self, Zone: zone},
		Clock:           f.clock,
		Drivers:         drivers,
		Transport:       loopback{f},
		Scheduler:       f.scheduler,
		Members:         singleMember{zone},
		Router:          router,
		Settings:        backends.DefaultSettings(),
		Logger:          zerolog.Nop(),
		OnList:          func([]structs.Machine) {},
		OnListUnchanged: func() {},
	})
	f.startDispatch(drivers, configurations, router)
	f.directory.Start()
	return f, nil
}

func (f *fleet) startDispatch(drivers framework.Drivers, configurations dispatch.Configurations, router *lateRouter) {
	transport := loopback{f}
	settings := dispatch.DefaultSettings()
	settings.Retention = retention
	f.coordinator = dispatch.New(dispatch.Options{
		Self:           self,
		Clock:          f.clock,
		Transport:      transport,
		Drivers:        drivers,
		Scheduler:      f.scheduler,
		Configurations: configurations,
		Directory:      f.directory,
		Router:         router,
		Settings:       settings,
		Logger:         zerolog.Nop(),
	})
	router.Single = replication.NewSingle(self, shards, f.coordinator)
	f.submitter = submit.New(f.clock, transport, router, submit.DefaultSettings())
	f.queries = query.New(f.clock, transport, router)
}

// lateRouter is a router whose Single is set later, so that the coordinator can
// be created before its shards.
type lateRouter struct{ *replication.Single }

// singleMember is the membership of a single daemon.
type singleMember struct{ zone structs.ZoneName }

// Members implements backends.Members.
func (a singleMember) Members() []membership.Member {
	return []membership.Member{{Daemon: structs.Daemon{ID: self, Zone: a.zone}, State: membership.StateAlive}}
}

func (f *fleet) addEngines(parameters enginemodel.Parameters, seed uint64) ([]structs.Machine, error) {
	f.engines = enginemodel.NewFleet(parameters.AnswerTokens)
	history := enginemodel.NewBlockHistory()
	var machines []structs.Machine
	for number := range f.shape.Engines {
		id := structs.EngineID(fmt.Sprintf("10.1.0.%d:8000", number+1))
		engine, err := enginemodel.New(enginemodel.Options{
			ID:           id,
			Clock:        f.clock,
			Random:       rand.New(rand.NewPCG(seed, uint64(number))),
			Parameters:   parameters,
			Models:       []structs.ModelName{f.shape.Model},
			BlockHistory: history,
		})
		if err != nil {
			return nil, err
		}
		f.engines.Add(engine)
		machines = append(machines, structs.Machine{
			Kind:    structs.MachineEngine,
			Address: string(id),
			Zone:    f.shape.Zones[number%len(f.shape.Zones)],
			State:   structs.MachineLive,
		})
	}
	return machines, nil
}

func (f *fleet) delays(machines []structs.Machine) func(structs.EngineID) time.Duration {
	zones := map[structs.EngineID]structs.ZoneName{}
	for _, machine := range machines {
		zones[structs.EngineID(machine.Address)] = machine.Zone
	}
	between := time.Duration(f.shape.ZoneDelaySeconds * float64(time.Second))
	return func(engine structs.EngineID) time.Duration {
		if zones[engine] == f.shape.Zones[0] {
			return 0
		}
		return between
	}
}
