package backends

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestListedAsLeavingGetsNoWork(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA))
	b.wantLeaving(t, false, "at first")
	b.machines[0].State = structs.MachineLeaving
	b.run(2 * time.Second)
	b.wantLeaving(t, true, "listed as leaving")
	b.machines[0].State = structs.MachineLive
	b.run(5 * time.Second)
	b.wantLeaving(t, true, "just after it is listed as live")
	b.run(10 * time.Second)
	b.wantLeaving(t, false, "after ListHoldDown")
}

func TestDrainingOverridesListAndLaggingReports(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA))
	b.MarkDraining(engineA)
	b.wantLeaving(t, true, "after MarkDraining")
	b.run(10 * time.Second)
	b.wantLeaving(t, true, "reports do not say so yet")
	b.set(engineA, func(r *structs.LoadReport) { r.Draining = true })
	b.run(time.Minute)
	b.wantLeaving(t, true, "reports say so")
	b.set(engineA, func(r *structs.LoadReport) { r.Draining = false; r.StartedUnixNano = 200 })
	b.run(time.Second)
	b.wantLeaving(t, false, "a new run answers")
}

func TestLeavingMessageOfAnotherDaemonIsApplied(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA))
	b.Receive("10.0.0.2:7000#1", &Leaving{BackEnd: engineA, Run: 50})
	b.wantLeaving(t, false, "announcement of a former run")
	b.Receive("10.0.0.2:7000#1", &Leaving{BackEnd: engineA, Run: 100})
	b.wantLeaving(t, true, "announcement of this run")
}

func TestDrainingIsBroadcastOnce(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA))
	b.set(engineA, func(r *structs.LoadReport) { r.Draining = true })
	b.run(time.Minute)
	want := []peer.Message{&Leaving{BackEnd: engineA, Run: 100}}
	if diff := cmp.Diff(want, b.sent); diff != "" {
		t.Error(diff)
	}
}

func TestUnreadableEngineGetsNoWorkUntilItAnswers(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA))
	b.down[engineA] = true
	b.run(2 * time.Second)
	b.wantLeaving(t, true, "after failed polls")
	b.down[engineA] = false
	b.run(time.Second)
	b.wantLeaving(t, false, "after it answered")
	b.down[engineA] = true
	b.MarkUnreachable(engineA)
	b.wantLeaving(t, true, "a connection broke")
}

func TestIgnoreLeavingGuard(t *testing.T) {
	b := newTestDirectory(Guards{IgnoreLeaving: true}, engineRow(engineA))
	b.machines[0].State = structs.MachineLeaving
	b.MarkDraining(engineA)
	b.run(5 * time.Second)
	b.wantLeaving(t, false, "with IgnoreLeaving")
}

func TestApplicationLeavesAndReturns(t *testing.T) {
	b := newTestDirectory(Guards{}, applicationRow(orders))
	chosen := func() structs.EngineID {
		id, _ := b.Application("orders", nil)
		return id
	}
	if got := chosen(); got != orders {
		t.Fatalf("chose %q", got)
	}
	b.MarkDraining(orders)
	b.run(5 * time.Minute)
	if got := chosen(); got != "" {
		t.Errorf("chose %q, which is leaving", got)
	}
	b.runs[orders] = 200
	b.run(3 * time.Second)
	if got := chosen(); got != orders {
		t.Errorf("chose %q after a new run began", got)
	}
	b.machines = []structs.Machine{engineRow(engineB)}
	b.run(2 * time.Second)
	if got := chosen(); got != "" {
		t.Errorf("chose %q, which is not listed", got)
	}
	if !b.IsDelisted(orders) {
		t.Error("IsDelisted is false for an unlisted application")
	}
}

func TestCacheEventsAreReadInOrderAndGapsReported(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA))
	b.events[engineA] = []structs.CacheEvent{{Engine: engineA, Sequence: 1}, {Engine: engineA, Sequence: 2}}
	b.set(engineA, func(r *structs.LoadReport) { r.CacheEventSequence = 2 })
	b.run(time.Second)
	b.events[engineA] = append(b.events[engineA], structs.CacheEvent{Engine: engineA, Sequence: 5})
	b.set(engineA, func(r *structs.LoadReport) { r.CacheEventSequence = 5 })
	b.run(time.Second)
	if diff := cmp.Diff([]uint64{1, 2, 5}, b.cacheSequences); diff != "" {
		t.Error(diff)
	}
	if b.cacheGaps != 1 {
		t.Errorf("%d gaps reported, want 1", b.cacheGaps)
	}
}

