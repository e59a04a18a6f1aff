package replication

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const shard = structs.ShardNumber(0)

// others returns the running daemons without one.
func others(daemons []*testDaemon, but *testDaemon) []*testDaemon {
	var rest []*testDaemon
	for _, d := range daemons {
		if d != but && d.running {
			rest = append(rest, d)
		}
	}
	return rest
}

func TestFirstGroupsLeadAndRecord(t *testing.T) {
	f, daemons := startThree(t, 1, 8)
	f.mustRecord(shard, "one")
	f.mustRecord(shard, "two")
	for _, d := range daemons {
		if got := d.values(shard); len(got) == 0 || got[0] != "one" {
			t.Errorf("%s applied %v", d.self.ID, got)
		}
		route := d.manager.Route(shard)
		if route.Leader != f.leaderOf(shard).self.ID || route.Epoch != 1 {
			t.Errorf("%s has route %+v", d.self.ID, route)
		}
	}
}

func TestTakeoverKeepsRecordsAndIsQuick(t *testing.T) {
	f, daemons := startThree(t, 2, 4)
	f.mustRecord(shard, "one")
	leader := f.leaderOf(shard)
	f.crash(leader, false)
	f.run(2500 * time.Millisecond)
	next := f.leaderOf(shard)
	if next == nil || next == leader {
		t.Fatal("nobody took over")
	}
	if diff := cmp.Diff([]string{"one"}, next.values(shard)); diff != "" {
		t.Error(diff)
	}
	for _, d := range others(daemons, leader) {
		if route := d.manager.Route(shard); route.Leader != next.self.ID {
			t.Errorf("%s has route %+v", d.self.ID, route)
		}
	}
}

func TestPausedLeaderIsFenced(t *testing.T) {
	f, _ := startThree(t, 3, 1)
	f.mustRecord(shard, "one")
	stale := f.leaderOf(shard)
	old := stale.app.led[shard].leadership
	f.pause(stale, true)
	f.run(4 * time.Second)
	f.mustRecord(shard, "two")
	f.pause(stale, false)
	var proposed, confirmed error
	old.Queue().Do(func() {
		old.Propose([]structs.Record{record("stale")}, func(err error) { proposed = err })
		old.Confirm(func(err error) { confirmed = err })
	})
	f.run(2 * time.Second)
	if !errors.Is(proposed, ErrLost) || !errors.Is(confirmed, ErrLost) {
		t.Errorf("stale leader: proposal %v, confirmation %v", proposed, confirmed)
	}
	f.mustRecord(shard, "three")
	if diff := cmp.Diff([]string{"one", "two", "three"}, f.leaderOf(shard).values(shard)); diff != "" {
		t.Error(diff)
	}
}

func TestConfirmAnswersTheLeader(t *testing.T) {
	f, _ := startThree(t, 4, 1)
	confirmed := errors.New("no answer")
	leadership := f.leaderOf(shard).app.led[shard].leadership
	leadership.Queue().Do(func() { leadership.Confirm(func(err error) { confirmed = err }) })
	f.run(time.Second)
	if confirmed != nil {
		t.Error(confirmed)
	}
}

func TestLostMemberIsReplacedWhileTheLogIsDown(t *testing.T) {
	f, daemons := startThree(t, 5, 2)
	f.mustRecord(shard, "one")
	f.log.down = true
	fourth := f.start(4, "c")
	f.crash(daemons[2], false)
	f.run(20 * time.Second)
	group := f.group(shard)
	if len(group) != 3 || group.Contains(daemons[2].self.ID) || !group.Contains(fourth.self.ID) {
		t.Fatalf("group is %v", group)
	}
	f.mustRecord(shard, "two")
	f.mustRecord(shard, "three")
	if got := fourth.values(shard); len(got) < 2 || got[0] != "one" {
		t.Errorf("the new member applied %v", got)
	}
}

func TestRestartedDaemonIsANewMember(t *testing.T) {
	f, daemons := startThree(t, 6, 2)
	f.mustRecord(shard, "one")
	former := daemons[1]
	f.crash(former, false)
	f.run(100 * time.Millisecond)
	fresh := f.start(2, "b")
	f.run(10 * time.Second)
	group := f.group(shard)
	if len(group) != 3 || group.Contains(former.self.ID) || !group.Contains(fresh.self.ID) {
		t.Fatalf("group is %v", group)
	}
}

func TestNewMemberCatchesUpBySnapshot(t *testing.T) {
	f, _ := startThree(t, 11, 1)
	leader := f.leaderOf(shard)
	const count = 4000
	last := ""
	for i := range count {
		last = string(rune('a'+i%26)) + time.Duration(i).String()
		leader.propose(shard, last, func(error) {})
	}
	f.run(2 * time.Second)
	if base := leader.manager.replica(shard).log.base; base == 0 {
		t.Fatal("the log was not compacted")
	}
	f.crash(others(f.daemons, leader)[0], false)
	fresh := f.start(4, "d")
	f.run(20 * time.Second)
	f.mustRecord(shard, "after")
	f.mustRecord(shard, "after that")
	if got := fresh.values(shard); len(got) < count || got[count-1] != last {
		t.Errorf("the new member has %d values", len(got))
	}
}

