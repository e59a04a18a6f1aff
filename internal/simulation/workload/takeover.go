package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// RecordKill records that a daemon is about to crash, and the shards that it
// leads by its own routes.
func (c *Callers) RecordKill(daemon *cluster.Daemon) {
	shards := map[structs.ShardNumber]bool{}
	for shard := range structs.ShardNumber(c.cluster.Options.Node.Shards) {
		if daemon.Node.Route(shard).Leader == daemon.ID {
			shards[shard] = true
		}
	}
	c.kills = append(c.kills, kill{at: c.cluster.Clock.Now(), run: daemon.ID, shards: shards})
}

// recordTakeover measures the time from a leader's crash, or from the start of
// the request if that is later, to the first answer that a caller of each of its
// shards receives.
func (c *Callers) recordTakeover(r *pendingRequest) {
	if len(c.kills) == 0 {
		return
	}
	shard := replication.ShardOf(r.call.Key, c.cluster.Options.Node.Shards)
	now := c.cluster.Clock.Now()
	for _, leaderKill := range c.kills {
		if !leaderKill.shards[shard] {
			continue
		}
		delete(leaderKill.shards, shard)
		from := leaderKill.at
		if r.startedAt.After(from) {
			from = r.startedAt
		}
		c.takeoverDelays = append(c.takeoverDelays, now.Sub(from))
	}
}

// TakeoverDelays returns the measured times, sorted.
func (c *Callers) TakeoverDelays() []time.Duration {
	delays := slices.Clone(c.takeoverDelays)
	slices.SortFunc(delays, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return delays
}
