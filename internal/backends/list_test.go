package backends

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const peerAddress = "10.0.0.2:7000"

func daemonRow(address string) structs.Machine {
	return structs.Machine{Kind: structs.MachineDaemon, Address: address, Zone: "a", Region: "r", State: structs.MachineLive}
}

func TestListIsPassedOnOnlyWhenItChanges(t *testing.T) {
	engine, peer := engineRow(engineA), daemonRow(peerAddress)
	b := newTestDirectory(Guards{}, peer, engine)
	b.run(time.Minute)
	b.machines = []structs.Machine{engine}
	b.run(time.Minute)
	b.machines = []structs.Machine{peer, engine}
	b.run(time.Minute)
	want := [][]structs.Machine{{peer, engine}, {engine}, {peer, engine}}
	if diff := cmp.Diff(want, b.lists); diff != "" {
		t.Error(diff)
	}
}

func TestRemovalIsReportedByTheFirstReadWithoutTheMachine(t *testing.T) {
	engine := engineRow(engineA)
	b := newTestDirectory(Guards{}, daemonRow(peerAddress), engine)
	b.run(time.Minute)
	b.machines = []structs.Machine{engine}
	b.run(b.Settings.ListInterval)
	if len(b.lists) != 2 {
		t.Fatalf("%d lists were passed to OnList, want the first and the one without the daemon", len(b.lists))
	}
	if diff := cmp.Diff([]structs.Machine{engine}, b.lists[1]); diff != "" {
		t.Error(diff)
	}
}

func TestLeavingPersistsWhileTheListIsUnchanged(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA), engineRow(engineB))
	b.machines[0].State = structs.MachineLeaving
	b.run(10 * b.Settings.ListHoldDown)
	b.wantLeaving(t, true, "listed as leaving in every read")
}

func TestUnlistedEngineIsRemovedWhileTheListIsUnchanged(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA), engineRow(engineB))
	b.machines = b.machines[1:]
	b.run(2 * b.Settings.ListInterval)
	if !b.IsDelisted(engineA) {
		t.Fatal("the engine is still listed")
	}
	b.run(2 * b.Settings.ListHoldDown)
	if _, known := b.backEnds[engineA]; known {
		t.Error("the engine is still tracked")
	}
}

func TestOlderListGivesNoWorkToUnlistedEngine(t *testing.T) {
	engine, other := engineRow(engineA), engineRow(engineB)
	b := newTestDirectory(Guards{}, engine, other)
	b.machines = []structs.Machine{other}
	b.run(2 * b.Settings.ListInterval)
	// Another instance of the service takes over. It knows none of the former
	// one's versions and lags behind it.
	b.listOverride = func(since framework.ListVersion) framework.ListResponse {
		return framework.FullListResponse("other-1", []structs.Machine{engine, other})
	}
	b.run(2 * b.Settings.ListInterval)
	b.wantLeaving(t, true, "listed again by an older list")
	b.run(b.Settings.ListHoldDown)
	b.wantLeaving(t, false, "listed for ListHoldDown")
}

func TestReadWithAGapIsFollowedByTheFullList(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA), engineRow(engineB))
	b.machines[0].State = structs.MachineLeaving
	b.listOverride = func(since framework.ListVersion) framework.ListResponse {
		return framework.ListResponse{Version: "9", Since: since, Total: 7}
	}
	b.run(b.Settings.ListInterval)
	b.listOverride = nil
	b.versionsAsked = nil
	b.run(b.Settings.ListInterval)
	if diff := cmp.Diff([]framework.ListVersion{""}, b.versionsAsked); diff != "" {
		t.Error(diff)
	}
	b.wantLeaving(t, true, "after the full list")
}

func TestListReadsResumeFromTheLastVersionAfterAnOutage(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA), engineRow(engineB))
	b.listFails = true
	b.run(time.Minute)
	b.machines[0].State = structs.MachineLeaving
	b.run(time.Minute)
	b.wantLeaving(t, false, "no read succeeded")
	b.listFails = false
	b.versionsAsked = nil
	b.run(b.Settings.ListInterval)
	b.wantLeaving(t, true, "after the first read")
	if b.versionsAsked[0] == "" {
		t.Error("the full list was read, want the changes since the last read")
	}
}

func TestEveryReadIsReportedOnceAsChangedOrUnchanged(t *testing.T) {
	b := newTestDirectory(Guards{}, engineRow(engineA), engineRow(engineB))
	b.run(time.Minute)
	b.machines = b.machines[1:]
	b.run(time.Minute)
	if told, readings := len(b.lists)+b.unchangedLists, len(b.versionsAsked); told != readings {
		t.Errorf("%d reads were reported, of %d", told, readings)
	}
	told := b.unchangedLists
	b.listFails = true
	b.run(time.Minute)
	if b.unchangedLists != told {
		t.Error("failed reads were reported as unchanged")
	}
}
