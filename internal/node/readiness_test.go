package node

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestReadinessFollowsKnownLeaders(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	steps := []struct {
		after time.Duration
		led   int
		ready bool
		why   string
	}{
		{0, 0, false, "no leader is known at the start"},
		{time.Second, 57, false, "57 of 64 is less than nine tenths"},
		{2 * time.Second, 58, true, "58 of 64 is nine tenths"},
		{3 * time.Second, 32, true, "a ready daemon stays ready with half"},
		{4 * time.Second, 31, false, "less than half"},
		{5 * time.Second, 40, false, "it must become ready again"},
		{14 * time.Second, 40, false, "not known for long enough"},
		{15 * time.Second, 40, true, "shards that stay lost do not keep it unready"},
	}
	var tracker readinessTracker
	for _, step := range steps {
		if got := tracker.update(start.Add(step.after), step.led, 64); got != step.ready {
			t.Errorf("%s: %d led: ready %t, want %t: %s", step.after, step.led, got, step.ready, step.why)
		}
	}
}

func TestReadinessSamplesLargeFleetsEvenly(t *testing.T) {
	seen := map[structs.ShardNumber]bool{}
	route := func(shard structs.ShardNumber) replication.Route {
		seen[shard] = true
		return replication.Route{Leader: "127.0.0.1:7000#1"}
	}
	if led, looked := sampleLeaders(1024, route); led != 64 || looked != 64 || len(seen) != 64 || !seen[0] || !seen[1008] {
		t.Errorf("led %d of %d, %d shards asked for", led, looked, len(seen))
	}
	if led, looked := sampleLeaders(3, route); led != 3 || looked != 3 {
		t.Errorf("small fleet: %d of %d", led, looked)
	}
}
