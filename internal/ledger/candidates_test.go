package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// TestShardsGoToDaemonsByTheirCapacity: a daemon's share of the shards is proportional to
// its capacity.
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

// TestFailuresOfFormerIncarnationsAreForgotten: failures of former incarnations must not
// accumulate when daemons restart often.
func TestFailuresOfFormerIncarnationsAreForgotten(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		var a avoidList
		most := 0
		for run := range uint64(3600) {
			a.note(int(run%48), daemonID(0, run), resultSilent)
			a.note(int(run%48), daemonID(1, run), resultImpaired)
			time.Sleep(time.Second)
			most = max(most, len(a.daemons), len(a.shards))
		}
		if bound := int((avoidSweepInterval + silentPenalty) / time.Second); most > bound {
			t.Errorf("failures of %d incarnations are kept, want %d at most", most, bound)
		}
	})
}

// TestFormerStateIsForgotten: the accounts of a lost shard are kept only as long as a
// successor may ask for them.
func TestFormerStateIsForgotten(t *testing.T) {
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
				t.Error("the former state is not known right after the loss")
			}
		})
		time.Sleep(formerStateTTL + time.Second)
		look(func() {
			if h.former != nil {
				t.Error("the former state is kept after formerStateTTL")
			}
		})
	})
}
