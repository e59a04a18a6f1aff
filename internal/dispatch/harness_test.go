package dispatch_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/submit"
)

const (
	self     structs.DaemonID = "10.0.0.1:7000#1"
	engineID structs.EngineID = "10.0.0.9:8000"
)

var begin = time.Date(2026, 12, 2, 4, 0, 0, 0, time.UTC)

// fakeEngine leaves answers to the test.
type fakeEngine struct {
	framework.EngineDriver
	requests  []framework.EngineRequest
	observers []framework.EngineObserver
	inspected []structs.Epoch
	status    framework.AttemptStatus
	statusErr error
	released  []structs.HoldID
	cancelled []structs.AttemptID
	// transfers are completed by the test through moved.
	transfers    []framework.Transfer
	transferDone []func(int64, error)
}

func (e *fakeEngine) Start(request framework.EngineRequest, observer framework.EngineObserver) framework.Stream {
	e.requests = append(e.requests, request)
	e.observers = append(e.observers, observer)
	return detached{}
}

type detached struct{}

func (detached) Detach() {}

func (e *fakeEngine) Inspect(_ structs.EngineID, _ structs.AttemptID, epoch structs.Epoch, done func(framework.AttemptStatus, error)) {
	e.inspected = append(e.inspected, epoch)
	done(e.status, e.statusErr)
}

func (e *fakeEngine) Release(hold structs.Hold, done func(error)) {
	e.released = append(e.released, hold.ID)
	done(nil)
}

// Transfer implements framework.EngineDriver.
func (e *fakeEngine) Transfer(transfer framework.Transfer, done func(int64, error)) {
	e.transfers = append(e.transfers, transfer)
	e.transferDone = append(e.transferDone, done)
}

func (e *fakeEngine) Cancel(_ structs.EngineID, attempt structs.AttemptID, done func(error)) {
	e.cancelled = append(e.cancelled, attempt)
	done(nil)
}

// answer streams text in two pieces and ends the latest attempt.
func (e *fakeEngine) answer(text string) {
	observer := e.observers[len(e.observers)-1]
	half := len(text) / 2
	observer.Chunks([]structs.Chunk{{Offset: 0, Text: text[:half]}})
	observer.Chunks([]structs.Chunk{{Offset: int64(half), Text: text[half:]}})
	observer.End(framework.AttemptEnd{Kind: framework.EndCompleted, FinishReason: "stop", Usage: structs.Usage{PromptTokens: 10, CompletionTokens: 5}, HoldTaken: true})
}

// fakeApplication answers each invocation with end.
type fakeApplication struct {
	invoked   []framework.ApplicationRequest
	inspected []structs.Epoch
	end       framework.AttemptEnd
	status    framework.AttemptStatus
	statusErr error
}

func (a *fakeApplication) Invoke(request framework.ApplicationRequest, done func(framework.AttemptEnd)) {
	a.invoked = append(a.invoked, request)
	done(a.end)
}

func (a *fakeApplication) Inspect(_ structs.EngineID, _ structs.AttemptID, epoch structs.Epoch, done func(framework.AttemptStatus, error)) {
	a.inspected = append(a.inspected, epoch)
	done(a.status, a.statusErr)
}

// fakeScheduler assigns every item to the engine at once, or holds items back.
type fakeScheduler struct {
	held     []*schedule.Item
	full     bool
	holdBack bool
	assigned int
	finished int
	ended    int
	// transfer is added to the next assignments.
	transfer schedule.Transfer
	// transferredTokens is the argument of the last RecordTransfer.
	transferredTokens int64
}

func (s *fakeScheduler) Enqueue(item *schedule.Item) {
	if s.holdBack {
		s.held = append(s.held, item)
		return
	}
	s.assigned++
	item.Assign(schedule.Assignment{Item: item, Engine: engineID, EngineRun: 1, Hold: s.transfer.From == "", Transfer: s.transfer})
}

