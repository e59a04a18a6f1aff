package ledger

import (
	"testing"

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