func TestPersistentHoldIsReportedByOneDaemon(t *testing.T) {
	rows := []structs.Machine{engineRow(engineA), engineRow(engineB), engineRow("10.1.0.3:9000"), engineRow("10.1.0.4:9000")}
	b := newTestDirectory(Guards{}, rows...)
	mine := 0
	for _, row := range rows {
		id := structs.EngineID(row.Address)
		b.holds[id] = []structs.Hold{{ID: structs.HoldID(id), Engine: id}}
		if watcherOf(id, daemonsOf(b.members)) == b.Self.ID {
			mine++
		}
	}
	b.run(20 * time.Second)
	if len(b.sent) != 0 {
		t.Errorf("%d holds reported when first seen", len(b.sent))
	}
	b.run(15 * time.Second)
	seen := 0
	for _, message := range b.sent {
		if _, isHold := message.(*dispatch.HoldSeen); isHold {
			seen++
		}
	}
	if seen != mine || mine == 0 || mine == len(rows) {
		t.Errorf("%d holds reported, want those of %d engines; this daemon must sweep some of the %d engines, not all", seen, mine, len(rows))
	}
}

func TestLargeFleetIsDividedIntoCells(t *testing.T) {
	var rows []structs.Machine
	for i := range 1000 {
		row := engineRow(structs.EngineID(fmt.Sprintf("10.8.%d.%d:9000", i/250, i%250)))
		row.Zone = structs.ZoneName(fmt.Sprintf("z%d", i%3))
		row.Region = structs.RegionName(fmt.Sprintf("r%d", i%4))
		rows = append(rows, row)
	}
	b := newTestDirectory(Guards{}, engineRow(engineA))
	b.members = nil
	for i := range 400 {
		b.members = append(b.members, membership.Member{State: membership.StateAlive, Daemon: structs.Daemon{
			ID:     structs.DaemonID(fmt.Sprintf("10.9.%d.%d:7000#1", i/250, i%250)),
			Region: structs.RegionName(fmt.Sprintf("r%d", i%4)),
		}})
	}
	b.machines = rows
	b.run(5 * time.Second)
	watched, used := map[structs.EngineID]int{}, map[structs.EngineID]int{}
	for _, member := range b.members {
		d := New(Options{Self: member.Daemon, Settings: DefaultSettings(), Members: b, Clock: b.clock})
		d.backEnds = b.backEnds
		division := d.assignCells()
		if len(division.peers) > 32 || len(division.used) < 8 || len(division.used) > 80 {
			t.Errorf("%s: %d peers, %d engines", member.Daemon.ID, len(division.peers), len(division.used))
		}
		zones := map[structs.ZoneName]bool{}
		for _, id := range division.used {
			used[id]++
			zones[b.backEnds[id].machine.Zone] = true
		}
		if len(zones) < 2 {
			t.Errorf("%s uses engines of %d zones", member.Daemon.ID, len(zones))
		}
		for _, id := range division.watched {
			watched[id]++
		}
	}
	for id, count := range watched {
		if count != 1 {
			t.Errorf("%s is watched by %d daemons", id, count)
		}
	}
	if len(used) != 1000 || len(watched) != 1000 {
		t.Errorf("%d engines are used and %d watched, want all 1000", len(used), len(watched))
	}
}

func TestMissingModelIsBorrowedFromAnotherCell(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA))
	for i := range 64 {
		b.members = append(b.members, membership.Member{State: membership.StateAlive, Daemon: structs.Daemon{
			ID: structs.DaemonID(fmt.Sprintf("10.9.0.%d:7000#1", i)), Region: "r",
		}})
	}
	for i := range 64 {
		row := engineRow(structs.EngineID(fmt.Sprintf("10.8.0.%d:9000", i)))
		b.machines = append(b.machines, row)
		id := structs.EngineID(row.Address)
		b.reports[id] = structs.LoadReport{Engine: id, MaximumRunning: 8, StartedUnixNano: 100, Models: []structs.ModelName{"common"}}
	}
	b.waiting = []schedule.ModelWaiting{
		{ModelAdapter: structs.ModelAdapter{Model: "common"}, Calls: 1},
		{ModelAdapter: structs.ModelAdapter{Model: "rare"}, Calls: 1},
	}
	b.run(10 * time.Second)
	asked := map[structs.DaemonID]bool{}
	for i, message := range b.sent {
		if find, isFind := message.(*FindEngines); isFind && slices.Contains(find.Models, structs.ModelAdapter{Model: "rare"}) {
			asked[b.sentTo[i]] = true
		}
	}
	if got, want := len(asked), len(b.cells.contacts); got != want || want < 7 {
		t.Errorf("%d cells were asked, want all %d others", got, want)
	}
	var far structs.EngineID
	for _, row := range b.machines {
		if id := structs.EngineID(row.Address); b.engines[id].ID == "" {
			far = id
		}
	}
	report := structs.LoadReport{Engine: far, MaximumRunning: 8, StartedUnixNano: 100, Models: []structs.ModelName{"rare"}}
	b.reports[far] = report
	b.Receive("10.9.0.1:7000#1", &EnginesFound{Summaries: []LoadSummary{summaryOf(report)}})
	if b.engines[far].ID != far {
		t.Error("the engine that was found is not in use")
	}
	if missing := b.missingModels(); len(missing) != 0 {
		t.Errorf("models still missing: %v", missing)
	}
	b.run(DefaultSettings().BorrowDuration + 10*time.Second)
	if b.engines[far].ID == far {
		t.Error("the engine is in use after BorrowDuration")
	}
}
