package query_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/query"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	querier structs.DaemonID = "127.0.0.1:1#1"
	leader  structs.DaemonID = "127.0.0.1:2#1"
	// formerLeader is a former leader that redirects to the current one.
	formerLeader structs.DaemonID = "127.0.0.1:3#1"
	shards                        = 4
	timeout                       = 2 * time.Second
)

// fleet is one daemon that leads every shard and one that queries it.
type fleet struct {
	clock        *clock.Virtual
	coordinator  *dispatch.Coordinator
	queries      *query.Client
	route        replication.Route
	unresponsive bool
}

// Send implements peer.Transport: it encodes and decodes the message, and delivers it
// a millisecond later.
func (f *fleet) Send(to structs.DaemonID, message peer.Message) {
	line, err := peer.Encode(querier, to, message)
	if err != nil {
		panic(err)
	}
	f.clock.AfterFunc(time.Millisecond, func() {
		_, _, decoded, err := peer.Decode(line)
		if err != nil {
			panic(err)
		}
		if to == leader && !f.unresponsive {
			f.coordinator.Receive(querier, decoded)
		}
		if question, isDescribe := decoded.(*dispatch.Describe); isDescribe && to == formerLeader {
			f.Send(querier, &dispatch.Described{Query: question.Query, Redirect: &replication.Route{Leader: leader, Epoch: 1}})
		}
		if to == querier {
			f.queries.Receive(leader, decoded)
		}
	})
}

func (f *fleet) Shard(key structs.ProgramKey) structs.ShardNumber {
	return replication.ShardOf(key, shards)
}
func (f *fleet) Route(structs.ShardNumber) replication.Route          { return f.route }
func (f *fleet) Learn(_ structs.ShardNumber, route replication.Route) { f.route = route }
func (f *fleet) Application(string, []structs.EngineID) (structs.EngineID, bool) {
	return "back-end", true
}
func (f *fleet) IsDelisted(structs.EngineID) bool { return false }
func (f *fleet) MarkDraining(structs.EngineID)    {}
func (f *fleet) MarkUnreachable(structs.EngineID) {}
func (f *fleet) Current() *structs.Configuration {
	return &structs.Configuration{
		Templates: map[structs.TemplateName]structs.Template{"order": {Targets: []string{"wholesale"}, Budget: 100, ApplicationCost: 3}},
		Tenants:   map[structs.TenantName]structs.Tenant{"village": {Templates: map[structs.TemplateName]structs.TenantTemplate{"order": {}}}},
	}
}

// Invoke answers at once, except for the operation "hang".
func (f *fleet) Invoke(request framework.ApplicationRequest, done func(framework.AttemptEnd)) {
	if request.Operation != "hang" {
		done(framework.AttemptEnd{Kind: framework.EndCompleted, Body: []byte(`{"ok":true}`), BodyStatus: 200})
	}
}

func (f *fleet) Inspect(structs.EngineID, structs.AttemptID, structs.Epoch, func(framework.AttemptStatus, error)) {
}

func newFleet() *fleet {
	f := &fleet{clock: clock.NewVirtual(time.Unix(1000, 0)), route: replication.Route{Leader: leader, Epoch: 1}}
	f.coordinator = dispatch.New(dispatch.Options{
		Self:           leader,
		Clock:          f.clock,
		Transport:      f,
		Drivers:        framework.Drivers{Applications: f},
		Scheduler:      schedule.New(f.clock, 100),
		Configurations: f,
		Directory:      f,
		Router:         f,
		Settings:       dispatch.DefaultSettings(),
		Logger:         zerolog.Nop(),
	})
	replication.NewSingle(leader, shards, f.coordinator)
	f.queries = query.New(f.clock, f, f)
	return f
}

func (f *fleet) submit(program structs.ProgramID, request structs.RequestID, operation string) {
	f.Send(leader, &dispatch.Submit{Submission: 1, Epoch: 1, Call: structs.Call{
		Key: key(program), RequestID: request, Kind: structs.CallApplication, Target: "wholesale", Operation: operation,
	}})
	f.run(100 * time.Millisecond)
}

func (f *fleet) run(d time.Duration) { f.clock.RunUntil(f.clock.Now().Add(d)) }

func key(program structs.ProgramID) structs.ProgramKey {
	return structs.ProgramKey{Tenant: "village", Program: program}
}

func (f *fleet) describe(t *testing.T, request dispatch.Describe) (dispatch.Described, error) {
	t.Helper()
	var answer dispatch.Described
	var failure error
	answers := 0
	f.queries.Describe(request, timeout, func(described dispatch.Described, err error) {
		answer, failure = described, err
		answers++
	})
	f.run(2 * timeout)
	if answers != 1 {
		t.Fatalf("%d answers, want 1", answers)
	}
	return answer, failure
}