func (s *fakeScheduler) NewProgramRefusal(structs.TenantName) (structs.Outcome, bool) {
	return structs.Refused(structs.ReasonOverloaded, "", "", time.Second), s.full
}

// RecordTransfer implements Scheduler.
func (s *fakeScheduler) RecordTransfer(tokens int64, _ time.Duration) { s.transferredTokens = tokens }

func (s *fakeScheduler) Remove(*schedule.Item) bool { return true }

func (s *fakeScheduler) Finished(schedule.Assignment, schedule.Result) { s.finished++ }

// ProgramEnded implements Scheduler.
func (s *fakeScheduler) ProgramEnded(structs.ProgramKey) { s.ended++ }

type fakeDirectory struct{ left bool }

func (fakeDirectory) Application(string, []structs.EngineID) (structs.EngineID, bool) {
	return "10.0.0.8:9000", true
}
func (d fakeDirectory) IsDelisted(structs.EngineID) bool { return d.left }
func (fakeDirectory) MarkDraining(structs.EngineID)      {}
func (fakeDirectory) MarkUnreachable(structs.EngineID)   {}

type fixedConfiguration struct{ fixture *fixture }

func (f fixedConfiguration) Current() *structs.Configuration { return f.fixture.configuration }

// fakeGroup is a group of one replica. The test moves its leadership.
type fakeGroup struct {
	queue       serial.Queue
	machine     replication.StateMachine
	application replication.Application
	// pressure is that of the other members.
	pressure replication.Pressure
	epoch    structs.Epoch
	// delayAcks collects the acknowledgements of proposals in delayedAcks.
	dropProposals bool
	delayedAcks   []func(error)
	delayAcks     bool
	// refuseConfirm makes Confirm fail, as after a takeover by another daemon.
	refuseConfirm bool
	records       []structs.Record
}

func (g *fakeGroup) Epoch() structs.Epoch { return g.epoch }
func (g *fakeGroup) Queue() *serial.Queue { return &g.queue }
func (g *fakeGroup) Pressure() replication.Pressure {
	return max(g.application.Pressure(), g.pressure)
}
func (g *fakeGroup) Confirm(done func(error)) {
	if g.refuseConfirm {
		done(replication.ErrLost)
		return
	}
	done(nil)
}

func (g *fakeGroup) Propose(records []structs.Record, done func(error)) {
	if g.dropProposals {
		return
	}
	g.records = append(g.records, records...)
	if g.delayAcks {
		g.delayedAcks = append(g.delayedAcks, func(err error) { g.apply(records); done(err) })
		return
	}
	g.apply(records)
	g.queue.Do(func() { done(nil) })
}

func (g *fakeGroup) apply(records []structs.Record) {
	for _, record := range records {
		g.machine.Apply(record)
	}
}

// lead starts the next epoch on the committed state.
func (g *fakeGroup) lead() {
	g.epoch++
	g.dropProposals, g.delayAcks, g.refuseConfirm = false, false, false
	g.queue.Do(func() { g.application.Lead(0, g.machine, g) })
}

// fixture is one daemon whose surroundings are controlled by the test.
type fixture struct {
	t           *testing.T
	clock       *clock.Virtual
	engine      *fakeEngine
	application *fakeApplication
	scheduler   *fakeScheduler
	directory   *fakeDirectory
	group       *fakeGroup
	coordinator *dispatch.Coordinator
	submitter   *submit.Submitter

	configuration *structs.Configuration
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t:           t,
		clock:       clock.NewVirtual(begin),
		engine:      &fakeEngine{},
		application: &fakeApplication{end: framework.AttemptEnd{Kind: framework.EndCompleted, Body: []byte("ok")}},
		scheduler:   &fakeScheduler{},
		directory:   &fakeDirectory{},

		configuration: testConfiguration(),
	}
	f.coordinator = dispatch.New(dispatch.Options{
		Self:           self,
		Clock:          f.clock,
		Transport:      f,
		Drivers:        framework.Drivers{Engines: f.engine, Applications: f.application},
		Scheduler:      f.scheduler,
		Configurations: fixedConfiguration{f},
		Directory:      f.directory,
		Router:         f,
		Settings:       dispatch.DefaultSettings(),
		Memory:         program.NewMemory(testMemory()),
		Logger:         zerolog.Nop(),
	})
	f.submitter = submit.New(f.clock, f, f, submit.DefaultSettings())
	f.group = &fakeGroup{machine: program.NewShardWithMemory(f.coordinator.Memory), application: f.coordinator}
	f.group.lead()
	return f
}

