package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Managers are passed the list only when it changes, so these tests pass it
// once for each change.

func TestClaimWaitsForTheGraceTimeAfterAllOthersAreUnlisted(t *testing.T) {
	f, daemons := startThree(t, 31, 1)
	f.mustRecord(shard, "one")
	survivor := daemons[0]
	for _, d := range daemons[1:] {
		f.crash(d, false)
	}
	f.run(30 * time.Second)
	if f.leaderOf(shard) != nil {
		t.Fatal("claimed while the others are listed")
	}
	for _, d := range daemons[1:] {
		delete(f.machines, d.self.ID.Address())
	}
	f.publishMachineList()
	f.run(f.settings.ClaimGrace - time.Millisecond)
	if claims := len(f.log.entries) - 1; claims != 0 {
		t.Fatalf("%d claims within the grace time", claims)
	}
	f.run(5 * time.Second)
	if f.leaderOf(shard) != survivor {
		t.Fatal("not claimed after the grace time")
	}
	f.mustRecord(shard, "two")
}

func TestRelistedMemberRestartsTheGraceTime(t *testing.T) {
	f, daemons := startThree(t, 32, 1)
	f.mustRecord(shard, "one")
	for _, d := range daemons[1:] {
		f.crash(d, true)
	}
	f.run(f.settings.ClaimGrace - time.Second)
	other := daemons[1].self.ID.Address()
	f.machines[other] = true
	f.publishMachineList()
	f.run(30 * time.Second)
	if f.leaderOf(shard) != nil {
		t.Fatal("claimed while another member is listed again")
	}
	delete(f.machines, other)
	f.publishMachineList()
	f.run(f.settings.ClaimGrace - time.Millisecond)
	if f.leaderOf(shard) != nil {
		t.Fatal("claimed within the grace time after the member was unlisted again")
	}
	f.run(5 * time.Second)
	f.mustRecord(shard, "two")
}

func TestOneReadOfTheMachineListDoesNotAllowAClaim(t *testing.T) {
	f, daemons := startThree(t, 34, 1)
	f.mustRecord(shard, "one")
	survivor := daemons[0]
	for _, d := range daemons[1:] {
		f.setPartitioned(survivor, d, true)
	}
	f.run(10 * time.Second)
	// The list omits both by mistake, and cannot be read again.
	for _, d := range daemons[1:] {
		delete(f.machines, d.self.ID.Address())
	}
	f.publishMachineList()
	f.machineListDown = true
	f.run(30 * time.Second)
	if len(survivor.app.led) > 0 {
		t.Error("a cut-off member claimed the shard after one read of the list")
	}
}

func TestAddressesThatLeftTheListAreForgotten(t *testing.T) {
	virtual := clock.NewVirtual(time.Unix(0, 0))
	m := New(Options{Clock: virtual, Settings: DefaultSettings()})
	const days, perDay = 2, 360
	for number := range days * perDay {
		m.MachinesListed([]structs.Machine{{Kind: structs.MachineDaemon, Address: fmt.Sprintf("10.0.%d.%d:7000", number/250, number%250)}})
		virtual.RunUntil(virtual.Now().Add(24 * time.Hour / perDay))
	}
	if kept := len(m.machineList.unlistedAt); kept > 2*perDay/24 {
		t.Errorf("%d addresses are remembered after %d were unlisted", kept, days*perDay)
	}
	if lacked := m.machineList.missingFor("10.0.0.0:7000"); lacked < 24*time.Hour {
		t.Errorf("a forgotten address counts as missing for %s", lacked)
	}
}
