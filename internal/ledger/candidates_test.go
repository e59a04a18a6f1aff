package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// TestShardsGoToDaemonsByTheirCapacity: a machine that can do more holds more.
func TestShardsGoToDaemonsByTheirCapacity(t *testing.T) {
	const small, large, shards = 8, 2, 20000
	var daemons []structs.Daemon
	total := 0
	for i := range small + large {
		daemon := structs.Daemon{ID: daemonID(i, 1), Capacity: 10}
		if i >= small {
			daemon.Capacity = 60
		}
		total += daemon.Capacity
		daemons = append(daemons, daemon)
	}
	held := map[structs.DaemonID]int{}
	for shard := range shards {
		best, bestScore := daemons[0], 0.0
		for _, daemon := range daemons {
			if score := rendezvousScore(shard, daemon); score > bestScore {
				best, bestScore = daemon, score
			}
		}
		held[best.ID]++
	}
	for _, daemon := range daemons {
		want := shards * daemon.Capacity / total
		if got := held[daemon.ID]; got < want*8/10 || got > want*12/10 {
			t.Errorf("%s of capacity %d is first for %d shards, want about %d", daemon.ID, daemon.Capacity, got, want)
		}
	}
}

// TestBadNewsOfRunsThatAreOverIsForgotten: daemons start again all day long, each time under another
// name; what was heard of their former runs must not add up.
func TestBadNewsOfRunsThatAreOverIsForgotten(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		var a avoided
		most := 0
		for run := range uint64(3600) {
			a.note(int(run%48), daemonID(0, run), resultSilent)
			a.note(int(run%48), daemonID(1, run), resultImpaired)
			time.Sleep(time.Second)
			most = max(most, len(a.daemons), len(a.shards))
		}
		if bound := int((avoidedLook + avoidSilent) / time.Second); most > bound {
			t.Errorf("bad news of %d runs was remembered, want %d at most", most, bound)
		}
	})
}

// TestWhatWasKnownOfALostShardIsForgotten: a daemon that lost a shard keeps its accounts for as long
// as a successor may ask for them.
func TestWhatWasKnownOfALostShardIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		s := f.service(daemonID(0, 1))
		complete(t, s, "p", "one", "")
		h := s.holders[s.shardOf("p")]
		look := func(task func()) {
			done := make(chan struct{})
			h.post(t.Context(), func(context.Context) { task(); close(done) })
			<-done
		}
		look(h.drop)
		look(func() {
			if h.former == nil {
				t.Error("not known right after the loss")
			}
		})
		time.Sleep(formerLife + time.Second)
		look(func() {
			if h.former != nil {
				t.Error("known for ever")
			}
		})
	})
}