// testMemory has room for two programs of a megabyte.
func testMemory() program.MemoryLimits {
	limits := program.DefaultMemoryLimits()
	limits.NewPrograms, limits.Calls = 1<<20, 2<<20
	return limits
}

func testConfiguration() *structs.Configuration {
	return &structs.Configuration{
		Revision: 1,
		Models:   map[structs.ModelName]structs.Model{"m": {PromptCost: 1, CompletionCost: 1}},
		Templates: map[structs.TemplateName]structs.Template{
			"orders": {Models: []structs.ModelName{"m"}, Targets: []string{"wholesale"}, Budget: 100_000, ApplicationCost: 7},
		},
		Tenants: map[structs.TenantName]structs.Tenant{
			"bakery": {Templates: map[structs.TemplateName]structs.TenantTemplate{"orders": {}}},
		},
	}
}

// Send implements peer.Transport: messages arrive after a millisecond.
func (f *fixture) Send(_ structs.DaemonID, message peer.Message) {
	f.clock.AfterFunc(time.Millisecond, func() {
		if !f.coordinator.Receive(self, message) {
			f.submitter.Receive(self, message)
		}
	})
}

func (f *fixture) Shard(structs.ProgramKey) structs.ShardNumber { return 0 }
func (f *fixture) Route(structs.ShardNumber) replication.Route {
	return replication.Route{Leader: self, Epoch: f.group.epoch}
}
func (f *fixture) Learn(structs.ShardNumber, replication.Route) {}
func (f *fixture) Alive(structs.DaemonID) bool                  { return true }

// run advances the virtual clock.
func (f *fixture) run(d time.Duration) { f.clock.RunUntil(f.clock.Now().Add(d)) }

// recordedCaller records what one caller receives.
type recordedCaller struct {
	text     string
	outcomes []structs.Outcome
}

func (a *recordedCaller) Chunks(chunks []structs.Chunk) {
	for _, chunk := range chunks {
		a.text += chunk.Text
	}
}

func (a *recordedCaller) Outcome(outcome structs.Outcome) { a.outcomes = append(a.outcomes, outcome) }

func (a *recordedCaller) status(t *testing.T) structs.OutcomeStatus {
	t.Helper()
	if len(a.outcomes) != 1 {
		t.Fatalf("the caller got %d outcomes, want 1", len(a.outcomes))
	}
	return a.outcomes[0].Status
}

func modelCall(request string) structs.Call {
	return structs.Call{
		Key:       structs.ProgramKey{Tenant: "bakery", Program: "order"},
		RequestID: structs.RequestID(request),
		Kind:      structs.CallModel,
		Model:     "m",
		History:   structs.HistoryAppend,
		Messages:  []structs.Message{{Role: "user", Content: "question " + request}},
	}
}

func applicationCall(request string) structs.Call {
	return structs.Call{
		Key:       structs.ProgramKey{Tenant: "bakery", Program: "order"},
		RequestID: structs.RequestID(request),
		Kind:      structs.CallApplication,
		Target:    "wholesale",
		Operation: "order",
		Body:      []byte(`{"loaves":20}`),
	}
}

func (f *fixture) submit(call structs.Call) (*recordedCaller, *submit.Submission) {
	caller := &recordedCaller{}
	submission := f.submitter.Submit(call, caller)
	f.run(20 * time.Millisecond)
	return caller, submission
}
