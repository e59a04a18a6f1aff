package replication

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestSurvivorClaimsShardWhenTwoMembersAreLostAtOnce(t *testing.T) {
	f, daemons := startThree(t, 7, 2)
	f.mustRecord(shard, "one")
	f.log.down = true
	survivor := daemons[0]
	f.crash(daemons[1], true)
	f.crash(daemons[2], true)
	f.run(20 * time.Second)
	route := survivor.manager.Route(shard)
	if route.Leader != "" || !route.NoMajority {
		t.Fatalf("without a majority the route is %+v", route)
	}
	f.log.down = false
	f.run(10 * time.Second)
	if f.leaderOf(shard) != survivor {
		t.Fatal("the survivor does not lead")
	}
	f.mustRecord(shard, "two")
	if diff := cmp.Diff([]string{"one", "two"}, survivor.values(shard)); diff != "" {
		t.Error(diff)
	}
	f.start(4, "b")
	f.start(5, "c")
	f.run(20 * time.Second)
	if group := f.group(shard); len(group) != 3 {
		t.Errorf("the group has not grown again: %v", group)
	}
}

func TestShardIsNotClaimedWhileItsMembersAreListed(t *testing.T) {
	f, daemons := startThree(t, 8, 1)
	minority := daemons[0]
	f.setPartitioned(minority, daemons[1], true)
	f.setPartitioned(minority, daemons[2], true)
	f.run(30 * time.Second)
	if len(minority.app.led) > 0 {
		t.Error("a cut-off member leads though the list has the others")
	}
	f.mustRecord(shard, "one")
	f.setPartitioned(minority, daemons[1], false)
	f.setPartitioned(minority, daemons[2], false)
	f.run(5 * time.Second)
	f.mustRecord(shard, "two")
	f.mustRecord(shard, "three")
	if got := minority.values(shard); len(got) < 2 {
		t.Errorf("the reconnected member applied %v", got)
	}
}

func TestShardWithoutSurvivorsStartsAnew(t *testing.T) {
	f, daemons := startThree(t, 9, 2)
	for _, d := range daemons {
		f.crash(d, true)
	}
	f.run(time.Second)
	f.start(4, "a")
	f.start(5, "b")
	f.start(6, "c")
	f.run(30 * time.Second)
	for s := range structs.ShardNumber(2) {
		if f.leaderOf(s) == nil {
			t.Fatalf("shard %d was not started again", s)
		}
	}
	f.mustRecord(shard, "one")
}

func TestLostShardIsNotStartedWhileAListedDaemonIsUnreachable(t *testing.T) {
	for _, cutOff := range []bool{true, false} {
		f, former := startThree(t, 21, 1)
		f.mustRecord(shard, "one")
		for _, d := range f.daemons {
			d.logDown = true
		}
		for number := 4; number <= 6; number++ {
			f.start(number, string(rune('a'+number%3))).logDown = true
		}
		for _, d := range former {
			f.run(15 * time.Second)
			f.crash(d, true)
		}
		f.run(15 * time.Second)
		holders := others(f.daemons, nil)
		newDaemon := f.start(7, "a")
		for _, d := range holders {
			f.setPartitioned(newDaemon, d, cutOff)
		}
		f.run(30 * time.Second)
		if len(f.log.entries) != 1 {
			t.Errorf("cut off %v: the stream has %d entries", cutOff, len(f.log.entries))
		}
		for _, d := range holders {
			f.setPartitioned(newDaemon, d, false)
		}
		f.run(5 * time.Second)
		f.mustRecord(shard, "two")
		if got := f.leaderOf(shard).values(shard); !cmp.Equal(got, []string{"one", "two"}) {
			t.Errorf("cut off %v: values %v", cutOff, got)
		}
	}
}

// TestWrongMachineListReplacesALiveMajority shows the dependence on the machine
// list: it omits two members that still run, cut off from the third. The claim
// replaces them.
func TestWrongMachineListReplacesALiveMajority(t *testing.T) {
	f, daemons := startThree(t, 22, 1)
	f.mustRecord(shard, "one")
	claimant := daemons[0]
	rest := daemons[1:]
	for _, d := range rest {
		f.setPartitioned(claimant, d, true)
		delete(f.machines, d.self.ID.Address())
		d.logDown = true
	}
	f.publishMachineList()
	f.run(25 * time.Second)
	f.mustRecord(shard, "kept")
	var stale *testDaemon
	for _, d := range rest {
		if d.app.led[shard] != nil {
			stale = d
		}
	}
	if stale == nil {
		t.Fatal("the old majority should go on while it does not read the claim")
	}
	stale.propose(shard, "given up", func(error) {})
	f.run(time.Second)
	for _, d := range rest {
		d.logDown = false
	}
	f.run(15 * time.Second)
	if len(stale.app.led) > 0 {
		t.Error("the old leader read the claim and still leads")
	}
	for _, d := range rest {
		f.setPartitioned(claimant, d, false)
	}
	f.run(20 * time.Second)
	f.mustRecord(shard, "after")
	f.mustRecord(shard, "last")
	for _, d := range daemons {
		got := d.values(shard)
		if len(got) < 3 || !cmp.Equal(got[:3], []string{"one", "kept", "after"}) || d.manager.contradictions > 0 {
			t.Errorf("%s has %v", d.self.ID, got)
		}
	}
}
