package replication

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestHandOverEmptiesTheDaemon(t *testing.T) {
	f, daemons := startThree(t, 10, 6)
	f.mustRecord(shard, "one")
	f.start(4, "a")
	f.run(2 * time.Second)
	leaving := daemons[0]
	done := false
	leaving.leaving = true
	f.updateViews()
	leaving.manager.HandOver(func() { done = true })
	f.run(10 * time.Second)
	if !done || len(leaving.app.led) > 0 {
		t.Errorf("done %v, still leads %d shards", done, len(leaving.app.led))
	}
	if replicas := len(leaving.manager.sortedReplicas()); replicas > 0 {
		t.Errorf("still holds %d replicas", replicas)
	}
	f.crash(leaving, true)
	f.run(100 * time.Millisecond)
	for s := range structs.ShardNumber(6) {
		if f.leaderOf(s) == nil {
			t.Errorf("shard %d has no leader", s)
		}
	}
}

// TestLastHolderDoesNotLeave stops the only daemon that still holds a shard: it
// must not leave before others hold it, however long that takes.
func TestLastHolderDoesNotLeave(t *testing.T) {
	f, daemons := startThree(t, 11, 2)
	f.mustRecord(shard, "one")
	f.log.down = true
	f.crash(daemons[1], true)
	f.crash(daemons[2], true)
	f.start(4, "b")
	f.start(5, "c")
	f.start(6, "a")
	f.run(2 * time.Second)
	last := daemons[0]
	done := false
	last.leaving = true
	f.updateViews()
	last.manager.HandOver(func() { done = true })
	f.run(30 * time.Second)
	if done {
		t.Fatal("the last holder left while no other daemon had the records")
	}
	f.log.down = false
	f.run(60 * time.Second)
	if !done {
		t.Fatal("the last holder was not replaced")
	}
	f.crash(last, true)
	f.run(5 * time.Second)
	f.mustRecord(shard, "two")
	if diff := cmp.Diff([]string{"one", "two"}, f.leaderOf(shard).values(shard)); diff != "" {
		t.Error(diff)
	}
}

// TestPlannedStopOfACutOffDaemonWaits stops a daemon that reaches no other: it
// must wait for the link, since it cannot know whether others hold its shards.
func TestPlannedStopOfACutOffDaemonWaits(t *testing.T) {
	f, daemons := startThree(t, 11, 2)
	f.mustRecord(shard, "one")
	cutOff := daemons[0]
	f.setPartitioned(cutOff, daemons[1], true)
	f.setPartitioned(cutOff, daemons[2], true)
	f.run(3 * time.Second)
	done := false
	cutOff.leaving = true
	f.updateViews()
	cutOff.manager.HandOver(func() { done = true })
	f.run(30 * time.Second)
	if done {
		t.Fatal("the daemon left while it was cut off from machines that are listed")
	}
	f.setPartitioned(cutOff, daemons[1], false)
	f.setPartitioned(cutOff, daemons[2], false)
	f.run(20 * time.Second)
	if !done {
		t.Fatal("the daemon did not leave once the link was back")
	}
}

// TestPlannedStopsAroundAPartitionLoseNothing cuts off two of three members
// together, with no daemon that could replace them, and stops all three within
// 14 s. Each must wait until the link is back and others hold the records.
func TestPlannedStopsAroundAPartitionLoseNothing(t *testing.T) {
	f, daemons := startThree(t, 11, 2)
	f.mustRecord(shard, "one")
	f.log.down = true
	f.setPartitioned(daemons[0], daemons[2], true)
	f.setPartitioned(daemons[1], daemons[2], true)
	for number, zone := range []string{"a", "b", "c"} {
		newDaemon := f.start(number+4, zone)
		f.setPartitioned(daemons[0], newDaemon, true)
		f.setPartitioned(daemons[1], newDaemon, true)
	}
	f.run(5 * time.Second)
	stopped := map[*testDaemon]bool{}
	for _, d := range daemons {
		d.leaving = true
		f.updateViews()
		d.manager.HandOver(func() {
			stopped[d] = true
			f.crash(d, true)
		})
		f.run(7 * time.Second)
	}
	f.run(10 * time.Second)
	if len(stopped) != 0 {
		t.Fatalf("%d of three holders left while their group was partitioned", len(stopped))
	}
	for _, former := range daemons[:2] {
		for _, other := range f.daemons[2:] {
			f.setPartitioned(former, other, false)
		}
	}
	f.log.down = false
	f.run(60 * time.Second)
	if len(stopped) != len(daemons) {
		t.Fatalf("%d of three daemons were replaced once the link was back", len(stopped))
	}
	f.mustRecord(shard, "two")
	if diff := cmp.Diff([]string{"one", "two"}, f.leaderOf(shard).values(shard)); diff != "" {
		t.Error(diff)
	}
}

// TestLastOfALeavingFleetLeaves stops all daemons one after another: the last
// has no one to wait for, although the machine list still has the others.
func TestLastOfALeavingFleetLeaves(t *testing.T) {
	f, daemons := startThree(t, 11, 2)
	f.mustRecord(shard, "one")
	for i, d := range daemons {
		done := false
		d.leaving = true
		f.updateViews()
		d.manager.HandOver(func() { done = true })
		f.run(15 * time.Second)
		if !done {
			t.Fatalf("daemon %d of a fleet that stops did not leave", i)
		}
		f.crash(d, false)
		f.run(3 * time.Second)
	}
}

func TestHandOverUnderLoad(t *testing.T) {
	f, daemons := startThree(t, 24, 1)
	f.delaySpread = 10 * time.Millisecond
	leaving := f.leaderOf(shard)
	lost, kept := 0, 0
	var load func()
	load = func() {
		if leader := f.leaderOf(shard); leader != nil {
			leader.propose(shard, "value", func(err error) {
				if err != nil {
					lost++
				} else {
					kept++
				}
			})
		}
		f.clock.AfterFunc(time.Millisecond, load)
	}
	load()
	f.run(time.Second)
	done := false
	leaving.leaving = true
	f.updateViews()
	leaving.manager.HandOver(func() { done = true })
	f.run(time.Second)
	if !done || len(leaving.app.led) > 0 {
		t.Fatalf("done %v, still leads %d", done, len(leaving.app.led))
	}
	if next := f.leaderOf(shard); next == nil || len(others(daemons, next)) != 2 {
		t.Fatal("nobody leads")
	}
	if kept < 1500 || lost > 100 {
		t.Errorf("%d acknowledged, %d lost", kept, lost)
	}
}