func TestGenesisRaceWithLostAnswers(t *testing.T) {
	f := newTestFleet(t, 12, 4)
	f.settings.GenesisStagger = time.Millisecond
	f.log.lostAnswerRate = 0.7
	f.start(1, "a")
	f.start(2, "b")
	f.start(3, "c")
	f.run(10 * time.Second)
	for s := range structs.ShardNumber(4) {
		if f.leaderOf(s) == nil {
			t.Errorf("shard %d has no leader", s)
		}
	}
	f.mustRecord(shard, "one")
}

func TestGenesisWaitsForTheLog(t *testing.T) {
	f := newTestFleet(t, 13, 1)
	f.log.down = true
	first := f.start(1, "a")
	f.start(2, "b")
	f.start(3, "c")
	f.run(10 * time.Second)
	if route := first.manager.Route(shard); !route.NoMajority {
		t.Errorf("route is %+v", route)
	}
	f.log.down = false
	f.run(5 * time.Second)
	f.mustRecord(shard, "one")
}

func TestOutsiderFindsAMovedShard(t *testing.T) {
	f, _ := startThree(t, 14, 3)
	f.settings.RebalanceInterval = time.Hour
	outsider := f.start(4, "a")
	f.run(100 * time.Millisecond)
	outsider.manager.Route(shard)
	f.run(100 * time.Millisecond)
	leader := f.leaderOf(shard)
	if route := outsider.manager.Route(shard); route.Leader != leader.self.ID {
		t.Fatalf("route is %+v", route)
	}
	f.crash(leader, false)
	found := time.Duration(0)
	for found < 5*time.Second {
		f.run(100 * time.Millisecond)
		found += 100 * time.Millisecond
		route := outsider.manager.Route(shard)
		if next := f.leaderOf(shard); next != nil && route.Leader == next.self.ID {
			break
		}
	}
	if found > 2500*time.Millisecond {
		t.Errorf("found after %s", found)
	}
}

func TestLoadSpreadsToFreshDaemons(t *testing.T) {
	f, _ := startThree(t, 15, 12)
	f.start(4, "a")
	f.start(5, "b")
	f.start(6, "c")
	f.run(5 * time.Minute)
	for _, d := range f.daemons {
		replicas := len(d.manager.sortedReplicas())
		if replicas < 2 || replicas > 10 {
			t.Errorf("%s holds %d of 36 replicas", d.self.ID, replicas)
		}
	}
	for s := range structs.ShardNumber(12) {
		if group := f.group(s); len(group) != 3 {
			t.Errorf("shard %d has group %v", s, group)
		}
	}
}

func TestIdleFleetIsQuiet(t *testing.T) {
	f, _ := startThree(t, 16, 64)
	f.run(time.Minute)
	clear(f.bytes)
	f.run(time.Minute)
	total := 0
	for _, bytes := range f.bytes {
		total += bytes
	}
	if perDaemon := float64(total) / 3 / 60; perDaemon > 400 {
		t.Errorf("%.0f bytes per second and daemon for 64 idle shards", perDaemon)
	}
}

func TestGuardCommitAloneLosesRecords(t *testing.T) {
	f := newTestFleet(t, 17, 1)
	var daemons []*testDaemon
	for i, zone := range []string{"a", "b", "c"} {
		daemons = append(daemons, f.startWith(i+1, zone, Guards{CommitAlone: true}))
	}
	f.run(3 * time.Second)
	leader := f.leaderOf(shard)
	for _, d := range others(daemons, leader) {
		f.setPartitioned(leader, d, true)
	}
	acknowledged := false
	leader.propose(shard, "alone", func(err error) { acknowledged = err == nil })
	f.run(time.Second)
	f.crash(leader, false)
	f.run(3 * time.Second)
	if !acknowledged || len(f.leaderOf(shard).values(shard)) != 0 {
		t.Error("without the guard the record should be acknowledged and lost")
	}
}

func TestRestartedDaemonIsBackInEveryGroupSoon(t *testing.T) {
	f, daemons := startThree(t, 25, 64)
	former := daemons[1]
	f.crash(former, false)
	f.run(2 * time.Second)
	fresh := f.start(2, "b")
	f.run(1500 * time.Millisecond)
	for s := range structs.ShardNumber(64) {
		if group := f.group(s); len(group) != 3 || !group.Contains(fresh.self.ID) {
			t.Errorf("shard %d has group %v", s, group)
		}
	}
}
