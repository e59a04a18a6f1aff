package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// RecordKill notes that a daemon is about to die, and which shards other daemons
// say it leads.
func (c *Callers) RecordKill(daemon *cluster.Daemon) {
	shards := map[structs.ShardNumber]bool{}
	for shard := range structs.ShardNumber(c.cluster.Options.Node.Shards) {
		if daemon.Node.Route(shard).Leader == daemon.ID {
			shards[shard] = true
		}
	}
	c.kills = append(c.kills, kill{at: c.cluster.Clock.Now(), run: daemon.ID, shards: shards})
}

// progressed measures the time from a leader's death to the first answer that
// a caller of each of its shards gets.
func (c *Callers) progressed(r *reader) {
	if len(c.kills) == 0 {
		return
	}
	shard := replication.ShardOf(r.call.Key, c.cluster.Options.Node.Shards)
	now := c.cluster.Clock.Now()
	for _, death := range c.kills {
		if !death.shards[shard] {
			continue
		}
		delete(death.shards, shard)
		from := death.at
		if r.startedAt.After(from) {
			from = r.startedAt
		}
		c.delays = append(c.delays, now.Sub(from))
	}
}

// TakeoverDelays returns the measured times, sorted.
func (c *Callers) TakeoverDelays() []time.Duration {
	delays := slices.Clone(c.delays)
	slices.SortFunc(delays, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return delays
}