func TestDescribeProgram(t *testing.T) {
	f := newFleet()
	f.submit("morning", "first", "bread")
	f.submit("morning", "second", "hang")
	answer, err := f.describe(t, dispatch.Describe{Key: key("morning"), RequestID: "first", WithDecisions: true})
	if err != nil || answer.Program == nil {
		t.Fatalf("no description: %v", err)
	}
	got := answer.Program
	want := dispatch.ProgramSummary{
		Key: key("morning"), Template: "order", Epoch: 1, Budget: 100, Spent: 3, Reserved: 3,
		Turns: 2, NextSequence: 3, OpenCalls: 1, Shard: f.Shard(key("morning")),
	}
	ignoreTimes := cmpopts.IgnoreFields(dispatch.ProgramSummary{}, "StartedAt", "ActiveAt")
	if diff := cmp.Diff(want, got.ProgramSummary, ignoreTimes); diff != "" {
		t.Errorf("summary (-want +got):\n%s", diff)
	}
	if len(got.Open) != 1 || got.Open[0].Stage != "running" || got.Open[0].BackEnd != "back-end" {
		t.Errorf("open calls %+v", got.Open)
	}
	if len(got.Settled) != 1 || got.Settled[0].Status != structs.OutcomeCompleted {
		t.Errorf("settled calls %+v", got.Settled)
	}
	if got.Request == nil || got.Request.Outcome == nil || string(got.Request.Outcome.Body) != `{"ok":true}` {
		t.Errorf("request %+v", got.Request)
	}
	if len(got.Decisions) == 0 {
		t.Error("no decisions")
	}
}

func TestDescribeUnknownProgram(t *testing.T) {
	answer, err := newFleet().describe(t, dispatch.Describe{Key: key("nobody")})
	if err != nil || answer.Program != nil {
		t.Errorf("got %+v, %v", answer.Program, err)
	}
}

func TestNoAnswerInTime(t *testing.T) {
	f := newFleet()
	f.unresponsive = true
	if _, err := f.describe(t, dispatch.Describe{Key: key("morning")}); !eris.Is(err, query.ErrNoAnswer) {
		t.Errorf("got %v", err)
	}
}

func TestQueryFollowsRedirection(t *testing.T) {
	f := newFleet()
	f.submit("morning", "first", "bread")
	f.route = replication.Route{Leader: formerLeader, Epoch: 1}
	answer, err := f.describe(t, dispatch.Describe{Key: key("morning")})
	if err != nil || answer.Program == nil {
		t.Errorf("got %+v, %v", answer, err)
	}
	if f.route.Leader != leader {
		t.Errorf("the route was not updated by the redirection: %+v", f.route)
	}
}

func TestEndProgram(t *testing.T) {
	f := newFleet()
	f.submit("morning", "first", "bread")
	f.submit("morning/child", "first", "bread")
	var ends []dispatch.ProgramEnded
	collect := func(ended dispatch.ProgramEnded, err error) {
		if err != nil {
			t.Error(err)
		}
		ended.Query = 0
		ends = append(ends, ended)
	}
	f.queries.EndProgram(key("morning"), timeout, collect)
	f.queries.EndProgram(key("morning"), timeout, collect)
	f.queries.EndProgram(key("nobody"), timeout, collect)
	f.run(timeout)
	want := []dispatch.ProgramEnded{
		{Known: true, Reason: structs.ReasonCompleted},
		{Known: true, Reason: structs.ReasonCompleted},
		{},
	}
	if diff := cmp.Diff(want, ends); diff != "" {
		t.Errorf("ends (-want +got):\n%s", diff)
	}
	child, _ := f.describe(t, dispatch.Describe{Key: key("morning/child")})
	if child.Program == nil || !child.Program.Ended {
		t.Errorf("the sub-agent did not end with its parent: %+v", child.Program)
	}
}

func TestListPrograms(t *testing.T) {
	f := newFleet()
	for _, program := range []structs.ProgramID{"a", "b", "c"} {
		f.submit(program, "first", "bread")
	}
	f.queries.EndProgram(key("c"), timeout, func(dispatch.ProgramEnded, error) {})
	f.run(timeout)
	var listed dispatch.Listed
	f.queries.List(leader, "village", 3, timeout, func(answer dispatch.Listed, _ error) { listed = answer })
	var others dispatch.Listed
	f.queries.List(leader, "others", 3, timeout, func(answer dispatch.Listed, _ error) { others = answer })
	f.run(timeout)
	var order []structs.ProgramID
	for _, summary := range listed.Programs {
		order = append(order, summary.Key.Program)
	}
	if diff := cmp.Diff([]structs.ProgramID{"b", "a", "c"}, order); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
	if others.Total != 0 || len(others.Programs) != 0 {
		t.Errorf("another tenant sees %+v", others)
	}
}
