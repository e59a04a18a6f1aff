package replication

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// claimantBeforeReadback returns a survivor whose claim is in the stream, and
// which has not read it back.
func claimantBeforeReadback(t *testing.T, seed uint64) (*testFleet, *testDaemon) {
	f, daemons := startThree(t, seed, 1)
	f.mustRecord(shard, "one")
	survivor := daemons[0]
	f.crash(daemons[1], true)
	f.crash(daemons[2], true)
	survivor.readsDown = true
	f.run(20 * time.Second)
	if len(f.log.entries) < 2 {
		t.Fatal("the survivor wrote no claim")
	}
	return f, survivor
}

func TestClaimantKeepsItsLogWhenOthersReadTheClaimFirst(t *testing.T) {
	f, survivor := claimantBeforeReadback(t, 41)
	outsider := f.start(4, "b")
	f.run(time.Second)
	claimed := ShardRoute{Shard: shard, Epoch: firstEpoch(1)}
	survivor.manager.Receive(outsider.self.ID, &RouteReply{Routes: []ShardRoute{claimed}})
	if r := survivor.manager.replica(shard); r.isMember() || r.leaderState != nil {
		t.Error("a replica takes part though its shard was claimed, and it does not know by whom")
	}
	survivor.readsDown = false
	f.run(10 * time.Second)
	f.mustRecord(shard, "two")
	if diff := cmp.Diff([]string{"one", "two"}, survivor.values(shard)); diff != "" {
		t.Error(diff)
	}
}

func TestReplicaIsResetByAnotherDaemonsClaim(t *testing.T) {
	for _, how := range []string{"stream", "leader"} {
		f, claimant := claimantBeforeReadback(t, 42)
		// Two members that were wrongly confirmed gone have not read the claim.
		member := f.start(5, "c")
		r := member.manager.open(shard, voteState{}, Group{member.self.ID, claimant.self.ID})
		r.log.append(Entry{Index: 1, Epoch: 1})
		r.observe(firstEpoch(1))
		if r.log.last() != 1 {
			t.Fatalf("%s: the log was dropped before it was known who claimed", how)
		}
		if how == "stream" {
			member.manager.claimLost(claim{Shard: shard, Generation: 1, Claimant: claimant.self.ID})
		} else {
			r.receiveAppendRequest(claimant.self.ID, &AppendRequest{Shard: shard, Epoch: firstEpoch(1)})
		}
		if r.log.last() != 0 || r.claimantUnknown {
			t.Errorf("%s: the log of the lost group is still there", how)
		}
	}
}

// TestSurvivorClaimsSoonAfterTheOthersAreGone checks that a claim waits for the
// machine list only, and not for the next read of the log.
func TestSurvivorClaimsSoonAfterTheOthersAreGone(t *testing.T) {
	for seed := uint64(43); seed < 48; seed++ {
		f, daemons := startThree(t, seed, 2)
		f.start(4, "b")
		f.run(time.Duration(seed%4) * 500 * time.Millisecond)
		survivor := daemons[0]
		f.crash(daemons[1], true)
		f.crash(daemons[2], true)
		lost := f.clock.Now()
		for f.leaderOf(shard) == nil && f.clock.Now().Sub(lost) < time.Minute {
			f.run(10 * time.Millisecond)
		}
		took := f.clock.Now().Sub(lost)
		t.Logf("seed %d: %s", seed, took)
		least := f.detectionTime + f.detectionTime/4 + f.settings.ClaimGrace
		if f.leaderOf(shard) != survivor || took > least+time.Second {
			t.Errorf("seed %d: led again after %s, could be after %s", seed, took, least)
		}
	}
}

func TestRunStaysSupersededWhenTheNextRunDies(t *testing.T) {
	f, daemons := startThree(t, 48, 1)
	former := daemons[1]
	f.crash(former, false)
	f.run(2 * time.Second)
	next := f.start(2, "b")
	f.run(time.Second)
	if !daemons[0].manager.isConfirmedGone(former.self.ID) {
		t.Fatal("a run counts as running though another has its address")
	}
	if !next.manager.isConfirmedGone(former.self.ID) {
		t.Error("a run does not know that the former run at its own address has ended")
	}
	f.crash(next, false)
	f.run(3 * time.Second)
	if !daemons[0].manager.isConfirmedGone(former.self.ID) {
		t.Error("a run counts as running again because the next one at its address died")
	}
	if daemons[0].manager.isConfirmedGone(next.self.ID) {
		t.Error("a run is gone though its machine is listed")
	}
}
