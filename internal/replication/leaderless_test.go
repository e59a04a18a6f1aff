package replication

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// leaderlessFleet returns a fleet whose stream includes a living daemon that
// has left the group, while the other two members, the last holders, still run.
func leaderlessFleet(t *testing.T, seed uint64) (f *testFleet, former *testDaemon, holders []*testDaemon) {
	f, daemons := startThree(t, seed, 1)
	f.mustRecord(shard, "one")
	for _, d := range f.daemons {
		d.logDown = true
	}
	former = others(daemons, f.leaderOf(shard))[0]
	holders = others(daemons, former)
	for _, d := range holders {
		d.manager.replica(shard).log.group = Group{holders[0].self.ID, holders[1].self.ID}
	}
	former.manager.replica(shard).drop()
	return f, former, holders
}

func (f *testFleet) restoreLog() {
	for _, d := range f.daemons {
		d.logDown = false
	}
}

func TestLostShardWithALivingFormerMemberStartsAnew(t *testing.T) {
	f, _, holders := leaderlessFleet(t, 34)
	for _, d := range holders {
		f.crash(d, true)
	}
	f.start(4, "a")
	f.run(time.Second)
	f.restoreLog()
	f.run(40 * time.Second)
	if f.leaderOf(shard) == nil {
		t.Fatal("nobody leads the shard")
	}
	f.mustRecord(shard, "two")
}

// TestLeaderlessShardWaitsForEveryHolder has holders that are paused, cut off,
// or dead but listed: the shard must not start again, and the records of those
// that return must still be there.
func TestLeaderlessShardWaitsForEveryHolder(t *testing.T) {
	for _, how := range []string{"paused", "cut off", "listed"} {
		f, former, holders := leaderlessFleet(t, 35)
		var outsider *testDaemon
		hide := func(hidden bool) {
			for _, d := range holders {
				if how == "paused" {
					f.pause(d, hidden)
					continue
				}
				f.setPartitioned(d, former, hidden)
				if outsider != nil {
					f.setPartitioned(d, outsider, hidden)
				}
			}
		}
		if how == "listed" {
			f.crash(holders[0], false)
			f.crash(holders[1], false)
		} else {
			hide(true)
		}
		outsider = f.start(4, "a")
		if how == "cut off" {
			hide(true)
		}
		f.restoreLog()
		f.run(60 * time.Second)
		for _, d := range []*testDaemon{former, outsider} {
			if d.app.led[shard] != nil {
				t.Fatalf("%s: %s has started the shard again", how, d.self.ID)
			}
		}
		if how == "listed" {
			continue
		}
		hide(false)
		f.run(10 * time.Second)
		f.mustRecord(shard, "two")
		if diff := cmp.Diff([]string{"one", "two"}, f.leaderOf(shard).values(shard)); diff != "" {
			t.Errorf("%s: %s", how, diff)
		}
	}
}

// TestSurvivorClaimsAfterOneReadOfTheStream loses two of three members at once:
// after detection (1.5 s here) and ClaimGrace the claim takes one read of the
// groups' stream, and no second one before the daemons are asked.
func TestSurvivorClaimsAfterOneReadOfTheStream(t *testing.T) {
	f, daemons := startThree(t, 5, 4)
	f.mustRecord(shard, "one")
	f.crash(daemons[1], true)
	f.crash(daemons[2], true)
	f.run(f.detectionTime + f.detectionTime/4 + f.settings.ClaimGrace + f.settings.LogInterval + f.settings.LogInterval/4)
	if leader := daemons[0].manager.Route(shard).Leader; leader != daemons[0].self.ID {
		t.Fatalf("the survivor does not lead the shard; its leader is %q", leader)
	}
}

func TestSurvivorClaimsAfterItsClockWentBack(t *testing.T) {
	f, daemons := startThree(t, 36, 1)
	f.mustRecord(shard, "one")
	survivor := daemons[0]
	f.crash(daemons[1], true)
	f.crash(daemons[2], true)
	f.run(4 * time.Second)
	survivor.clockOffset = -2 * time.Second
	f.run(30 * time.Second)
	if f.leaderOf(shard) != survivor {
		t.Fatal("the survivor does not lead")
	}
	f.mustRecord(shard, "two")
}
