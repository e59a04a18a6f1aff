package backends

import (
	"slices"
	"strconv"
	"testing"
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

// testDirectory is a Directory with fakes on a virtual clock.
type testDirectory struct {
	*Directory
	clock    *clock.Virtual
	machines []structs.Machine
	// published are the lists that were served, versionsAsked the versions requested.
	// listOverride replaces the list service if set.
	published     [][]structs.Machine
	versionsAsked []framework.ListVersion
	listOverride  func(since framework.ListVersion) framework.ListResponse
	listFails     bool
	// lists are the lists passed to OnList.
	lists [][]structs.Machine
	// unchangedLists counts the calls of OnListUnchanged.
	unchangedLists int
	reports        map[structs.EngineID]structs.LoadReport
	down           map[structs.EngineID]bool
	polls          int
	holds          map[structs.EngineID][]structs.Hold
	events         map[structs.EngineID][]structs.CacheEvent
	runs           map[structs.EngineID]int64
	members        []membership.Member
	sent           []peer.Message
	sentTo         []structs.DaemonID

	engines        map[structs.EngineID]structs.Engine
	cacheSequences []uint64
	cacheGaps      int
	waiting        []schedule.ModelWaiting
}

func (b *testDirectory) UpdateEngine(engine structs.Engine)      { b.engines[engine.ID] = engine }
func (b *testDirectory) RemoveEngine(id structs.EngineID)        { delete(b.engines, id) }
func (b *testDirectory) UpdateLoad(structs.LoadReport)           {}
func (b *testDirectory) CacheEventsLost(structs.EngineID)        { b.cacheGaps++ }
func (b *testDirectory) WaitingByModel() []schedule.ModelWaiting { return b.waiting }

func (b *testDirectory) Members() []membership.Member                 { return slices.Clone(b.members) }
func (b *testDirectory) Shard(structs.ProgramKey) structs.ShardNumber { return 0 }

func (b *testDirectory) CacheEvents(events []structs.CacheEvent) {
	for _, event := range events {
		b.cacheSequences = append(b.cacheSequences, event.Sequence)
	}
}

func (b *testDirectory) Route(structs.ShardNumber) replication.Route {
	return replication.Route{Leader: "10.0.0.9:7000#1"}
}

func (b *testDirectory) Send(to structs.DaemonID, message peer.Message) {
	b.sent = append(b.sent, message)
	b.sentTo = append(b.sentTo, to)
}

// List fakes a list service that keeps every list it served and answers with the
// changes since then.
func (b *testDirectory) List(since framework.ListVersion, done func(framework.ListResponse, error)) {
	b.versionsAsked = append(b.versionsAsked, since)
	if b.listFails {
		done(framework.ListResponse{}, framework.ErrUnreachable)
		return
	}
	if b.listOverride != nil {
		done(b.listOverride(since), nil)
		return
	}
	b.published = append(b.published, slices.Clone(b.machines))
	version := framework.ListVersion(strconv.Itoa(len(b.published) - 1))
	position, err := strconv.Atoi(string(since))
	if err != nil {
		done(framework.FullListResponse(version, slices.Clone(b.machines)), nil)
		return
	}
	done(framework.DeltaListResponse(since, b.published[position], version, b.machines), nil)
}

// fakeEngines answers at once.
type fakeEngines struct {
	framework.EngineDriver
	directory *testDirectory
}

func (e fakeEngines) Load(id structs.EngineID, done func(structs.LoadReport, error)) {
	e.directory.polls++
	if e.directory.down[id] {
		done(structs.LoadReport{}, framework.ErrUnreachable)
		return
	}
	done(e.directory.reports[id], nil)
}

func (e fakeEngines) Holds(id structs.EngineID, done func([]structs.Hold, error)) {
	done(e.directory.holds[id], nil)
}

func (e fakeEngines) CacheEvents(id structs.EngineID, after uint64, done func([]structs.CacheEvent, error)) {
	var events []structs.CacheEvent
	for _, event := range e.directory.events[id] {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	done(events, nil)
}

type fakeApplications struct {
	framework.ApplicationDriver
	directory *testDirectory
}

func (a fakeApplications) Inspect(id structs.EngineID, _ structs.AttemptID, _ structs.Epoch, done func(framework.AttemptStatus, error)) {
	if a.directory.down[id] {
		done(framework.AttemptStatus{}, framework.ErrUnreachable)
		return
	}
	done(framework.AttemptStatus{StartedUnixNano: a.directory.runs[id]}, nil)
}

func newTestDirectory(guards Guards, machines ...structs.Machine) *testDirectory {
	b := &testDirectory{
		clock:    clock.NewVirtual(time.Unix(1_700_000_000, 0)),
		machines: machines,
		reports:  map[structs.EngineID]structs.LoadReport{},
		down:     map[structs.EngineID]bool{},
		holds:    map[structs.EngineID][]structs.Hold{},
		events:   map[structs.EngineID][]structs.CacheEvent{},
		runs:     map[structs.EngineID]int64{},
		engines:  map[structs.EngineID]structs.Engine{},
	}
	self := structs.Daemon{ID: "10.0.0.1:7000#1", Zone: "a", Region: "r"}
	b.members = []membership.Member{
		{Daemon: self, State: membership.StateAlive},
		{Daemon: structs.Daemon{ID: "10.0.0.2:7000#1", Zone: "b", Region: "r"}, State: membership.StateAlive},
	}
	for _, machine := range machines {
		id := structs.EngineID(machine.Address)
		b.reports[id] = structs.LoadReport{Engine: id, MaximumRunning: 8, StartedUnixNano: 100}
		b.runs[id] = 100
	}
	b.Directory = New(Options{
		Self:            self,
		Clock:           b.clock,
		Drivers:         framework.Drivers{Engines: fakeEngines{directory: b}, Applications: fakeApplications{directory: b}, Machines: b},
		Transport:       b,
		Scheduler:       b,
		Members:         b,
		Router:          b,
		Settings:        DefaultSettings(),
		Guards:          guards,
		Logger:          zerolog.Nop(),
		OnList:          func(machines []structs.Machine) { b.lists = append(b.lists, machines) },
		OnListUnchanged: func() { b.unchangedLists++ },
	})
	b.Start()
	b.run(2 * time.Second)
	return b
}

func (b *testDirectory) run(d time.Duration) { b.clock.RunUntil(b.clock.Now().Add(d)) }

func (b *testDirectory) set(id structs.EngineID, change func(*structs.LoadReport)) {
	report := b.reports[id]
	change(&report)
	b.reports[id] = report
}

const (
	engineA structs.EngineID = "10.1.0.1:9000"
	engineB structs.EngineID = "10.1.0.2:9000"
	orders  structs.EngineID = "10.2.0.1:9000"
)

func engineRow(id structs.EngineID) structs.Machine {
	return structs.Machine{Kind: structs.MachineEngine, Address: string(id), Zone: "a", Region: "r", State: structs.MachineLive}
}

func applicationRow(id structs.EngineID) structs.Machine {
	return structs.Machine{Kind: structs.MachineApplication, Name: "orders", Address: string(id), Zone: "a", Region: "r", State: structs.MachineLive}
}

func (b *testDirectory) wantLeaving(t *testing.T, want bool, when string) {
	t.Helper()
	if got := b.engines[engineA].Leaving; got != want {
		t.Errorf("%s: leaving is %v, want %v", when, got, want)
	}
}
